// Package exchanger sends requests to one leaf over HTTP/1.1 and reads its answers. A prepared request flows
// in, the leaf's whole answer flows out, or an error that says whether the leaf can have run the request.
//
// It keeps connections itself instead of using a client that hides them: a request is never sent twice
// unseen, an answer is matched to its request by the echoed id, and a connection that has shown anything but
// exactly one answer to each request carries no further one.
package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting; a leaf behind a cut link answers nothing.
	dialTimeout = time.Second
	// userTimeout ends a connection whose sent bytes are not acknowledged.
	userTimeout = 3 * time.Second
	// defaultIdle is how long a connection is kept when the leaf states no timeout.
	defaultIdle = 5 * time.Second
	// idleMargin is subtracted from the timeout that the leaf states, so that no request crosses its close.
	idleMargin = 500 * time.Millisecond
	// allowedStep is added to the requests under way for an answer in time, and allowedCut times what is left of
	// them for a late one.
	allowedStep = 0.2
	allowedCut  = 0.8
	// allowedAtStart leaves the bound to the limit of connections until an answer is late.
	allowedAtStart = 1 << 20
	// readBufferBytes holds the head of an answer and a small body.
	readBufferBytes = 2 << 10
)

var (
	// ErrNotSent says that no byte of the request left this node: it has not run.
	ErrNotSent = errors.New("leaf: not sent")
	// ErrNoTurn is an ErrNotSent: no connection became free in time, which says nothing about the leaf.
	ErrNoTurn = errors.Wrap(ErrNotSent, "no connection became free")
	// ErrBroken says that the connection ended or carried no whole answer: the request may have run.
	ErrBroken = errors.New("leaf: no whole answer")
)

type (
	// Names are the names of the header fields that leaves understand.
	Names struct {
		// RequestID is echoed by leaves.
		RequestID string
		// TimeLeft carries the milliseconds for which the caller waits.
		TimeLeft string
		// LeafID names the only leaf that may run the request.
		LeafID string
		// Signature marks what a leaf answered.
		Signature string
		// NotRun is on answers to requests that did not run.
		NotRun string
	}

	// Config holds what an Exchanger needs.
	Config struct {
		// Address is the leaf's IP and port.
		Address string
		// LeafID is the leaf's id, sent with each request.
		LeafID string
		Names  Names
		// MaxAnswerBytes bounds the body of an answer.
		MaxAnswerBytes int64
		// Opened is told of each new connection; nil means nobody is.
		Opened func()
	}

	// Request is a request as the leaf is to see it.
	Request struct {
		// Method decides whether the answer has a body.
		Method string
		// Head has the request line and all header fields but the two that depend on leaf and time. It
		// ends after a field, without the empty line.
		Head []byte
		Body []byte
		// ID is compared with the one that the leaf echoes.
		ID string
		// Deadline is when the caller stops waiting.
		Deadline time.Time
		// SendBy is when sending has lost its point; zero means at the Deadline.
		SendBy time.Time
	}

	// Reply is what a leaf answered, complete.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
		// NotRun is set when the leaf says that it did not run the request.
		NotRun bool
		// Signature is empty when the answer is not a leaf's.
		Signature string
	}

	// Exchanger holds the connections to one leaf. It is safe for concurrent use.
	Exchanger struct {
		config Config
		dialer net.Dialer
		limit  atomic.Int64
		mutex  sync.Mutex
		// idle has the open connections without a request, the last used at the end.
		idle []*connection
		// open counts connections that are open or being opened.
		open int
		// busy counts connections that carry a request or are being opened for one.
		busy int
		// allowed is how many requests may be under way, 1 to the limit.
		allowed float64
		// loweredAt is when allowed was last cut.
		loweredAt time.Time
		// waiting has one channel for each request that waits for a connection, the newest at the end.
		waiting []chan *connection
		closed  bool
	}

	connection struct {
		net.Conn
		reader *bufio.Reader
		// expires is when the leaf may close the idle connection.
		expires time.Time
	}
)

// New returns an Exchanger without connections.
func New(c Config) *Exchanger {
	e := &Exchanger{config: c}
	e.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	e.limit.Store(1)
	e.allowed = allowedAtStart
	return e
}

// SetLimit sets the largest number of open connections, at least 1.
func (e *Exchanger) SetLimit(limit int) {
	e.limit.Store(int64(max(1, limit)))
}

// Limit returns the largest number of open connections.
func (e *Exchanger) Limit() int {
	return int(e.limit.Load())
}

// Free tells whether a request could be sent now without waiting for a connection.
func (e *Exchanger) Free() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.busy < e.allowedNow()
}

// Close closes the idle connections and those that become idle.
func (e *Exchanger) Close() {
	e.mutex.Lock()
	idle := e.idle
	e.idle = nil
	e.open -= len(idle)
	e.closed = true
	e.mutex.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends the request and returns the leaf's whole answer. The request waits for a connection until wanted
// ends. When the context ends the connection is closed, which leaves take as the end of the request. sent is
// called just before the first byte leaves.
func (e *Exchanger) Do(ctx, wanted context.Context, r Request, sent func()) (*Reply, error) {
	c, err := e.acquire(wanted, r.SendBy)
	if errors.Is(err, ErrNoTurn) {
		return nil, err
	}
	if err != nil {
		return nil, errors.CombineErrors(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent()
	reply, keep, err := e.exchange(c, r)
	if !stop() {
		keep = false
	}
	e.release(c, keep && err == nil)
	if err != nil {
		return nil, errors.CombineErrors(ErrBroken, err)
	}
	return reply, nil
}

// acquire returns a connection without a request on it.
func (e *Exchanger) acquire(ctx context.Context, sendBy time.Time) (*connection, error) {
	now := time.Now()
	e.mutex.Lock()
	if e.busy < e.allowedNow() {
		c := e.takeLocked(now)
		e.mutex.Unlock()
		if c == nil {
			return e.dial(ctx)
		}
		return c, nil
	}
	turn := make(chan *connection, 1)
	e.waiting = append(e.waiting, turn)
	e.mutex.Unlock()
	return e.await(ctx, turn, sendBy)
}

// takeLocked returns an idle connection that may carry a request, or nil as leave to open another.
func (e *Exchanger) takeLocked(now time.Time) *connection {
	e.busy++
	for len(e.idle) > 0 {
		last := len(e.idle) - 1
		c := e.idle[last]
		e.idle = e.idle[:last]
		if now.Before(c.expires) && !c.readable() {
			return c
		}
		e.open--
		_ = c.Close()
	}
	e.open++
	return nil
}

// await waits for a connection to become free; a nil one is leave to open another.
func (e *Exchanger) await(ctx context.Context, turn chan *connection, sendBy time.Time) (*connection, error) {
	if !sendBy.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, sendBy)
		defer cancel()
	}
	select {
	case c := <-turn:
		if c == nil {
			return e.dial(ctx)
		}
		return c, nil
	case <-ctx.Done():
	}
	e.mutex.Lock()
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mutex.Unlock()
			return nil, errors.Wrap(ErrNoTurn, ctx.Err().Error())
		}
	}
	e.mutex.Unlock()
	// The turn came meanwhile and goes to the next.
	c := <-turn
	e.release(c, c != nil)
	return nil, errors.Wrap(ErrNoTurn, ctx.Err().Error())
}

// dial opens a connection for which open is counted already.
func (e *Exchanger) dial(ctx context.Context) (*connection, error) {
	if e.config.Opened != nil {
		e.config.Opened()
	}
	c, err := e.dialer.DialContext(ctx, "tcp", e.config.Address)
	if err != nil {
		e.release(nil, false)
		return nil, errors.Wrap(err, "connect")
	}
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

// release passes the connection to the next request that waits, keeps it, or closes it.
func (e *Exchanger) release(c *connection, keep bool) {
	e.mutex.Lock()
	if e.closed || e.open > int(e.limit.Load()) {
		keep = false
	}
	e.busy--
	if keep {
		e.idle = append(e.idle, c)
	} else {
		e.open--
	}
	e.wakeLocked()
	e.mutex.Unlock()
	if !keep && c != nil {
		_ = c.Close()
	}
}

// wakeLocked gives connections, or leave to open one, to requests that wait.
func (e *Exchanger) wakeLocked() {
	for len(e.waiting) > 0 && e.busy < e.allowedNow() {
		c := e.takeLocked(time.Now())
		// The newest goes first: under overload the oldest would be answered just too late, one after the other.
		last := len(e.waiting) - 1
		e.waiting[last] <- c
		e.waiting = e.waiting[:last]
	}
}

// allowedNow returns how many requests may be under way now, at least 1.
func (e *Exchanger) allowedNow() int {
	return max(1, min(int(e.allowed), int(e.limit.Load())))
}

// Adapt takes note of whether an answer came so late that the leaf has more requests than it can answer in
// time. Late answers lower the number of requests under way, others raise it slowly.
func (e *Exchanger) Adapt(startedAt, now time.Time, late bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	limit := float64(e.limit.Load())
	switch {
	case !late:
		e.allowed = min(limit, e.allowed+allowedStep)
		e.wakeLocked()
	case startedAt.After(e.loweredAt):
		// Requests that began before the last cut could not know of it.
		e.allowed = max(1, min(limit, e.allowed)*allowedCut)
		e.loweredAt = now
	}
}

// readable tells whether anything came on an idle connection, or its end.
func (c *connection) readable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	seen := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		seen = !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || seen
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}
