package sanitizer

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/magnoliastep/magnoliastep/internal/account/authenticator"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

const (
	// maxNameBytes is the length of the longest usable name of an account.
	maxNameBytes = 128
	// maxQuota is the highest usable rate or burst of an account.
	maxQuota = 1e9
)

// accountSanitizer replaces unusable values in the accounts of a configuration.
type accountSanitizer struct {
	problems []Problem
	// usable has the accounts that can be used, in their order, and indexes their indexes by name.
	usable  []matcher.Account
	indexes map[string]int
	// positions has the positions of the usable accounts in the configuration.
	positions []int
}

// sanitizeAccounts replaces unusable values in the accounts and returns a description of each, which never has a key.
// An account without a usable name is left out. Two accounts of one name are taken as one. A key that two accounts
// claim is nobody's: to give it to one of them would let callers of the other act in its name. An unusable rate or
// burst sets no limit, but the account gets the lowest priority, so that it has no advantage.
func sanitizeAccounts(c *matcher.Config) []Problem {
	c.KeysRequired = c.KeysRequired || len(c.Accounts) > 0
	s := &accountSanitizer{indexes: map[string]int{}}
	for position, a := range c.Accounts {
		s.add(position, a)
	}
	s.removeSharedKeys()
	if c.KeysRequired && len(s.usable) == 0 {
		s.report(noEntry, "no account is usable: only public routes are served")
	}
	c.Accounts = s.usable
	return s.problems
}

func (s *accountSanitizer) report(position int, format string, values ...any) {
	s.problems = append(s.problems, Problem{Route: noEntry, Account: position, Text: fmt.Sprintf(format, values...)})
}

func (s *accountSanitizer) add(position int, a matcher.Account) {
	if !usableName(a.Name) {
		s.report(position, "account %d: name is missing or not usable; the account is left out", position)
		return
	}
	a.Keys = s.usableKeys(position, a)
	if i, ok := s.indexes[a.Name]; ok {
		s.report(position, "account %s: named twice; its keys are taken together, all else from the first", a.Name)
		s.usable[i].Keys = append(s.usable[i].Keys, a.Keys...)
		return
	}
	if a.HasPriority && (a.Priority < 0 || a.Priority > lowestPriority) {
		s.report(position, "account %s: priority is not usable; it gets the lowest", a.Name)
		a.Priority = lowestPriority
	}
	if !usableQuota(a.Rate) || !usableQuota(a.Burst) {
		s.report(position, "account %s: rate %g or burst %g is not usable; it has no limit and gets the lowest priority",
			a.Name, a.Rate, a.Burst)
		a.Rate, a.Burst, a.Priority, a.HasPriority = 0, 0, lowestPriority, true
	}
	s.indexes[a.Name] = len(s.usable)
	s.usable = append(s.usable, a)
	s.positions = append(s.positions, position)
}

// usableKeys returns the keys of an account that callers can send.
func (s *accountSanitizer) usableKeys(position int, a matcher.Account) []string {
	var keys []string
	for i, key := range a.Keys {
		if !authenticator.Usable(key) {
			s.report(position, "account %s: key %d is not usable; it is left out", a.Name, i)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// removeSharedKeys removes the keys that several accounts claim from all of them.
func (s *accountSanitizer) removeSharedKeys() {
	owners, shared := map[string]int{}, map[string]bool{}
	for i, a := range s.usable {
		for _, key := range a.Keys {
			if owner, ok := owners[key]; ok && owner != i {
				s.report(s.positions[i], "accounts %s and %s: have a key in common; it is nobody's", s.usable[owner].Name, a.Name)
				shared[key] = true
			}
			owners[key] = i
		}
	}
	if len(shared) == 0 {
		return
	}
	for i := range s.usable {
		var own []string
		for _, key := range s.usable[i].Keys {
			if !shared[key] {
				own = append(own, key)
			}
		}
		s.usable[i].Keys = own
	}
}

// usableName reports whether a name can be the value of a header field.
func usableName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) || strings.TrimSpace(name) != name {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// usableQuota reports whether a rate or burst can be used; NaN can not.
func usableQuota(n float64) bool {
	return n >= 0 && n <= maxQuota
}
