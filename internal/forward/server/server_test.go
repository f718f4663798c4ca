package server_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
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

// bed is a server whose gatherer returns a fixed result and keeps the last request.
type bed struct {
	result   gatherer.Result
	requests []gatherer.Request
	matcher  *matcher.Matcher
	fresh    bool
	draining bool
	log      bytes.Buffer
	server   *server.Server
}

func (b *bed) Run(_ context.Context, r gatherer.Request) gatherer.Result {
	b.requests = append(b.requests, r)
	return b.result
}

func newBed() *bed {
	b := &bed{fresh: true, matcher: matcher.New(matcher.Config{
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
	})}
	b.server = server.New(server.Config{
		Gatherer: b, Matcher: func() *matcher.Matcher { return b.matcher }, Fresh: func() bool { return b.fresh },
		Names: server.Names{
			Names:          exchanger.Names{RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign"},
			PartSignatures: "Signs", MissingParts: "Missing",
		},
		Draining: func() bool { return b.draining }, Observe: func(string, string, time.Duration, gatherer.Result) {},
		Logger: slog.New(slog.NewTextHandler(&b.log, nil)), Random: func() float64 { return 0 },
	})
	return b
}

func (b *bed) do(method, path, body string, fields ...string) *http.Response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("Id", "r1")
	for i := 0; i < len(fields); i += 2 {
		r.Header.Add(fields[i], fields[i+1])
	}
	w := httptest.NewRecorder()
	b.server.ServeHTTP(w, r)
	return w.Result()
}

func reply(status int, body, signature string) *exchanger.Reply {
	return &exchanger.Reply{Status: status, Body: []byte(body), Signature: signature, Header: http.Header{
		"Sign": {signature}, "Id": {"r1"}, "X-Leaf": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
		"Keep-Alive": {"timeout=5"},
	}}
}

func TestTheLeafsAnswerIsPassedOnUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(201, "hello", "s1")}}
	w := b.do("GET", "/one/x", "")
	body, _ := io.ReadAll(w.Body)
	is.Equal(w.StatusCode, 201)
	is.Equal(string(body), "hello")
	is.Equal(w.Header.Get("Sign"), "s1")
	is.Equal(w.Header.Get("X-Leaf"), "1")
	for _, hop := range []string{"Connection", "X-Hop", "Keep-Alive"} {
		is.Equal(w.Header.Get(hop), "") // concerns one connection only
	}
}

func TestTheRequestIsHandedOnUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "", "s1")}}
	b.do("POST", "/one//a%2Fb?q=%20&q", "12345678", "X-Own", "a", "X-Own", "b", "Connection", "X-Hop", "X-Hop", "1",
		"Left", "400", "Leaf", "forged")
	m := b.requests[0].Message
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
		is.Equal(parsed.Header.Get(name), "") // set anew for each leaf, or for one connection only
	}
	left := time.Until(m.Deadline)
	is.True(left > 300*time.Millisecond && left <= 400*time.Millisecond)
	is.True(b.requests[0].Timeout <= 410*time.Millisecond)
}

func TestPartsMakeOneAnswer(t *testing.T) {
	is := is.New(t)
	b := newBed()
	small, large := strings.Repeat("a", 16), strings.Repeat("b", 16)
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, small, "s1"), reply(200, large+"rest", "s2")}}
	w := b.do("GET", "/many/x", "")
	body, _ := io.ReadAll(w.Body)
	is.Equal(string(body), large)
	is.Equal(w.Header.Get("Signs"), "s1, s2")
	is.Equal(w.Header.Get("Missing"), "1")
	is.Equal(w.Header.Get("Sign"), "") // the whole is no leaf's answer
	is.Equal(w.Header.Get("Id"), "r1")
	is.True(strings.Contains(b.log.String(), "request_id=r1"))
}

func TestWhatCallersAreTold(t *testing.T) {
	failure := reply(500, "broken", "s9")
	for _, c := range []struct {
		name, path string
		change     func(b *bed)
		status     int
		retry      bool
		signature  string
	}{
		{"no configuration yet", "/one/x", func(b *bed) { b.matcher = nil }, 503, true, ""},
		{"no route", "/none/x", func(*bed) {}, 404, false, ""},
		{"no route, but a newer version may have it", "/none/x", func(b *bed) { b.fresh = false }, 503, true, ""},
		{"not run", "/one/x", func(b *bed) { b.result.Outcome = gatherer.OutcomeNotRun }, 503, true, ""},
		{"timeout", "/one/x", func(b *bed) { b.result.Outcome = gatherer.OutcomeTimeout }, 504, false, ""},
		{"failed", "/one/x", func(b *bed) { b.result.Outcome = gatherer.OutcomeFailed }, 502, false, ""},
		{"a leaf's failure", "/one/x", func(b *bed) {
			b.result = gatherer.Result{Outcome: gatherer.OutcomeFailed, Failure: failure}
		}, 500, false, "s9"},
		{"a leaf's failure is no part", "/many/x", func(b *bed) {
			b.result = gatherer.Result{Outcome: gatherer.OutcomeFailed, Failure: failure}
		}, 502, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBed()
			c.change(b)
			w := b.do("GET", c.path, "")
			is.Equal(w.StatusCode, c.status)
			is.Equal(w.Header.Get("Retry-After") != "", c.retry)
			is.Equal(w.Header.Get("Sign"), c.signature)
			is.True(strings.Contains(b.log.String(), "request_id=r1")) // each of them can be explained
		})
	}
}

func TestARequestWithoutAnIDIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBed()
	r := httptest.NewRequest(http.MethodGet, "/one/x", nil)
	r.Host = "h"
	w := httptest.NewRecorder()
	b.server.ServeHTTP(w, r)
	is.Equal(w.Code, 400)
	is.Equal(len(b.requests), 0)
}

func TestACallerThatStopsInItsBodyIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	b := newBed()
	s := httptest.NewServer(b.server)
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	startedAt := time.Now()
	_, err = io.WriteString(c, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 400)
	is.True(time.Since(startedAt) < 2*time.Second)
}

func TestALongBodyIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBed()
	is.Equal(b.do("POST", "/one/x", "123456789").StatusCode, 413)
	is.Equal(len(b.requests), 0)
}

func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.draining = true
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	is.Equal(b.do("GET", "/one/x", "").Header.Get("Connection"), "close")
}

func TestTargetsGetTheirShare(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	count := map[string]int{}
	for range 400 {
		b.do("GET", "/one/x", "")
	}
	for _, r := range b.requests {
		count[r.Services[0]]++
	}
	is.Equal(count, map[string]int{"a": 300, "b": 100})
}

func TestTimeThatTheCallerHasSpentCounts(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.result = gatherer.Result{Parts: []*exchanger.Reply{reply(200, "x", "s")}}
	for _, left := range []int{800, 500, 800} {
		b.do("GET", "/one/x", "", "Left", strconv.Itoa(left))
	}
	is.True(b.requests[0].Spent < 20*time.Millisecond)
	is.Equal(b.requests[1].Spent-b.requests[0].Spent, 300*time.Millisecond) // a second attempt
	is.Equal(b.requests[2].Spent, b.requests[0].Spent)
}
