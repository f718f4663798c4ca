package tracer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/tracer"
)

const (
	headerTimeout = 50 * time.Millisecond
	// logTimeout bounds the wait for a line of the log.
	logTimeout = 10 * time.Second
)

// fixture is an HTTP server whose connections are traced.
type fixture struct {
	address string
	causes  chan tracer.Cause
	mutex   sync.Mutex
	log     bytes.Buffer
}

func (f *fixture) Write(b []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.log.Write(b)
}

func (f *fixture) logged() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.log.String()
}

func newFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	f := &fixture{causes: make(chan tracer.Cause, 4)}
	tr := tracer.New(tracer.Config{
		OnUnanswered: func(c tracer.Cause) { f.causes <- c }, Logger: slog.New(slog.NewTextHandler(f, nil)),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f.address = l.Addr().String()
	s := &http.Server{
		ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tracer.SetRequestID(r.Context(), r.Header.Get("Id"))
			handler(w, r)
		}),
		ConnContext: tracer.NewContext,
	}
	go func() { _ = s.Serve(tr.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return f
}

func (f *fixture) dial(t *testing.T) *net.TCPConn {
	c, err := net.Dial("tcp", f.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func get(id string) string { return "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n" }

// Guards against connections that this node closes with a request on them and without a line of the log.
func TestConnectionEndingWithUnansweredRequestIsReported(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		call    func(c *net.TCPConn)
		cause   tracer.Cause
		logged  string
	}{
		{
			"panic in the handler", func(http.ResponseWriter, *http.Request) { panic("fault") },
			func(c *net.TCPConn) { _, _ = io.WriteString(c, get("r1")) }, tracer.CauseNode, "request_id=r1",
		},
		{
			"caller that resets", func(http.ResponseWriter, *http.Request) {},
			func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHo")
				time.Sleep(headerTimeout / 5)
				_ = c.SetLinger(0)
				_ = c.Close()
			}, tracer.CauseCaller, "",
		},
		{
			"write that fails",
			func(w http.ResponseWriter, _ *http.Request) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
				_, _ = w.Write(make([]byte, 1<<16))
			},
			func(c *net.TCPConn) { _, _ = io.WriteString(c, get("r1")) }, tracer.CauseWrite, "request_id=r1",
		},
		{
			"caller that resets during the answer",
			func(w http.ResponseWriter, _ *http.Request) {
				for range 1000 {
					if _, err := w.Write(make([]byte, 1<<16)); err != nil {
						return
					}
				}
			},
			func(c *net.TCPConn) {
				_, _ = io.WriteString(c, get("r1"))
				_, _ = c.Read(make([]byte, 1))
				_ = c.SetLinger(0)
				_ = c.Close()
			}, tracer.CauseCaller, "request_id=r1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.handler)
			c.call(f.dial(t))
			is.Equal(<-f.causes, c.cause)
			if c.logged == "" {
				return
			}
			for deadline := time.Now().Add(logTimeout); !strings.Contains(f.logged(), c.logged); {
				if time.Now().After(deadline) {
					t.Fatalf("no line has %s: %s", c.logged, f.logged())
				}
				time.Sleep(time.Millisecond)
			}
			is.True(strings.Contains(f.logged(), "cause="+string(c.cause)))
		})
	}
}

// Guards against lines for connections whose requests were all answered.
func TestConnectionWithAnsweredRequestsIsNotReported(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	c := f.dial(t)
	for i := range 3 {
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nId: r%d\r\nContent-Length: 4\r\n\r\nbody", i)
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1024))
		is.NoErr(err)
	}
	is.NoErr(c.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 3*headerTimeout)
	defer cancel()
	select {
	case cause := <-f.causes:
		t.Errorf("reported with the cause %s", cause)
	case <-ctx.Done():
	}
	is.Equal(f.logged(), "")
}
