package server_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const secretKey = "s3cret-key"

// accountsConfig returns a configuration with two accounts, and a route of each kind that needs no key or one.
func accountsConfig() matcher.Config {
	route := func(name string, public bool, shards ...string) matcher.Route {
		r := matcher.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Timeout: time.Second, Priority: 3, Public: public,
			TargetLatency: 100 * time.Millisecond, Shards: shards, TopRecords: 1,
		}
		if len(shards) == 0 {
			r.Targets = []matcher.Target{{Service: "a", Weight: 1}}
		}
		return r
	}
	return matcher.Config{
		Version: 7, Routes: []matcher.Route{route("one", false), route("many", false, "a", "b"), route("public", true)},
		Accounts: []matcher.Account{
			{Name: "ann", Keys: []string{secretKey}},
			{Name: "urgent", Keys: []string{"urgent-key"}, HasPriority: true},
		},
	}
}

func newAccountsFixture() *fixture {
	f := newFixture()
	f.matcher = matcher.New(accountsConfig())
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	return f
}

// sentFields returns the header fields of the last request as a leaf gets them.
func (f *fixture) sentFields(t *testing.T) http.Header {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(
		bytes.NewReader(f.requests[len(f.requests)-1].Message.Head), strings.NewReader("\r\n"))))
	is.New(t).NoErr(err)
	return r.Header
}

// Guards against a leaf that learns a caller's key, or takes a caller for another account than that of its key.
func TestLeafGetsAccountInsteadOfKey(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fields     []string
		account    string
	}{
		{"one leaf", "/one/x", []string{"Authorization", "Token " + secretKey}, "ann"},
		{"several shards", "/many/x", []string{"Authorization", "token  " + secretKey}, "ann"},
		{
			"forged account", "/one/x",
			[]string{"Account", "urgent", "authorization", "Token " + secretKey, "ACCOUNT", "urgent", "account", ""},
			"ann",
		},
		{
			"account and key as connection options", "/one/x",
			[]string{
				"Authorization", "Token " + secretKey, "Connection", "account, authorization", "Account", "urgent",
			},
			"ann",
		},
		{"public route without a key", "/public/x", []string{"Account", "urgent"}, ""},
		{"public route with a known key", "/public/x", []string{"Authorization", "Token " + secretKey}, "ann"},
		{"public route with an unknown key", "/public/x", []string{"Authorization", "Token unknown"}, ""},
		{"public route with other credentials", "/public/x", []string{"Authorization", "Basic " + secretKey}, ""},
		{
			"public route with several keys", "/public/x",
			[]string{"Authorization", "Token " + secretKey, "Authorization", "Token urgent-key"},
			"",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAccountsFixture()
			is.Equal(f.do("GET", c.path, "", c.fields...).StatusCode, 200)
			is.Equal(f.requests[0].Account, c.account)
			sent := f.sentFields(t)
			is.Equal(sent.Values("Account"), expectedValues(c.account))
			is.Equal(len(sent.Values("Authorization")), 0)
			is.True(!bytes.Contains(f.requests[0].Message.Head, []byte(secretKey)))
			is.True(!strings.Contains(f.log.String(), secretKey))
		})
	}
}

func expectedValues(account string) []string {
	if account == "" {
		return nil
	}
	return []string{account}
}

// Guards against a leaf whose framework does not distinguish hyphens from underscores in the names of fields.
func TestForgedAccountWithUnderscoresIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newAccountsFixture()
	f.names.Account = "Client-Account"
	f.server = server.New(f.serverConfig())
	is.Equal(f.do("GET", "/one/x", "", "Authorization", "Token "+secretKey, "client_account", "urgent",
		"Client_Account", "urgent", "X_Own", "1").StatusCode, 200)
	sent := f.sentFields(t)
	is.Equal(sent.Values("Client-Account"), []string{"ann"})
	is.Equal(len(sent.Values("Client_account")), 0)
	is.Equal(sent.Get("X_own"), "1")
}

// Guards against a change for callers of a configuration without accounts, where the fields have no meaning.
func TestFieldsOfAccountsAreOrdinaryWithoutAccounts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	is.Equal(f.do("GET", "/one/x", "", "Authorization", "Basic abc", "Account", "own").StatusCode, 200)
	is.Equal(f.sentFields(t).Get("Authorization"), "Basic abc")
	is.Equal(f.sentFields(t).Get("Account"), "own")
	is.True(f.requests[0].MaySend == nil)
}

// Guards against a stranger whose request runs, and against a caller that is refused for good because this node does
// not have the newest configuration.
func TestStrangerIsRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		fields  []string
		outcome string
	}{
		{"no key", nil, "no_key"},
		{"several", []string{"Authorization", "Token " + secretKey, "Authorization", "Token " + secretKey}, "several_keys"},
		{"malformed", []string{"Authorization", "Bearer " + secretKey}, "malformed_key"},
		{"unknown", []string{"Authorization", "Token un" + secretKey}, "unknown_key"},
		{"account without a key", []string{"Account", "ann"}, "no_key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAccountsFixture()
			w := f.do("GET", "/one/x", "", c.fields...)
			is.Equal(w.StatusCode, 401)
			is.Equal(w.Header.Get("WWW-Authenticate"), "Token")
			is.Equal(w.Header.Get("Retry-After"), "")
			is.True(strings.Contains(f.log.String(), "outcome="+c.outcome))
			f.configCurrent = false
			w = f.do("GET", "/one/x", "", c.fields...)
			is.Equal(w.StatusCode, 503)
			is.True(w.Header.Get("Retry-After") != "")
			is.Equal(len(f.requests), 0)
			is.True(!strings.Contains(f.log.String(), secretKey))
			is.Equal(f.do("GET", "/none/x", "", c.fields...).StatusCode, 503) // no route, if this is the newest
		})
	}
}

// Guards against a stranger that holds a request open with a body that does not arrive.
func TestStrangerIsRefusedBeforeItsBodyArrives(t *testing.T) {
	for name, framing := range map[string]string{
		"stated length": "Content-Length: 8\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(newAccountsFixture().server)
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			startedAt := time.Now()
			_, err = io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"+framing)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, 401)
			is.True(response.Close)
			is.True(time.Since(startedAt) < 500*time.Millisecond)
		})
	}
}

// Guards against a rank of the route that goes before that of the account.
func TestPriorityOfAccountGoesBeforeThatOfRoute(t *testing.T) {
	is := is.New(t)
	f := newAccountsFixture()
	for key, want := range map[string]int{secretKey: 3, "urgent-key": 0} {
		f.do("GET", "/one/x", "", "Authorization", "Token "+key)
		is.Equal(f.requests[len(f.requests)-1].Priority, want)
	}
	f.result = gatherer.Result{Outcome: gatherer.OutcomeNotRun}
	ordinary := f.do("GET", "/one/x", "", "Authorization", "Token "+secretKey).Header.Get("Retry-After")
	urgent := f.do("GET", "/one/x", "", "Authorization", "Token urgent-key").Header.Get("Retry-After")
	is.True(urgent < ordinary) // both have three decimals and less than a second
}

// Guards against a request that waits, for its body or for a leaf, until its key is withdrawn, and is sent all the
// same.
func TestRequestIsNotSentAfterKeyIsWithdrawn(t *testing.T) {
	withdrawn := accountsConfig()
	withdrawn.Version, withdrawn.Accounts = 8, withdrawn.Accounts[1:]
	moved := accountsConfig()
	moved.Version, moved.Accounts[0].Keys, moved.Accounts[1].Keys = 8, nil, []string{secretKey}
	kept := accountsConfig()
	kept.Version, kept.Accounts = 8, []matcher.Account{kept.Accounts[1], kept.Accounts[0]}
	without := accountsConfig()
	without.Version, without.Accounts = 8, nil
	unneeded := accountsConfig()
	unneeded.Version, unneeded.Accounts, unneeded.Routes[0].Public = 8, unneeded.Accounts[1:], true
	for _, c := range []struct {
		name    string
		change  func(f *fixture)
		maySend bool
		status  int
	}{
		{"nothing changes", func(*fixture) {}, true, 0},
		{"key is kept", func(f *fixture) { f.matcher = matcher.New(kept) }, true, 0},
		{"no accounts any more", func(f *fixture) { f.matcher = matcher.New(without) }, true, 0},
		{"key is withdrawn", func(f *fixture) { f.matcher = matcher.New(withdrawn) }, false, 401},
		{"key is withdrawn, but perhaps given back", func(f *fixture) {
			f.matcher, f.configCurrent = matcher.New(withdrawn), false
		}, false, 503},
		{"key belongs to another account", func(f *fixture) { f.matcher = matcher.New(moved) }, false, 503},
		{"key is withdrawn, but the route needs none", func(f *fixture) { f.matcher = matcher.New(unneeded) }, false, 503},
		{"a newer version is overdue", func(f *fixture) { f.configOutdated = true }, false, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAccountsFixture()
			maySend := true
			f.onRun = func(r gatherer.Request) {
				is.True(r.MaySend())
				c.change(f)
				maySend = r.MaySend()
				if !maySend {
					f.result = gatherer.Result{Outcome: gatherer.OutcomeNotRun, Forbidden: true}
					f.configOutdated = false
					is.True(!r.MaySend()) // for good
				}
			}
			w := f.do("GET", "/one/x", "", "Authorization", "Token "+secretKey)
			is.Equal(maySend, c.maySend)
			if !c.maySend {
				is.Equal(w.StatusCode, c.status)
			}
			is.True(!strings.Contains(f.log.String(), secretKey))
		})
	}
}

// emptyQuota has nothing left for any account.
type emptyQuota struct{}

func (emptyQuota) Take(string) (bool, time.Duration) { return false, 2 * time.Second }
func (emptyQuota) Return(string)                     {}

// Guards against quotas that act before the key is known, or on callers without an account.
func TestQuotaIsThatOfAccountOfKey(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fields     []string
		status     int
	}{
		{"known key", "/one/x", []string{"Authorization", "Token " + secretKey}, 429},
		{"unknown key", "/one/x", []string{"Authorization", "Token unknown"}, 401},
		{"public route without a key", "/public/x", nil, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAccountsFixture()
			config := f.serverConfig()
			config.Quota = emptyQuota{}
			f.server = server.New(config)
			is.Equal(f.do("GET", c.path, "", c.fields...).StatusCode, c.status)
		})
	}
}
