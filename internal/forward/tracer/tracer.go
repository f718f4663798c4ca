// Package tracer reports callers' connections that end while a request on them is unanswered, and why they ended. The
// HTTP server closes a connection without saying so after a failed write or a panic; its listener is
// wrapped, so that each of them leaves a line of the log.
package tracer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// CauseCaller means that the caller has closed the connection or reset it.
	CauseCaller Cause = "caller"
	// CauseWrite means that an answer could not be written whole, although the caller has not closed the connection.
	CauseWrite Cause = "write"
	// CauseNode means that this node has closed the connection on its own.
	CauseNode Cause = "node"
)

type (
	// Cause is why a connection has ended.
	Cause string

	// Config holds what a Tracer needs.
	Config struct {
		// OnUnanswered is called for each connection that has ended with an unanswered request.
		OnUnanswered func(c Cause)
		Logger       *slog.Logger
	}

	// Tracer traces the connections of one listener. It is safe for concurrent use.
	Tracer struct {
		config Config
	}

	// connectionKey is the context key of a connection.
	connectionKey struct{}

	listener struct {
		net.Listener
		tracer *Tracer
	}

	connection struct {
		net.Conn
		tracer *Tracer
		mutex  sync.Mutex
		// requestID is the ID of the last request whose head has been read.
		requestID string
		// unanswered is set from the first byte of a request until bytes of its answer have been written.
		unanswered bool
		// begunAt is when the first byte of the last request was read.
		begunAt time.Time
		// received and written count the bytes since begunAt.
		received, written int
		// readError is the error of the last read, and writeError that of the first write that failed.
		readError, writeError error
		// closed is set for good by Close.
		closed bool
	}
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseCaller, CauseWrite, CauseNode}
}

// New returns a Tracer.
func New(c Config) *Tracer {
	return &Tracer{config: c}
}

// Listener returns a listener whose connections are traced.
func (t *Tracer) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, tracer: t}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, tracer: l.tracer}, nil
}

// NewContext returns a context for the requests of a connection. c may wrap a traced connection that its method NetConn
// returns.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	for {
		if t, ok := c.(*connection); ok {
			return context.WithValue(ctx, connectionKey{}, t)
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = w.NetConn()
	}
}

// SetRequestID sets the ID of the request that has been read from the connection of the context.
func SetRequestID(ctx context.Context, id string) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestID = id
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readError = err
	if n == 0 {
		return n, err
	}
	if !c.unanswered {
		c.unanswered, c.begunAt, c.received, c.written, c.requestID = true, time.Now(), 0, 0, ""
	}
	c.received += n
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.written += n
	if err == nil {
		c.unanswered = false
	} else if c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mutex.Lock()
	report := !c.closed && (c.unanswered || c.writeError != nil)
	c.closed = true
	c.mutex.Unlock()
	if report {
		c.report()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, for a server that closes a connection on which bytes may still arrive.
func (c *connection) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}

// NetConn returns the connection that is wrapped.
func (c *connection) NetConn() net.Conn { return c.Conn }

func (c *connection) report() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cause := c.cause()
	c.tracer.config.OnUnanswered(cause)
	if cause == CauseCaller && c.writeError == nil {
		return // the line of the request, if it was read, says so
	}
	c.tracer.config.Logger.Warn("connection ended with an unanswered request", "cause", string(cause),
		"request_id", c.requestID, "caller", c.RemoteAddr().String(), "begun", time.Since(c.begunAt),
		"received", c.received, "written", c.written, "read_error", c.readError, "write_error", c.writeError)
}

func (c *connection) cause() Cause {
	switch {
	case closedByCaller(c.readError), closedByCaller(c.writeError):
		return CauseCaller
	case c.writeError != nil:
		return CauseWrite
	default:
		return CauseNode
	}
}

func closedByCaller(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
