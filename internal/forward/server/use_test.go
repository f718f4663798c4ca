package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
)

// noUse is an account without use.
type noUse struct{}

func (noUse) Use(time.Time) float64 { return 0 }

func (noUse) Charge(time.Duration, time.Time) {}

// A request must be weighed as that of its account, by the account's quota, and callers without an account together as
// one; otherwise they would go before all accounts wherever room is short.
func TestRequestIsWeighedAsThatOfItsAccount(t *testing.T) {
	is := is.New(t)
	f := newAccountsFixture()
	config := accountsConfig()
	config.Accounts[0].Rate, config.Accounts[1].Rate = 30, 10
	f.matcher = matcher.New(config)
	var weighed []string
	s := f.serverConfig()
	s.Use = func(account string, share float64) gatherer.Use {
		weighed = append(weighed, fmt.Sprintf("%q %g", account, share))
		return noUse{}
	}
	f.server = server.New(s)
	f.do("GET", "/one/x", "", "Authorization", "Token "+secretKey)
	f.do("GET", "/one/x", "", "Authorization", "Token urgent-key")
	f.do("GET", "/public/x", "")
	is.Equal(weighed, []string{`"ann" 30`, `"urgent" 10`, `"" 20`})
	for _, r := range f.requests {
		is.True(r.Use != nil)
	}
	without := newFixture()
	s = without.serverConfig()
	s.Use = func(string, float64) gatherer.Use {
		t.Error("weighed without accounts")
		return noUse{}
	}
	without.server = server.New(s)
	without.do("GET", "/one/x", "")
	is.True(without.requests[0].Use == nil)
}
