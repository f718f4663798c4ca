package reaper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/reaper"
)

// fakeConnection records whether it was closed.
type fakeConnection struct {
	net.Conn
	closed bool
}

func (c *fakeConnection) Close() error {
	c.closed = true
	return nil
}

// fakeListener accepts one end of a pipe.
type fakeListener struct {
	net.Listener
	accepted net.Conn
}

func (l *fakeListener) Accept() (net.Conn, error) { return l.accepted, nil }

// idleConnection returns both ends of a connection that has become idle at the reaper's server.
func idleConnection(is *is.I, r *reaper.Reaper) (caller, accepted net.Conn) {
	caller, end := net.Pipe()
	accepted, err := r.Listener(&fakeListener{accepted: end}).Accept()
	is.NoErr(err)
	r.Observe(accepted, http.StateIdle)
	return caller, accepted
}

// readNext does what the server does with an idle or new connection: it reads, and closes the connection if that fails.
// The channel is closed afterwards.
func readNext(r *reaper.Reaper, accepted net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := accepted.Read(make([]byte, 1)); err != nil {
			_ = accepted.Close()
			r.Observe(accepted, http.StateClosed)
		}
	}()
	return done
}

// Guards against the loss of a request of which the server has read the first bytes when the idle time ends.
func TestConnectionIsNotClosedOnceRequestBegins(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: clock})
	caller, accepted := idleConnection(is, r)
	go func() { _, _ = caller.Write([]byte("GET ")) }()
	b := make([]byte, 16)
	_, err := accepted.Read(b)
	is.NoErr(err)
	clock.Advance(time.Second).MustWait(t.Context()) // the server has not called the connection active yet
	go func() { _, _ = caller.Write([]byte("/ HTTP/1.1")) }()
	n, err := accepted.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "/ HTTP/1.1")
	r.Observe(accepted, http.StateActive)
	clock.Advance(time.Second).MustWait(t.Context())
	go func() { _, _ = caller.Read(b) }()
	_, err = accepted.Write([]byte("HTTP/1.1 200 OK"))
	is.NoErr(err)
}

// Guards against a connection that stays open for ever after a byte that no request follows.
func TestConnectionWithUnfinishedRequestIsClosedAfterSecondTimeout(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: clock})
	caller, accepted := idleConnection(is, r)
	go func() { _, _ = caller.Write([]byte("G")) }()
	_, err := accepted.Read(make([]byte, 1))
	is.NoErr(err)
	clock.Advance(time.Second).MustWait(t.Context())
	clock.Advance(time.Second).MustWait(t.Context())
	readNext(r, accepted)
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

func TestReaperClosesConnectionAfterTimeout(t *testing.T) {
	is := is.New(t)
	clock, timeout := quartz.NewMock(t), 15*time.Second
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return timeout }, Clock: clock})
	idle, active, unlimited := &fakeConnection{}, &fakeConnection{}, &fakeConnection{}
	r.Observe(idle, http.StateIdle)
	r.Observe(active, http.StateIdle)
	clock.Advance(12 * time.Second).MustWait(t.Context())
	r.Observe(active, http.StateActive)
	timeout = 0 // the configuration has changed
	r.Observe(unlimited, http.StateIdle)
	clock.Advance(3 * time.Second).MustWait(t.Context())
	is.True(idle.closed)
	is.True(!active.closed)
	is.True(!unlimited.closed)
}

// Guards against a stop that waits for a connection that was accepted last and never used.
func TestDrainClosesConnectionAcceptedLast(t *testing.T) {
	is := is.New(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return 0 }, Clock: quartz.NewMock(t)})
	caller, end := net.Pipe()
	accepted, err := r.Listener(&fakeListener{accepted: end}).Accept()
	is.NoErr(err)
	r.Drain()
	r.Observe(accepted, http.StateNew)
	closed := readNext(r, accepted)
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	<-closed
	is.Equal(r.Busy(), 0)
}

// Guards against requests that a stopping node has read and passed on although it closes their connections as idle.
func TestDrainClosesOnlyConnectionsWithoutRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []http.ConnState
		begun  bool
		kept   bool
	}{
		{"idle", []http.ConnState{http.StateNew, http.StateIdle}, false, false},
		{"idle, request begun", []http.ConnState{http.StateNew, http.StateIdle}, true, true},
		{"new", []http.ConnState{http.StateNew}, false, false},
		{"new, request begun", []http.ConnState{http.StateNew}, true, true},
		{"active", []http.ConnState{http.StateNew, http.StateIdle}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := reaper.New(reaper.Config{Timeout: func() time.Duration { return 0 }, Clock: quartz.NewMock(t)})
			caller, end := net.Pipe()
			accepted, err := r.Listener(&fakeListener{accepted: end}).Accept()
			is.NoErr(err)
			for _, s := range c.states {
				r.Observe(accepted, s)
			}
			if c.begun {
				go func() { _, _ = caller.Write([]byte("GET ")) }()
				_, err := accepted.Read(make([]byte, 4))
				is.NoErr(err)
			}
			if c.name == "active" {
				r.Observe(accepted, http.StateActive)
			}
			r.Drain()
			if !c.kept {
				closed := readNext(r, accepted)
				_, err := caller.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
				<-closed
				is.Equal(r.Busy(), 0)
				return
			}
			is.Equal(r.Busy(), 1)
			go func() { _, _ = caller.Write([]byte("/ HTTP/1.1")) }()
			_, err = accepted.Read(make([]byte, 10)) // the rest of the request still arrives
			is.NoErr(err)
			r.Observe(accepted, http.StateIdle) // the request has been answered
			closed := readNext(r, accepted)
			_, err = caller.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
			<-closed
			is.Equal(r.Busy(), 0)
		})
	}
}

// Guards against a request that a stopping node cuts off because its bytes were read together with the one before.
func TestDrainKeepsConnectionWithPipelinedRequest(t *testing.T) {
	is := is.New(t)
	r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: quartz.NewMock(t)})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	second, proceed := make(chan struct{}), make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Second, ConnState: r.Observe, Handler: http.HandlerFunc(
		func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/second" {
				close(second)
				<-proceed
			}
		})}
	go func() { _ = s.Serve(r.Listener(l)) }()
	defer func() { _ = s.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-second
	r.Drain()
	close(proceed)
	answers := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
}

// wrappingListener accepts connections that hide their socket behind NetConn.
type wrappingListener struct{ net.Listener }

// wrappedConnection is a connection with its own Read, as of a package that observes it.
type wrappedConnection struct{ net.Conn }

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return wrappedConnection{c}, err
}

func (c wrappedConnection) NetConn() net.Conn { return c.Conn }

// Guards against a connection that is closed as idle although a request has arrived that a slow process has not read.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(*reaper.Reaper, *quartz.Mock)
	}{
		{"idle time is over", func(_ *reaper.Reaper, c *quartz.Mock) { c.Advance(time.Second).MustWait(t.Context()) }},
		{"stop", func(r *reaper.Reaper, _ *quartz.Mock) { r.Drain() }},
		{"stop after the idle time", func(r *reaper.Reaper, c *quartz.Mock) {
			c.Advance(time.Second).MustWait(t.Context())
			r.Drain()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: clock})
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = caller.Close() }()
			accepted, err := r.Listener(wrappingListener{l}).Accept()
			is.NoErr(err)
			r.Observe(accepted, http.StateNew)
			r.Observe(accepted, http.StateIdle)
			_, err = io.WriteString(caller, "GET ")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // the bytes have arrived
			c.close(r, clock)
			n, err := accepted.Read(make([]byte, 8))
			is.NoErr(err)
			is.Equal(n, 4)
		})
	}
}

// lateConnection is a connection whose read gets bytes although it was to end before.
type lateConnection struct {
	net.Conn
	reading, arrive chan struct{}
	closed          bool
}

func (c *lateConnection) Read(b []byte) (int, error) {
	close(c.reading)
	<-c.arrive
	return copy(b, "GET "), nil
}

func (c *lateConnection) SetReadDeadline(time.Time) error { return nil }

func (c *lateConnection) Close() error {
	c.closed = true
	return nil
}

// Guards against a request whose bytes the server has taken and whose connection is closed as idle in the same moment.
func TestRequestReadWhileConnectionIsClosedIsServed(t *testing.T) {
	for name, end := range map[string]func(*reaper.Reaper, *quartz.Mock){
		"idle time is over": func(_ *reaper.Reaper, c *quartz.Mock) { c.Advance(time.Second).MustWait(t.Context()) },
		"stop":              func(r *reaper.Reaper, _ *quartz.Mock) { r.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			r := reaper.New(reaper.Config{Timeout: func() time.Duration { return time.Second }, Clock: clock})
			late := &lateConnection{reading: make(chan struct{}), arrive: make(chan struct{})}
			accepted, err := r.Listener(&fakeListener{accepted: late}).Accept()
			is.NoErr(err)
			r.Observe(accepted, http.StateIdle)
			read := make(chan int)
			go func() {
				n, _ := accepted.Read(make([]byte, 8))
				read <- n
			}()
			<-late.reading
			end(r, clock)
			close(late.arrive)
			is.Equal(<-read, 4)
			is.True(!late.closed)
			r.Observe(accepted, http.StateActive)
			is.Equal(r.Busy(), 1)
		})
	}
}
