package authenticator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/account/authenticator"
)

const scheme = "Token"

func newAuthenticator() *authenticator.Authenticator {
	return authenticator.New(authenticator.Config{
		Secret: []byte("secret"), Keys: [][]string{{"key-a", "key-b"}, nil, {"key-c"}},
	})
}

// Guards against a stranger that is taken for an account, and against a caller that is refused although its field is
// spelled as RFC 9110 allows.
func TestKeyIsReadFromOneFieldOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  []string
		account int
		failure authenticator.Failure
	}{
		{"key", []string{"Token key-a"}, 0, ""},
		{"second key", []string{"Token key-b"}, 0, ""},
		{"key of another account", []string{"Token key-c"}, 2, ""},
		{"scheme in lower case", []string{"token key-c"}, 2, ""},
		{"scheme in upper case", []string{"TOKEN key-c"}, 2, ""},
		{"several spaces", []string{"Token   key-c"}, 2, ""},
		{"no field", nil, 0, authenticator.NoKey},
		{"two fields", []string{"Token key-a", "Token key-a"}, 0, authenticator.SeveralKeys},
		{"empty field", []string{""}, 0, authenticator.MalformedKey},
		{"no key", []string{"Token"}, 0, authenticator.MalformedKey},
		{"empty key", []string{"Token "}, 0, authenticator.MalformedKey},
		{"no scheme", []string{"key-a"}, 0, authenticator.MalformedKey},
		{"other scheme", []string{"Bearer key-a"}, 0, authenticator.MalformedKey},
		{"two keys in a field", []string{"Token key-a key-b"}, 0, authenticator.MalformedKey},
		{"two credentials in a field", []string{"Token key-a, Token key-b"}, 0, authenticator.MalformedKey},
		{"tab", []string{"Token\tkey-a"}, 0, authenticator.MalformedKey},
		{"control character", []string{"Token key-a\x00"}, 0, authenticator.MalformedKey},
		{"huge key", []string{"Token " + strings.Repeat("k", 1<<20)}, 0, authenticator.MalformedKey},
		{"unknown key", []string{"Token key-d"}, 0, authenticator.UnknownKey},
		{"key in other case", []string{"Token KEY-A"}, 0, authenticator.UnknownKey},
		{"start of a key", []string{"Token key-"}, 0, authenticator.UnknownKey},
		{"key with a tail", []string{"Token key-a,"}, 0, authenticator.UnknownKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account, digest, failure := newAuthenticator().Authenticate(scheme, c.values)
			is.Equal(failure, c.failure)
			is.Equal(account, c.account)
			is.Equal(digest == authenticator.Digest{}, c.failure != "")
		})
	}
}

// Guards against a digest that loses its account when the configuration changes, or that anybody could compute from a
// list of likely keys.
func TestDigestIsKeptAcrossVersionsOfOneProcess(t *testing.T) {
	is := is.New(t)
	_, digest, _ := newAuthenticator().Authenticate(scheme, []string{"Token key-c"})
	next := authenticator.New(authenticator.Config{Secret: []byte("secret"), Keys: [][]string{{"key-c"}}})
	account, ok := next.Account(digest)
	is.True(ok)
	is.Equal(account, 0)
	_, ok = authenticator.New(authenticator.Config{Secret: []byte("secret"), Keys: [][]string{{"key-a"}}}).Account(digest)
	is.True(!ok) // the key is gone
	_, ok = authenticator.New(authenticator.Config{Secret: []byte("other"), Keys: [][]string{{"key-c"}}}).Account(digest)
	is.True(!ok)
}

// Guards against a refusal that allocates with the length of a guess, or a look-up that grows with the number of keys.
func BenchmarkAuthenticate(b *testing.B) {
	for name, accounts := range map[string]int{"1": 1, "10000": 10_000} {
		b.Run(name, func(b *testing.B) {
			keys := make([][]string, accounts)
			for i := range keys {
				keys[i] = []string{strings.Repeat("k", 20+i%7) + string(rune('a'+i%26)) + strings.Repeat("x", i/182)}
			}
			a := authenticator.New(authenticator.Config{Secret: []byte("secret"), Keys: keys})
			for b.Loop() {
				a.Authenticate(scheme, []string{"Token kkkkkkkkkkkkkkkkkkkk"})
			}
		})
	}
}
