package server_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// fixture is a server with a fake gatherer, which returns a fixed result and records the requests.
type fixture struct {
	result        gatherer.Result
	requests      []gatherer.Request
	matcher       *matcher.Matcher
	configCurrent bool
	// configOutdated is set if a newer configuration is overdue.
	configOutdated bool
	draining       bool
	names          server.HeaderNames
	// onRun, if not nil, is called with each request that the gatherer gets.
	onRun  func(r gatherer.Request)
	log    bytes.Buffer
	server *server.Server
}

func (f *fixture) Run(_ context.Context, r gatherer.Request) gatherer.Result {
	f.requests = append(f.requests, r)
	if f.onRun != nil {
		f.onRun(r)
	}
	return f.result
}

func newFixture() *fixture {
	f := &fixture{configCurrent: true, matcher: matcher.New(matcher.Config{
		Version: 7, Limits: matcher.Limits{MaxBodyBytes: 8},
		Routes: []matcher.Route{
			{
				Name: "one", Host: "h", PathPrefix: "/one/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
				Targets: []matcher.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}},
			},
			{
				Name: "many", Host: "h", PathPrefix: "/many/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
				Shards: []string{"a", "b", "c"}, TopRecords: 1,
			},
		},
	}), names: server.HeaderNames{
		HeaderNames:    exchanger.HeaderNames{RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign"},
		PartSignatures: "Signs", MissingParts: "Missing", Key: "Authorization", KeyScheme: "Token", Account: "Account",
	}}
	f.server = server.New(f.serverConfig())
	return f
}

// serverConfig returns the configuration of the server.
func (f *fixture) serverConfig() server.Config {
	return server.Config{
		Gatherer: f, Matcher: func() *matcher.Matcher { return f.matcher },
		ConfigCurrent: func() bool { return f.configCurrent }, ConfigOutdated: func() bool { return f.configOutdated },
		HeaderNames: f.names,
		Draining:    func() bool { return f.draining }, Observe: func(string, string, time.Duration, gatherer.Result) {},
		Logger: slog.New(slog.NewTextHandler(&f.log, nil)), Random: func() float64 { return 0 },
	}
}

func (f *fixture) do(method, path, body string, fields ...string) *http.Response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for i := 0; i < len(fields); i += 2 {
		r.Header.Add(fields[i], fields[i+1])
	}
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, r)
	return w.Result()
}

func reply(status int, body, signature string) *exchanger.Reply {
	return &exchanger.Reply{Status: status, Body: []byte(body), Signature: signature, Header: http.Header{
		"Sign": {signature}, "Id": {"r1"}, "X-Leaf": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
		"Keep-Alive": {"timeout=5"},
	}}
}

func TestLeafAnswerIsReturnedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(201, "hello", "s1")}}
	w := f.do("GET", "/one/x", "")
	body, _ := io.ReadAll(w.Body)
	is.Equal(w.StatusCode, 201)
	is.Equal(string(body), "hello")
	is.Equal(w.Header.Get("Sign"), "s1")
	is.Equal(w.Header.Get("X-Leaf"), "1")
	for _, hop := range []string{"Connection", "X-Hop", "Keep-Alive"} {
		is.Equal(w.Header.Get(hop), "") // hop-by-hop
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "", "s1")}}
	f.do("POST", "/one//a%2Fb?q=%20&q", "12345678", "X-Own", "a", "X-Own", "b", "Connection", "X-Hop", "X-Hop", "1",
		"Left", "400", "Leaf", "forged")
	m := f.requests[0].Message
	is.Equal(string(m.Body), "12345678")
	parsed, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(m.Head), strings.NewReader("\r\n"),
		bytes.NewReader(m.Body))))
	is.NoErr(err)
	is.Equal(parsed.RequestURI, "/one//a%2Fb?q=%20&q")
	is.Equal(parsed.Method, "POST")
	is.Equal(parsed.Host, "h")
	is.Equal(parsed.ContentLength, int64(8))
	is.Equal(parsed.Header["X-Own"], []string{"a", "b"})
	is.Equal(parsed.Header.Get("Id"), "r1")
	for _, name := range []string{"X-Hop", "Connection", "Left", "Leaf"} {
		is.Equal(parsed.Header.Get(name), "") // set for each call, or hop-by-hop
	}
	left := time.Until(m.Deadline)
	is.True(left > 300*time.Millisecond && left <= 400*time.Millisecond)
	is.True(f.requests[0].Timeout <= 410*time.Millisecond)
}

func TestPartsAreMergedIntoOneAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	small, large := strings.Repeat("a", 16), strings.Repeat("b", 16)
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, small, "s1"), reply(200, large+"rest", "s2")}}
	w := f.do("GET", "/many/x", "")
	body, _ := io.ReadAll(w.Body)
	is.Equal(string(body), large)
	is.Equal(w.Header.Get("Signs"), "s1, s2")
	is.Equal(w.Header.Get("Missing"), "1")
	is.Equal(w.Header.Get("Sign"), "") // a merged answer has no leaf's signature
	is.Equal(w.Header.Get("Id"), "r1")
	is.True(strings.Contains(f.log.String(), "request_id=r1"))
}

func TestFailureStatusAndRetryAfter(t *testing.T) {
	failure := reply(500, "broken", "s9")
	for _, c := range []struct {
		name, path string
		change     func(f *fixture)
		status     int
		retryAfter bool
		signature  string
	}{
		{"no configuration yet", "/one/x", func(f *fixture) { f.matcher = nil }, 503, true, ""},
		{"no route", "/none/x", func(*fixture) {}, 404, false, ""},
		{"no route, but a newer version may have it", "/none/x", func(f *fixture) { f.configCurrent = false }, 503, true, ""},
		{"a newer version is overdue", "/one/x", func(f *fixture) { f.configOutdated = true }, 503, true, ""},
		{"not run", "/one/x", func(f *fixture) { f.result.Outcome = gatherer.OutcomeNotRun }, 503, true, ""},
		{"timeout", "/one/x", func(f *fixture) { f.result.Outcome = gatherer.OutcomeTimeout }, 504, false, ""},
		{"caller has ended its sending direction", "/one/x", func(f *fixture) {
			f.result.Outcome = gatherer.OutcomeCallerGone
		}, 502, false, ""},
		{"failed", "/one/x", func(f *fixture) { f.result.Outcome = gatherer.OutcomeFailed }, 502, false, ""},
		{"a leaf's failure", "/one/x", func(f *fixture) {
			f.result = gatherer.Result{Outcome: gatherer.OutcomeFailed, LeafFailure: failure}
		}, 500, false, "s9"},
		{"a leaf's failure is not returned for a sharded route", "/many/x", func(f *fixture) {
			f.result = gatherer.Result{Outcome: gatherer.OutcomeFailed, LeafFailure: failure}
		}, 502, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			c.change(f)
			w := f.do("GET", c.path, "")
			is.Equal(w.StatusCode, c.status)
			is.Equal(w.Header.Get("Retry-After") != "", c.retryAfter)
			is.Equal(w.Header.Get("Sign"), c.signature)
			is.True(strings.Contains(f.log.String(), "request_id=r1")) // each failure is logged
		})
	}
}

// An on-call engineer must see from the outcome why a request was refused, and a refused caller must have time left for
// its next attempt.
func TestRefusalNamesReasonAndLeavesTimeToRetry(t *testing.T) {
	for _, c := range []struct {
		name    string
		result  gatherer.Result
		outcome string
	}{
		{"no leaf", gatherer.Result{Outcome: gatherer.OutcomeNotRun, ServicesWithoutLeaf: []string{"a"}}, "not_run"},
		{"no connection became free", gatherer.Result{Outcome: gatherer.OutcomeNotRun, Withdrawn: 2}, "no_capacity"},
		{"no time left", gatherer.Result{Outcome: gatherer.OutcomeNotRun, OutOfTime: true}, "out_of_time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.result = c.result
			w := f.do("GET", "/one/x", "", "Left", "90")
			is.Equal(w.StatusCode, 503)
			after, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after <= 0.03)
			is.True(strings.Contains(f.log.String(), "outcome="+c.outcome))
		})
	}
}

func TestRequestWithoutIDIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	r := httptest.NewRequest(http.MethodGet, "/one/x", nil)
	r.Host = "h"
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, r)
	is.Equal(w.Code, 400)
	is.Equal(len(f.requests), 0)
}

// Guards against slow requests that are answered like faulty ones, which callers do not send again.
func TestIncompleteBodyTimesOut(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	s := httptest.NewServer(f.server)
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	startedAt := time.Now()
	_, err = io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 408)
	is.True(time.Since(startedAt) < 2*time.Second)
}

// Guards against requests that a stopping node neither runs nor answers because their bodies arrive too slowly.
func TestStopRefusesRequestWhoseBodyHasNotArrived(t *testing.T) {
	for _, stopBefore := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop before=%v", stopBefore), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.draining = true
			s := httptest.NewServer(f.server)
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			if stopBefore {
				f.server.Stop(100 * time.Millisecond)
			}
			_, err = io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 8\r\n\r\nhalf")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			if !stopBefore {
				f.server.Stop(50 * time.Millisecond)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, 503)
			is.True(response.Header.Get("Retry-After") != "")
			is.True(response.Close)
			is.Equal(len(f.requests), 0)
		})
	}
}

func TestBodyAboveLimitIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.do("POST", "/one/x", "123456789").StatusCode, 413)
	is.Equal(len(f.requests), 0)
}

func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.draining = true
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	is.Equal(f.do("GET", "/one/x", "").Header.Get("Connection"), "close")
}

func TestTargetsGetRequestsByWeight(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	count := map[string]int{}
	for range 400 {
		f.do("GET", "/one/x", "")
	}
	for _, r := range f.requests {
		count[r.Services[0]]++
	}
	is.Equal(count, map[string]int{"a": 300, "b": 100})
}

func TestTimeSpentIncludesEarlierAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	for _, left := range []int{800, 500, 800} {
		f.do("GET", "/one/x", "", "Left", strconv.Itoa(left))
	}
	is.True(f.requests[0].TimeSpent < 20*time.Millisecond)
	is.Equal(f.requests[1].TimeSpent-f.requests[0].TimeSpent, 300*time.Millisecond) // a second attempt
	is.Equal(f.requests[2].TimeSpent, f.requests[0].TimeSpent)
}

// Guards against a refusal of each request whose caller states that it waits for ever.
func TestAnyStatedWaitIsServed(t *testing.T) {
	for _, left := range []int64{1, 1 << 43, math.MaxInt64 / 1_000_000, math.MaxInt64} {
		is := is.New(t)
		f := newFixture()
		f.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
		f.do("GET", "/one/x", "", "Left", strconv.FormatInt(left, 10))
		is.True(time.Until(f.requests[0].Message.Deadline) > 0 || left == 1)
		is.True(f.requests[0].Timeout <= 1020*time.Millisecond)
		is.True(f.requests[0].Timeout > 0 || left == 1)
	}
}
