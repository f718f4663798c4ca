package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

var names = exchanger.HeaderNames{ //nolint:gochecknoglobals // constant
	RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run", Leaving: "Leaving",
}

// fakeLeaf answers each request with the next of its scripts, in turn. In a script {id} stands for the ID of the
// request, a duration before "|" delays the answer, and "RST" or "FIN" at the end resets or closes the connection.
type fakeLeaf struct {
	listener    net.Listener
	scripts     []string
	requests    atomic.Int64
	connections atomic.Int64
	// lastRequest and lastBody have the most recent request.
	lastRequest atomic.Pointer[http.Request]
	lastBody    atomic.Pointer[string]
	// mutex guards idle, the set of connections that carry no request now.
	mutex sync.Mutex
	idle  map[net.Conn]bool
	// gate, if not nil, delays each answer until a value arrives. It is set before the first request.
	gate chan struct{}
}

func newLeaf(t *testing.T, scripts ...string) (*fakeLeaf, *exchanger.Exchanger) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &fakeLeaf{listener: listener, scripts: scripts, idle: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.connections.Add(1)
			go l.serve(c)
		}
	}()
	e := exchanger.New(exchanger.Config{
		Address: listener.Addr().String(), LeafID: "leaf-1", HeaderNames: names, MaxAnswerBytes: 1 << 16,
	})
	t.Cleanup(e.Close)
	return l, e
}

func (l *fakeLeaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		l.setIdle(c, true)
		r, err := http.ReadRequest(reader)
		l.setIdle(c, false)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		text := string(body)
		l.lastRequest.Store(r)
		l.lastBody.Store(&text)
		script := l.scripts[(int(l.requests.Add(1))-1)%len(l.scripts)]
		script = strings.ReplaceAll(script, "{id}", r.Header.Get("Id"))
		end := ""
		for _, e := range []string{"RST", "FIN"} {
			if s, ok := strings.CutSuffix(script, e); ok {
				script, end = s, e
			}
		}
		if delay, rest, ok := strings.Cut(script, "|"); ok {
			d, _ := time.ParseDuration(delay)
			time.Sleep(d)
			script = rest
		}
		if l.gate != nil {
			<-l.gate
		}
		_, _ = io.WriteString(c, script)
		switch end {
		case "RST":
			time.Sleep(20 * time.Millisecond) // the bytes sent so far must arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "FIN":
			return
		}
	}
}

func (l *fakeLeaf) setIdle(c net.Conn, idle bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if idle {
		l.idle[c] = true
	} else {
		delete(l.idle, c)
	}
}

// writeToIdle writes text to all connections that carry no request.
func (l *fakeLeaf) writeToIdle(text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.idle {
		_, _ = io.WriteString(c, text)
	}
}

func request(id string) exchanger.Request {
	return exchanger.Request{
		Method: http.MethodGet, ID: id, Deadline: time.Now().Add(2 * time.Second),
		Head: fmt.Appendf(nil, "GET /a//b?c=%%20 HTTP/1.1\r\nHost: h\r\nId: %s\r\n", id),
	}
}

func do(t *testing.T, e *exchanger.Exchanger, id string) (*exchanger.Reply, error) {
	return e.Do(t.Context(), t.Context(), request(id), func() bool { return true })
}

const okAnswer = "HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s-{id}\r\nContent-Length: 4\r\n\r\nbody"

func TestDoSendsHeadUnchangedWithLeafIDAndTimeLeft(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, okAnswer)
	r := request("r1")
	r.Head = []byte("POST /a//b?c=%20 HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 5\r\n")
	r.Method, r.Body = http.MethodPost, []byte("12345")
	reply, err := e.Do(t.Context(), t.Context(), r, func() bool { return true })
	is.NoErr(err)
	is.Equal(string(reply.Body), "body")
	is.Equal(reply.Signature, "s-r1")
	received := l.lastRequest.Load()
	is.Equal(received.RequestURI, "/a//b?c=%20")
	is.Equal(received.Header.Get("Leaf"), "leaf-1")
	is.True(received.Header.Get("Left") > "1000" && received.Header.Get("Left") <= "2000")
	is.Equal(*l.lastBody.Load(), "12345")
}

// A connection on which an answer was malformed, cut short or followed by further bytes must not carry another
// request: what is left on it would be taken for the answer to that request.
func TestDoWithEachFormOfAnswer(t *testing.T) {
	for _, c := range []struct {
		name        string
		scripts     []string
		body        string // of the last request; empty when it fails
		connections int64  // after two requests
	}{
		{"kept connection", []string{okAnswer}, "body", 1},
		{"close", []string{strings.Replace(okAnswer, "Sign", "Connection: close\r\nSign", 1)}, "body", 2},
		{"bytes after a whole answer", []string{okAnswer + okAnswer, okAnswer}, "body", 2},
		{"answer of another request first", []string{strings.Replace(okAnswer, "{id}", "old", 1) + okAnswer}, "body", 2},
		{"only the answer of another request", []string{strings.Replace(okAnswer, "Id: {id}", "Id: old", 1) + "FIN"}, "", 2},
		{"informational answer first", []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer}, "body", 1},
		{"body ends early", []string{strings.Replace(okAnswer, "4", "9", 1) + "FIN"}, "", 2},
		{
			"no length, ends with the connection",
			[]string{strings.Replace(okAnswer, "Content-Length: 4\r\n", "", 1) + "FIN"},
			"body", 2,
		},
		{"no length, reset", []string{strings.Replace(okAnswer, "Content-Length: 4\r\n", "", 1) + "RST"}, "", 2},
		{"head ends before its last byte", []string{"HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s-{id}\r\n\rFIN"}, "", 2},
		{
			"head with length 0 ends before its last byte",
			[]string{"HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s-{id}\r\nContent-Length: 0\r\n\rFIN"},
			"", 2,
		},
		{"head ends after a field", []string{"HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s-{id}\r\nFIN"}, "", 2},
		{"head ends inside a field", []string{"HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s-{id}FIN"}, "", 2},
		{"head ends inside the name of a field", []string{"HTTP/1.1 200 OK\r\nId: {id}\r\nSign: s\r\nContFIN"}, "", 2},
		{"head ends after the status", []string{"HTTP/1.1 200 OKFIN"}, "", 2},
		{"not an answer", []string{"garbage\r\n\r\nFIN"}, "", 2},
		{"encoded", []string{strings.Replace(okAnswer, "Sign", "Content-Encoding: gzip\r\nSign", 1)}, "", 2},
		{"chunked", []string{strings.Replace(strings.Replace(okAnswer, "Content-Length: 4", "Transfer-Encoding: chunked", 1),
			"\r\nbody", "\r\n4\r\nbody\r\n0\r\n\r\n", 1)}, "body", 1},
		{"too large", []string{strings.Replace(okAnswer, "4", "999999", 1) + "FIN"}, "", 2},
		{"idle time over", []string{strings.Replace(okAnswer, "Sign", "Keep-Alive: timeout=0\r\nSign", 1)}, "body", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, e := newLeaf(t, c.scripts...)
			_, _ = do(t, e, "r1")
			time.Sleep(30 * time.Millisecond) // so that bytes after the answer have arrived
			reply, err := do(t, e, "r2")
			is.Equal(l.connections.Load(), c.connections)
			is.Equal(l.requests.Load(), int64(2)) // each request was sent exactly once
			if c.body == "" {
				is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer))
				return
			}
			is.NoErr(err)
			is.Equal(string(reply.Body), c.body)
			is.Equal(reply.Signature, "s-r2")
		})
	}
}

// A leaf sends a second copy of an answer late, on a connection that carries the next request by then. Its caller must
// get its own answer or none, never the copy.
func TestLateCopyIsNeverTakenForNextAnswer(t *testing.T) {
	copied := strings.ReplaceAll(okAnswer, "{id}", "r1")
	withoutID := strings.Replace(copied, "Id: r1\r\n", "", 1)
	for _, c := range []struct {
		name, second string
		answered     bool
	}{
		{"copy before the answer", copied + okAnswer, true},
		{"copy of a part with its own length", strings.Replace(copied, "4", "2", 1)[:len(copied)-2] + okAnswer, true},
		{"copy after the answer", okAnswer + copied, true},
		{"copy without an ID", withoutID + okAnswer, false},
		{"copy without an ID alone", withoutID, false},
		{"first half of a copy", copied[:30] + "FIN", false},
		{"second half of a copy", copied[30:] + okAnswer, false},
		{"copy inside the head of the answer", okAnswer[:20] + copied, false},
		{"three copies", copied + copied + copied + okAnswer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, e := newLeaf(t, okAnswer, c.second, okAnswer)
			_, err := do(t, e, "r1")
			is.NoErr(err)
			reply, err := do(t, e, "r2")
			is.Equal(err == nil, c.answered)
			if c.answered {
				is.Equal(reply.Signature, "s-r2")
			}
			reply, err = do(t, e, "r3")
			is.NoErr(err)
			is.Equal(reply.Signature, "s-r3")
			is.Equal(l.connections.Load(), int64(2)) // the connection with the copy is not used again
		})
	}
}

// Guards against failures left over from an earlier request that are taken for the answer to this one.
func TestFailureWithoutIDOnUsedConnectionIsUnidentified(t *testing.T) {
	is := is.New(t)
	const rejection = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	l, e := newLeaf(t, rejection, okAnswer, rejection+okAnswer, okAnswer)
	for _, unidentified := range []bool{false, false, true, false} {
		reply, err := do(t, e, "r")
		is.NoErr(err)
		is.Equal(reply.Unidentified, unidentified)
	}
	is.Equal(l.connections.Load(), int64(2)) // the connection with the left-over answer is not used again
}

// Guards against requests to a leaf that says in its answers that it is leaving.
func TestLeavingLeafGetsNoFurtherRequest(t *testing.T) {
	leaving := func(answer string) string { return strings.Replace(answer, "Id: ", "Leaving: 1\r\nId: ", 1) }
	const failure = "HTTP/1.1 500 Broken\r\nId: {id}\r\nSign: s\r\nContent-Length: 0\r\n\r\n"
	const rejection = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const misdirected = "HTTP/1.1 421 Misdirected\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name    string
		answer  string
		leaving bool
	}{
		{"success", leaving(okAnswer), true},
		{"failure", leaving(failure), true},
		{"rejection", leaving(rejection), true},
		{"other value", strings.Replace(okAnswer, "Id: ", "Leaving: 0\r\nId: ", 1), false},
		{"answer of another leaf", leaving(misdirected), false},
		{"late answer to another request", leaving(strings.Replace(okAnswer, "{id}", "old", 1)) + okAnswer, false},
		{"failure that may belong to no request", strings.Replace(leaving(failure), "Id: {id}\r\n", "", 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, e := newLeaf(t, okAnswer, c.answer, okAnswer)
			for range 2 {
				_, err := do(t, e, "r")
				is.NoErr(err)
			}
			is.Equal(e.Leaving(), c.leaving)
			e.SetCallable(true) // whatever other sources say
			_, err := do(t, e, "r3")
			is.Equal(errors.Is(err, exchanger.ErrNotCallable), c.leaving)
			want := int64(3)
			if c.leaving {
				want = 2
			}
			is.Equal(l.requests.Load(), want)
		})
	}
}

// Guards against a request that waits for a leaf and is sent to it after an answer in which it says that it is leaving.
func TestWaitEndsWhenAnswerSaysThatLeafIsLeaving(t *testing.T) {
	is := is.New(t)
	l, e, gate := newGatedLeaf(t)
	l.scripts = []string{strings.Replace(okAnswer, "Id: ", "Leaving: 1\r\nId: ", 1)}
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := do(t, e, "first")
		first <- err
	}()
	waitUntil(t, func() bool { return l.requests.Load() == 1 })
	go func() {
		_, err := do(t, e, "second")
		second <- err
	}()
	waitUntil(t, func() bool { return e.Waiting() == 1 })
	gate <- struct{}{}
	is.NoErr(<-first)
	is.True(errors.Is(<-second, exchanger.ErrNotCallable))
	is.Equal(l.requests.Load(), int64(1))
}

func TestReplyOrErrorSaysThatRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	_, e := newLeaf(t, "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Broken\r\nSign: s\r\nContent-Length: 0\r\n\r\n")
	for _, want := range []bool{true, true, false} {
		reply, err := do(t, e, "r")
		is.NoErr(err)
		is.Equal(reply.NotRun, want)
	}
	closed := exchanger.New(exchanger.Config{Address: "127.0.0.1:1", HeaderNames: names, MaxAnswerBytes: 1})
	_, err := do(t, closed, "r")
	is.True(errors.Is(err, exchanger.ErrNotSent))
}

func TestConnectionClosedByLeafIsNotReused(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, okAnswer+"FIN")
	_, err := do(t, e, "r1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, err = do(t, e, "r2")
	is.NoErr(err)
	is.Equal(l.connections.Load(), int64(2))
}

func TestCancelledContextClosesConnection(t *testing.T) {
	is := is.New(t)
	_, e := newLeaf(t, "2s|"+okAnswer)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	startedAt := time.Now()
	_, err := e.Do(ctx, ctx, request("r"), func() bool { return true })
	is.True(errors.Is(err, exchanger.ErrNoCompleteAnswer))
	is.True(time.Since(startedAt) < time.Second)
}

// newGatedLeaf returns an exchanger with one connection to a leaf that answers one request for each value sent to the
// channel.
func newGatedLeaf(t *testing.T) (*fakeLeaf, *exchanger.Exchanger, chan<- struct{}) {
	l, e := newLeaf(t, okAnswer)
	l.gate = make(chan struct{})
	e.SetConnectionLimit(1)
	return l, e, l.gate
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not reached in time")
		}
	}
}

// More requests than the only connection to a leaf can carry: the newest must be sent first, a request past its
// SendBy must not be sent, and one whose waiting context is cancelled must leave the queue. Each step waits for the one
// before it, so that the order does not depend on the speed of the machine.
func TestWaitingRequestsAreSentNewestFirstUnlessExpiredOrCancelled(t *testing.T) {
	is := is.New(t)
	l, e, gate := newGatedLeaf(t)
	ended := make(chan string, 5)
	start := func(id string, waitCtx context.Context, sendBy time.Time) {
		r := request(id)
		r.Deadline = time.Now().Add(time.Minute)
		r.SendBy = sendBy
		go func() {
			if _, err := e.Do(t.Context(), waitCtx, r, func() bool { return true }); err != nil {
				is.True(errors.Is(err, exchanger.ErrNotSent))
				is.True(errors.Is(err, exchanger.ErrNoConnection)) // not a failure of the leaf
				id += " not sent"
			}
			ended <- id
		}()
	}
	startWaiting := func(id string, waitCtx context.Context, sendBy time.Time) {
		before := e.Waiting()
		start(id, waitCtx, sendBy)
		waitUntil(t, func() bool { return e.Waiting() == before+1 })
	}
	cancelled, cancel := context.WithCancel(t.Context())
	start("first", t.Context(), time.Time{})
	waitUntil(t, func() bool { return l.requests.Load() == 1 })
	startWaiting("old", t.Context(), time.Time{})
	startWaiting("unwanted", cancelled, time.Time{})
	startWaiting("new", t.Context(), time.Time{})
	cancel()
	is.Equal(<-ended, "unwanted not sent")
	start("late", t.Context(), time.Now().Add(20*time.Millisecond))
	is.Equal(<-ended, "late not sent")
	for _, id := range []string{"first", "new", "old"} {
		gate <- struct{}{}
		is.Equal(<-ended, id)
	}
	is.Equal(l.connections.Load(), int64(1))
	is.Equal(l.requests.Load(), int64(3))
}

// A process that was paused, or a request that waited, can reach the moment of sending after the request's deadline.
// The leaf would work for nobody.
func TestRequestPastDeadlineOrWithdrawnIsNotSent(t *testing.T) {
	is := is.New(t)
	l, e := newLeaf(t, okAnswer)
	late := request("late")
	late.Deadline = time.Now().Add(-time.Second)
	_, err := e.Do(t.Context(), t.Context(), late, func() bool { return true })
	is.True(errors.Is(err, exchanger.ErrWithdrawn))
	is.True(errors.Is(err, exchanger.ErrNotSent))
	_, err = e.Do(t.Context(), t.Context(), request("withdrawn"), func() bool { return false })
	is.True(errors.Is(err, exchanger.ErrWithdrawn))
	_, err = do(t, e, "r1")
	is.NoErr(err)
	is.Equal(l.requests.Load(), int64(1))
	is.Equal(l.connections.Load(), int64(1)) // the connection of a request that was not sent is used for the next one
	is.True(e.HasCapacity())
}

// An unexpected answer can arrive on an idle connection while requests wait. A waiter that was handed this connection
// would take it for its own answer.
func TestWaiterIsNotHandedConnectionWithUnexpectedBytes(t *testing.T) {
	is := is.New(t)
	unexpected := strings.ReplaceAll(okAnswer, "{id}", "stray")
	l, e := newLeaf(t, "30ms|"+okAnswer, "30ms|"+okAnswer, "120ms|"+okAnswer, okAnswer)
	e.SetConnectionLimit(2)
	for range 2 { // opens two connections
		go func() { _, _ = do(t, e, "r") }()
	}
	time.Sleep(60 * time.Millisecond)
	now := time.Now()
	for i := range 4 { // lowers the concurrency limit to one request
		at := now.Add(time.Duration(i) * time.Second)
		e.AdjustConcurrency(at, at, true)
	}
	go func() { _, _ = do(t, e, "busy") }()
	time.Sleep(10 * time.Millisecond)
	l.writeToIdle(unexpected)
	replies := make(chan error, 1)
	go func() {
		_, err := do(t, e, "waits")
		replies <- err
	}()
	time.Sleep(10 * time.Millisecond)
	for range 10 {
		e.AdjustConcurrency(now, now, false)
	}
	is.NoErr(<-replies)
	is.Equal(l.connections.Load(), int64(3))
}

func TestLateAnswersLowerConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	_, e := newLeaf(t, "40ms|"+okAnswer)
	e.SetConnectionLimit(4)
	now := time.Now()
	for i := range 12 {
		at := now.Add(time.Duration(i) * time.Second)
		e.AdjustConcurrency(at, at.Add(100*time.Millisecond), true)
	}
	go func() { _, _ = do(t, e, "r") }()
	time.Sleep(10 * time.Millisecond)
	is.True(!e.HasCapacity()) // the limit is 1, and one request is in flight
	for range 20 {
		e.AdjustConcurrency(now, now, false)
	}
	is.True(e.HasCapacity())
}
