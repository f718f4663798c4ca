// Package exchanger is an HTTP/1.1 client for one leaf. It returns the leaf's complete answer to a prepared request,
// or an error that says whether the leaf can have run the request.
//
// It manages its own connections, because an ordinary HTTP client hides them: here a request is never sent a second
// time without the caller's knowledge, an answer is matched to its request by the echoed ID, and a connection that
// has carried anything but exactly one answer to each request is not used again.
package exchanger

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/queuer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/readlimiter"
)

const (
	// dialTimeout limits the time to connect, because a leaf behind a failed network link doesn't respond at all.
	dialTimeout = time.Second
	// userTimeout is the TCP user timeout: a connection ends when sent bytes stay unacknowledged for this long.
	userTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the leaf states no timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the leaf states, so that no request is sent while the
	// leaf closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// concurrencyIncrease is added to the concurrency limit for each answer in time, and concurrencyDecreaseFactor
	// multiplies the limit for a late answer.
	concurrencyIncrease       = 0.2
	concurrencyDecreaseFactor = 0.8
	// minTimeLeft is the least time left with which a request is sent; leaves are told whole milliseconds.
	minTimeLeft = time.Millisecond
	// leavingValue is the value of HeaderNames.Leaving that says that the leaf is leaving.
	leavingValue = "1"
	// receiveBufferBytes bounds what has arrived on a connection and waits for room in memory.
	receiveBufferBytes = 64 << 10
	// readBufferBytes has room for the head of an answer and a small body.
	readBufferBytes = 2 << 10
)

var (
	// ErrNotSent means that no byte of the request left this node, so the leaf has not run it.
	ErrNotSent = errors.New("leaf: request not sent")
	// ErrNoConnection is an ErrNotSent for a request that got no free connection in time. It says nothing about the leaf.
	ErrNoConnection = errors.Wrap(ErrNotSent, "no connection became free")
	// ErrNotCallable is an ErrNotSent for a request to a leaf that may not be called, or not any more. It says nothing
	// about the leaf.
	ErrNotCallable = errors.Wrap(ErrNotSent, "the leaf may not be called")
	// ErrWithdrawn is an ErrNotSent for a request that was withdrawn, or whose deadline passed, before it was sent. It
	// says nothing about the leaf.
	ErrWithdrawn = errors.Wrap(ErrNotSent, "withdrawn before it was sent")
	// ErrNoCompleteAnswer means that the connection ended or carried no complete answer, so the leaf may have run the
	// request.
	ErrNoCompleteAnswer = errors.New("leaf: no complete answer")
	// ErrTooLong is an ErrNoCompleteAnswer for an answer with more bytes than an answer may have.
	ErrTooLong = errors.Wrap(ErrNoCompleteAnswer, "too long")
	// ErrMalformed is an ErrNoCompleteAnswer for bytes that are no answer.
	ErrMalformed = errors.Wrap(ErrNoCompleteAnswer, "malformed")

	// errMalformed marks the reason of an ErrMalformed.
	errMalformed = errors.New("peer sent no HTTP answer")
)

type (
	// HeaderNames has the names of the header fields that the leaves define.
	HeaderNames struct {
		// RequestID carries the request ID, which the leaf echoes.
		RequestID string
		// TimeLeft carries the milliseconds until the request's deadline.
		TimeLeft string
		// LeafID carries the ID of the only leaf that may run the request.
		LeafID string
		// Signature is present on each answer that comes from a leaf.
		Signature string
		// NotRun is present on the answer to a request that the leaf did not run.
		NotRun string
		// Leaving is "1" on each answer of a leaf that is about to exit.
		Leaving string
	}

	// Config holds what an Exchanger needs.
	Config struct {
		// Address is the leaf's IP and port.
		Address string
		// LeafID is the leaf's ID, which is sent with each request.
		LeafID      string
		HeaderNames HeaderNames
		// MaxAnswerBytes is the largest accepted body of an answer.
		MaxAnswerBytes int64
		// Memory bounds the bytes of large answers of all leaves, from before they are read until they are released. Nil
		// sets no bound.
		Memory *reserver.Reserver
		// OnConnect, if not nil, is called before each attempt to connect.
		OnConnect func()
		// OnBytes, if not nil, is called at the end of each exchange with about the number of bytes sent and received.
		OnBytes func(bytes int)
		// OnLeaving, if not nil, is called once, when the leaf has said that it is leaving.
		OnLeaving func()
		// OnPause, if not nil, is called with the time for which the leaf has asked to get no requests.
		OnPause func(d time.Duration)
		// OnExcessBytes, if not nil, is called when the leaf has sent more bytes than an answer may have.
		OnExcessBytes func()
	}

	// Request is a prepared request.
	Request struct {
		// Method repeats the method in Head; an answer to HEAD, for example, has no body.
		Method string
		// Head has the request line and all header fields except for HeaderNames.TimeLeft and HeaderNames.LeafID. It ends
		// after a field, without the empty line.
		Head []byte
		Body []byte
		// ID is compared with the ID that the leaf echoes.
		ID string
		// Deadline is when the caller stops waiting for the answer.
		Deadline time.Time
		// Priority is the rank of the request among those that wait for a connection; 0 is the highest.
		Priority int
		// Account is the client account of the request; nil without accounts.
		Account queuer.Account
		// InTimeUntil is the latest time to send the request so that its answer can be in time.
		InTimeUntil time.Time
		// SendBy is the latest useful time to send the request; zero means the Deadline.
		SendBy time.Time
		// AfterExcess is set when another leaf's answer to the request was too long or malformed, so that the request may
		// be the reason for a further one.
		AfterExcess bool
	}

	// Reply is a complete answer.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
		// NotRun is set when the leaf states that it did not run the request.
		NotRun bool
		// Signature is empty when the answer does not come from a leaf.
		Signature string
		// Unidentified is set when the answer has no request ID although earlier ones on its connection had. It may be
		// left over from an earlier request, so it says nothing certain about this one.
		Unidentified bool
		// memory is reserved for Body; nil for a small one.
		memory *reserver.Reservation
	}

	// Exchanger holds the connections to one leaf. It is safe for concurrent use.
	Exchanger struct {
		config          Config
		dialer          net.Dialer
		connectionLimit atomic.Int64
		// share is how many requests this node may have in flight, at least 1.
		share atomic.Int64
		mutex sync.Mutex
		// idle has the open connections that carry no request, the most recently used one last.
		idle []*connection
		// open is the number of connections that are open or being opened.
		open int
		// busy is the number of connections that carry a request or are being opened for one.
		busy int
		// concurrencyLimit is how many requests may be in flight by the latencies of earlier answers, at least 1.
		// connectionLimit and share apply as well.
		concurrencyLimit float64
		// decreasedAt is when concurrencyLimit was last decreased.
		decreasedAt time.Time
		// waiters has the requests that wait for a connection.
		waiters queuer.Queuer[waiter]
		// callable is set while requests may be sent, as far as other sources than the leaf's answers say. No request waits
		// while it is not set.
		callable bool
		// leaving is set for good once the leaf has said that it is leaving. No request waits then.
		leaving bool
		// pausedUntil is when the leaf may be called again after it has asked for a pause. No request waits until then.
		pausedUntil time.Time
		// excesses is how many answers in a row were too long or malformed. No second request is in flight while it is
		// above 0.
		excesses int
		// excessAt is when the last of them ended, and lastResortUntil until when the leaf is called only if there is no
		// other.
		excessAt, lastResortUntil time.Time
		// closed is set for good by Close; callable is not set any more then.
		closed bool
	}

	// waiter receives how the wait of a request has ended.
	waiter chan turn

	// turn is the end of the wait for a connection.
	turn struct {
		// connection is an idle connection, or nil when the request may open one.
		connection *connection
		// refused is set when the leaf may not be called any more; nothing is reserved for the request then.
		refused bool
	}

	connection struct {
		net.Conn
		// limiter bounds what reader reads from the connection.
		limiter *readlimiter.Limiter
		reader  *bufio.Reader
		// echoes is set once an answer on this connection has carried a request ID.
		echoes bool
		// expiresAt is when the leaf may close the idle connection.
		expiresAt time.Time
	}
)

// New returns an Exchanger without connections, to which requests may be sent.
func New(c Config) *Exchanger {
	e := &Exchanger{config: c, callable: true}
	e.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setOptions}
	e.connectionLimit.Store(1)
	e.share.Store(math.MaxInt32)
	e.concurrencyLimit = math.MaxInt32
	return e
}

// SetConnectionLimit sets the largest number of open connections, at least 1.
func (e *Exchanger) SetConnectionLimit(limit int) {
	e.connectionLimit.Store(int64(max(1, limit)))
}

// ConnectionLimit returns the largest number of open connections.
func (e *Exchanger) ConnectionLimit() int {
	return int(e.connectionLimit.Load())
}

// SetShare sets how many requests this node may have in flight at the leaf, at least 1. Without a call only the other
// limits apply.
func (e *Exchanger) SetShare(share int) {
	e.share.Store(int64(max(1, share)))
}

// HasCapacity returns whether a request could be sent now without waiting for a connection.
func (e *Exchanger) HasCapacity() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.busy < e.maxInFlight()
}

// Waiting returns the number of requests that wait for a connection.
func (e *Exchanger) Waiting() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.waiters.Len()
}

// SetCallable sets whether requests may be sent. While they may not, those that wait and new ones end with
// ErrNotCallable, and those that have been sent are completed.
func (e *Exchanger) SetCallable(callable bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.callable = callable && !e.closed
	if !e.callable {
		e.refuseWaitersLocked()
	}
}

// Leaving reports whether the leaf has said that it is leaving, or SetLeaving was called.
func (e *Exchanger) Leaving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.leaving
}

// SetLeaving marks the leaf as leaving for good: requests that have not been sent end with ErrNotCallable. It reports
// whether the leaf was not marked before.
func (e *Exchanger) SetLeaving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.leaving {
		return false
	}
	e.leaving = true
	e.refuseWaitersLocked()
	return true
}

// observe takes from an answer what the leaf says of itself. An answer that may not be the leaf's own says nothing.
func (e *Exchanger) observe(r *Reply) {
	if r.Unidentified || r.Status == http.StatusMisdirectedRequest {
		return
	}
	e.clearExcess()
	if d := requestedPause(r); d > 0 {
		e.pause(d)
		if e.config.OnPause != nil {
			e.config.OnPause(d)
		}
	}
	if r.Header.Get(e.config.HeaderNames.Leaving) == leavingValue && e.SetLeaving() && e.config.OnLeaving != nil {
		e.config.OnLeaving()
	}
}

// refuseWaitersLocked ends the wait of all requests.
func (e *Exchanger) refuseWaitersLocked() {
	for now := time.Now(); e.waiters.Len() > 0; {
		e.waiters.Take(now).Value <- turn{refused: true}
	}
}

// Callable returns whether a request may be sent now.
func (e *Exchanger) Callable() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.callableLocked(time.Now())
}

func (e *Exchanger) callableLocked(now time.Time) bool {
	return e.callable && !e.leaving && !now.Before(e.pausedUntil)
}

// Close closes the idle connections now and each busy connection at the end of its request. Requests that have not been
// sent end with ErrNotCallable.
func (e *Exchanger) Close() {
	e.mutex.Lock()
	idle := e.idle
	e.idle = nil
	e.open -= len(idle)
	e.closed, e.callable = true, false
	e.refuseWaitersLocked()
	e.mutex.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends the request and returns the leaf's complete answer. The request waits for a connection until waitCtx
// ends. When ctx ends the connection is closed, which tells the leaf that the request is cancelled. beforeSend is
// called just before the first byte is written; if it returns false, the request is not sent.
func (e *Exchanger) Do(ctx, waitCtx context.Context, r Request, beforeSend func() bool) (*Reply, error) {
	c, err := e.acquire(waitCtx, r)
	if errors.Is(err, ErrNoConnection) || errors.Is(err, ErrNotCallable) {
		return nil, err
	}
	if err != nil {
		return nil, errors.CombineErrors(ErrNotSent, err)
	}
	defer e.releaseAfterPanic(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	// The leaf may have left while the connection was opened.
	if !e.Callable() {
		e.release(c, stop())
		return nil, ErrNotCallable
	}
	// A process that was paused may get here long after the deadline.
	if time.Until(r.Deadline) < minTimeLeft || !beforeSend() {
		e.release(c, stop())
		return nil, ErrWithdrawn
	}
	startedAt := time.Now()
	reply, reusable, err := e.exchange(ctx, c, r)
	if !stop() {
		reusable = false
	}
	if err == nil {
		e.observe(reply)
	} else {
		err = errors.CombineErrors(e.classify(err, r, startedAt), err)
	}
	e.release(c, reusable && err == nil)
	return reply, err
}

// classify returns the kind of a failed exchange, and takes account of an answer that was too long or malformed.
func (e *Exchanger) classify(err error, r Request, startedAt time.Time) error {
	switch {
	case errors.Is(err, readlimiter.ErrLimit):
		e.noteExcess(r, startedAt)
		if e.config.OnExcessBytes != nil {
			e.config.OnExcessBytes()
		}
		return ErrTooLong
	case errors.Is(err, errMalformed):
		e.noteExcess(r, startedAt)
		return ErrMalformed
	}
	return ErrNoCompleteAnswer
}
