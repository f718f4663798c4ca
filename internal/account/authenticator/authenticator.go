// Package authenticator reads the key of a client account from the header field of a request, and finds the account to
// which it belongs. An Authenticator holds the keys of one version of the configuration and is immutable.
//
// Keys are looked up by a keyed digest: a look-up takes the same time whatever the number of keys is, and however many
// characters a guess has right. Who needs a key later keeps its digest, so that the key itself can appear nowhere.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"strings"
)

const (
	// NoKey means that the request has no such header field.
	NoKey Failure = "no_key"
	// SeveralKeys means that the header field occurs more than once.
	SeveralKeys Failure = "several_keys"
	// MalformedKey means that the header field holds another scheme, no key, or one that no account can have.
	MalformedKey Failure = "malformed_key"
	// UnknownKey means that no account has the key.
	UnknownKey Failure = "unknown_key"
)

// maxKeyBytes is the length of the longest usable key.
const maxKeyBytes = 256

type (
	// Failure says why a request has no account; "" if it has one.
	Failure string

	// Digest is the keyed digest of a key.
	Digest [sha256.Size]byte

	// Config holds what an Authenticator needs.
	Config struct {
		// Secret is the key of the digests. It is random, and the same for all versions of the configuration in one
		// process.
		Secret []byte
		// Keys has the usable keys of each account. No key belongs to two accounts.
		Keys [][]string
	}

	// Authenticator finds accounts by their keys. It is safe for concurrent use.
	Authenticator struct {
		secret []byte
		// accounts maps the digest of each key to the index of its account.
		accounts map[Digest]int
	}
)

// New returns an Authenticator.
func New(c Config) *Authenticator {
	a := &Authenticator{secret: c.Secret, accounts: make(map[Digest]int, len(c.Keys))}
	h := a.newHash()
	for account, keys := range c.Keys {
		for _, k := range keys {
			h.Reset()
			a.accounts[digest(h, k)] = account
		}
	}
	return a
}

// Usable reports whether a text can be a key: it has visible ASCII characters only, and a bounded number of them.
func Usable(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// Authenticate returns the index of the account to which the key in the values of a header field belongs, and the
// digest of the key. A value is the scheme, in upper or lower case, and the key, with spaces between.
func (a *Authenticator) Authenticate(scheme string, values []string) (account int, d Digest, f Failure) {
	switch {
	case len(values) == 0:
		return 0, Digest{}, NoKey
	case len(values) > 1:
		return 0, Digest{}, SeveralKeys
	}
	stated, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !strings.EqualFold(stated, scheme) || !Usable(key) {
		return 0, Digest{}, MalformedKey
	}
	d = digest(a.newHash(), key)
	account, ok := a.accounts[d]
	if !ok {
		return 0, Digest{}, UnknownKey
	}
	return account, d, ""
}

// Account returns the index of the account to which the key with a digest belongs. ok is false if there is none.
func (a *Authenticator) Account(d Digest) (account int, ok bool) {
	account, ok = a.accounts[d]
	return account, ok
}

func (a *Authenticator) newHash() hash.Hash {
	return hmac.New(sha256.New, a.secret)
}

// digest returns the digest of a key. The hash is new or reset.
func digest(h hash.Hash, key string) Digest {
	_, _ = h.Write([]byte(key)) // never fails
	return Digest(h.Sum(nil))
}
