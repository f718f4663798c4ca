package server

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/magnoliastep/magnoliastep/internal/account/authenticator"
	"github.com/magnoliastep/magnoliastep/internal/forward/deferrer"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

// identity is the client account of a request. It keeps the digest of the caller's key, never the key.
type identity struct {
	// keysRequired is set if the configuration that the request started with has accounts.
	keysRequired bool
	// account is nil if the configuration has no accounts, or the route is public and the caller has no known key.
	account *matcher.Account
	// digest is set if account is.
	digest authenticator.Digest
	// checked is the last configuration that is known to give the key to the account.
	checked atomic.Pointer[matcher.Matcher]
	// forbidden is set for good once the request must not be sent any more.
	forbidden atomic.Bool
}

// accountName returns the name of the account, or "" if there is none.
func (i *identity) accountName() string {
	if i.account == nil {
		return ""
	}
	return i.account.Name
}

// authenticate finds the account of the request by its key and removes the key from the request. If the route needs a
// key and the request has no known one, it answers the caller and returns false. On a public route a known key gives
// the request its account, and any other has no effect.
func (x *exchange) authenticate(m *matcher.Matcher) bool {
	if !m.KeysRequired() {
		return true
	}
	names := x.server.config.HeaderNames
	account, digest, failure := m.Authenticate(names.KeyScheme, x.request.Header[names.Key])
	x.request.Header.Del(names.Key)
	x.identity.keysRequired = true
	if account != nil {
		x.identity.account, x.identity.digest = account, digest
		x.identity.checked.Store(m)
		return true
	}
	if x.route.Public {
		return true
	}
	x.refuseStranger(string(failure))
	return false
}

// refuseStranger answers a request that has no known key. It answers 401 only if the configuration is known to be the
// newest, because a newer one may have the key. A body that has not been read is not waited for.
func (x *exchange) refuseStranger(outcome string) {
	if x.stage.Load() == stageBody && x.request.ContentLength != 0 {
		x.writer.Header().Set("Connection", "close")
	}
	if !x.server.config.ConfigCurrent() {
		x.refuse("configuration_not_fresh", deferrer.NoConfiguration, gatherer.Result{})
		return
	}
	x.writer.Header().Set("WWW-Authenticate", x.server.config.HeaderNames.KeyScheme)
	x.fail(http.StatusUnauthorized, outcome, gatherer.Result{})
}

// maySend returns what gatherer.Request has as MaySend; nil for a request without an account.
func (x *exchange) maySend() func() bool {
	if x.identity.account == nil {
		return nil
	}
	return x.keyHolds
}

// keyHolds reports whether the newest configuration still gives the key to the account. It does not report so while a
// newer configuration is overdue.
func (x *exchange) keyHolds() bool {
	i := &x.identity
	if i.forbidden.Load() {
		return false
	}
	m := x.server.config.Matcher()
	if m != i.checked.Load() && m.KeysRequired() {
		if a := m.AccountOf(i.digest); a == nil || a.Name != i.account.Name {
			i.forbidden.Store(true)
			return false
		}
		i.checked.Store(m)
	}
	if x.server.config.ConfigOutdated() {
		i.forbidden.Store(true)
		return false
	}
	return true
}

// refuseForbidden answers a request that has waited until its key was withdrawn or a newer configuration was overdue.
// If the newest configuration allows the request otherwise, the caller may send it again.
func (x *exchange) refuseForbidden(r gatherer.Result) {
	m := x.server.config.Matcher()
	x.version = m.Version()
	route := m.Match(x.request.Host, x.request.RequestURI)
	if route != nil && !route.Public && m.KeysRequired() && m.AccountOf(x.identity.digest) == nil {
		x.refuseStranger("key_withdrawn")
		return
	}
	x.refuse("configuration_changed", deferrer.NoConfiguration, r)
}

// use returns what weighs the account's use of the leaves; nil if the configuration has no accounts.
func (x *exchange) use() gatherer.Use {
	if !x.identity.keysRequired || x.server.config.Use == nil {
		return nil
	}
	return x.server.config.Use(x.identity.accountName(), x.server.config.Matcher().Share(x.identity.account))
}

// priority returns the rank of the request: that of its account, or else of its route.
func (x *exchange) priority() int {
	if a := x.identity.account; a != nil && a.HasPriority {
		return a.Priority
	}
	return x.route.Priority
}

// excludeAccount adds the fields to a set that must not be passed on if the configuration has accounts: those that some
// leaf may take for the name of the account. Some programs do not distinguish hyphens from underscores.
func (x *exchange) excludeAccount(fields map[string]bool) {
	if !x.identity.keysRequired {
		return
	}
	for name := range x.request.Header {
		if strings.EqualFold(strings.ReplaceAll(name, "_", "-"), x.server.config.HeaderNames.Account) {
			fields[name] = true
		}
	}
}
