package matcher_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

func TestMatchSelectsLongestPrefixOfHost(t *testing.T) {
	m := matcher.New(matcher.Config{Version: 7, Routes: []matcher.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "flat", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}, Services: []matcher.Service{{Name: "s", MaxConnections: 4}}})
	for _, c := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "deep"},
		{"query is not part of the path", "a.example", "/x/z?q=/x/y/", "flat"},
		{"port and case of the host", "A.Example:80", "/x/", "flat"},
		{"prefix ends with a slash", "a.example", "/x", "root"},
		{"other host", "b.example", "/x/1", "other"},
		{"no route", "b.example", "/z/", ""},
		{"unknown host", "c.example", "/x/", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := m.Match(c.host, c.path)
			if c.want == "" {
				is.True(r == nil)
				return
			}
			is.True(r != nil)
			is.Equal(r.Name, c.want)
		})
	}
	is := is.New(t)
	is.Equal(m.Version(), int64(7))
	is.Equal(m.Service("s").MaxConnections, 4)
	is.True(m.Service("t") == nil)
}

// Guards against a change of a configuration with very many accounts that keeps a small node busy. Run with -benchmem.
func BenchmarkNewWithManyAccounts(b *testing.B) {
	accounts := make([]matcher.Account, 10_000)
	for i := range accounts {
		accounts[i] = matcher.Account{Name: fmt.Sprint("account-", i), Keys: []string{fmt.Sprintf("key-%020d", i)}}
	}
	for b.Loop() {
		matcher.New(matcher.Config{Accounts: accounts, KeySecret: []byte("secret")})
	}
}
