// Package deadliner bounds a call by the time for which it makes no progress. A large answer on a congested link then
// arrives late, instead of being given up while it arrives and requested again, which would add to the congestion.
package deadliner

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
)

// ErrTimeout is the cause of the end of a call that made no progress, or that took too long in all.
var ErrTimeout = errors.New("answer did not arrive in time")

type (
	// Config holds what a Deadliner needs.
	Config struct {
		// WaitTimeout bounds the time until the answer begins.
		WaitTimeout time.Duration
		// ReadTimeout bounds the time between two reads that return bytes of the answer.
		ReadTimeout time.Duration
		// AnswerTimeout bounds the time from the beginning of the answer to its end.
		AnswerTimeout time.Duration
		Clock         quartz.Clock
	}

	// Deadliner ends one call. It is not safe for concurrent use.
	Deadliner struct {
		config Config
		cancel context.CancelCauseFunc
		timer  *quartz.Timer
	}

	// answer reads an answer and extends the deadline of its call.
	answer struct {
		io.Reader
		deadliner *Deadliner
		// endsAt is when the call ends whether or not the answer makes progress.
		endsAt time.Time
	}
)

// New returns a Deadliner and the context for its call. Stop must be called when the call has ended.
func New(ctx context.Context, c Config) (context.Context, *Deadliner) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Deadliner{
		config: c, cancel: cancel, timer: c.Clock.AfterFunc(c.WaitTimeout, func() { cancel(ErrTimeout) }),
	}
}

// Stop releases the resources of the call.
func (d *Deadliner) Stop() {
	d.timer.Stop()
	d.cancel(nil)
}

// Answer returns a reader of the answer, which has begun.
func (d *Deadliner) Answer(source io.Reader) io.Reader {
	a := &answer{Reader: source, deadliner: d, endsAt: d.config.Clock.Now().Add(d.config.AnswerTimeout)}
	a.extend()
	return a
}

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if n > 0 {
		a.extend()
	}
	return n, err
}

func (a *answer) extend() {
	c := a.deadliner.config
	a.deadliner.timer.Reset(min(c.ReadTimeout, max(c.Clock.Until(a.endsAt), 0)))
}
