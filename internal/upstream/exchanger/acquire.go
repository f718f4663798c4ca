package exchanger

import (
	"bufio"
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliastep/magnoliastep/internal/upstream/queuer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/readlimiter"
)

// acquire returns a connection that carries no request, and waits for one if necessary.
func (e *Exchanger) acquire(ctx context.Context, r Request) (*connection, error) {
	now := time.Now()
	e.mutex.Lock()
	if !e.callableLocked(now) {
		e.mutex.Unlock()
		return nil, ErrNotCallable
	}
	if e.busy < e.maxInFlight() {
		c := e.takeLocked(now)
		e.mutex.Unlock()
		if c == nil {
			return e.dial(ctx)
		}
		return c, nil
	}
	call := &queuer.Call[waiter]{
		Priority: r.Priority, Account: r.Account, InTimeUntil: r.InTimeUntil, Value: make(waiter, 1),
	}
	e.waiters.Add(call)
	e.mutex.Unlock()
	return e.await(ctx, call, r.SendBy)
}

// takeLocked reserves a connection. It returns an idle one that may carry a request, or nil when the caller is to
// open one.
func (e *Exchanger) takeLocked(now time.Time) *connection {
	e.busy++
	for len(e.idle) > 0 {
		last := len(e.idle) - 1
		c := e.idle[last]
		e.idle = e.idle[:last]
		if now.Before(c.expiresAt) && !c.readable() {
			return c
		}
		e.open--
		_ = c.Close()
	}
	e.open++
	return nil
}

// await waits until a connection is handed to the waiting request; on nil it opens one.
func (e *Exchanger) await(ctx context.Context, call *queuer.Call[waiter], sendBy time.Time) (*connection, error) {
	if !sendBy.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, sendBy)
		defer cancel()
	}
	select {
	case t := <-call.Value:
		switch {
		case t.refused:
			return nil, ErrNotCallable
		case t.connection == nil:
			return e.dial(ctx)
		}
		return t.connection, nil
	case <-ctx.Done():
	}
	e.mutex.Lock()
	removed := e.waiters.Remove(call)
	e.mutex.Unlock()
	if !removed {
		// If a connection was handed over in the meantime, it goes to the next waiter.
		if t := <-call.Value; !t.refused {
			e.release(t.connection, t.connection != nil)
		}
	}
	return nil, errors.Wrap(ErrNoConnection, ctx.Err().Error())
}

// dial opens a connection that takeLocked has already counted in open and busy.
func (e *Exchanger) dial(ctx context.Context) (*connection, error) {
	defer e.releaseAfterPanic(nil)
	if e.config.OnConnect != nil {
		e.config.OnConnect()
	}
	c, err := e.dialer.DialContext(ctx, "tcp", e.config.Address)
	if err != nil {
		e.release(nil, false)
		return nil, errors.Wrap(err, "connect")
	}
	limiter := readlimiter.New(readlimiter.Config{Source: c})
	return &connection{
		Conn: c, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		expiresAt: time.Now().Add(defaultIdleTimeout),
	}, nil
}

// release ends the use of a connection: it hands it to the next waiter, keeps it as idle, or closes it.
func (e *Exchanger) release(c *connection, reusable bool) {
	e.mutex.Lock()
	if e.closed || e.open > int(e.connectionLimit.Load()) {
		reusable = false
	}
	e.busy--
	if reusable {
		e.idle = append(e.idle, c)
	} else {
		e.open--
	}
	e.serveWaitersLocked()
	e.mutex.Unlock()
	if !reusable && c != nil {
		_ = c.Close()
	}
}

// releaseAfterPanic is deferred by the use of a connection; a panic goes on.
func (e *Exchanger) releaseAfterPanic(c *connection) {
	if p := recover(); p != nil {
		e.release(c, false)
		panic(p)
	}
}

// serveWaitersLocked hands connections to waiters as long as the limits allow more requests in flight.
func (e *Exchanger) serveWaitersLocked() {
	now := time.Now()
	for e.waiters.Len() > 0 && e.busy < e.maxInFlight() {
		c := e.takeLocked(now)
		e.waiters.Take(now).Value <- turn{connection: c}
	}
}

// readable returns whether bytes or the end of the stream have arrived on an idle connection.
func (c *connection) readable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	rawConn, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	arrived := false
	err = rawConn.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || arrived
}

func setOptions(_, _ string, rawConn syscall.RawConn) error {
	var optionError error
	err := rawConn.Control(func(descriptor uintptr) {
		optionError = errors.CombineErrors(
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())),
			unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
		)
	})
	return errors.CombineErrors(err, optionError)
}
