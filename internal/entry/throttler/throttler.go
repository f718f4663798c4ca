// Package throttler bounds the requests in progress by delay. A request whose head has come flows in and
// waits, unread, until one before it is done; it flows out with the right to be read, or without it when
// its time is over. Nothing is refused here: the callers' connections hold what waits.
package throttler

import (
	"context"
	"time"

	"github.com/coder/quartz"
)

type (
	// Config holds what a Throttler needs.
	Config struct {
		// Limit is how many requests may be in progress, at least 1.
		Limit int
		Clock quartz.Clock
	}

	// Throttler bounds requests. It is safe for concurrent use.
	Throttler struct {
		clock quartz.Clock
		// slots has one element for each request in progress.
		slots chan struct{}
	}
)

// New returns a Throttler without requests.
func New(c Config) *Throttler {
	return &Throttler{clock: c.Clock, slots: make(chan struct{}, max(1, c.Limit))}
}

// Acquire waits for a slot, in the order of arrival. It returns false when the context ended or the wait
// was over before.
func (t *Throttler) Acquire(ctx context.Context, wait time.Duration) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	timer := t.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// Release gives a slot back.
func (t *Throttler) Release() {
	<-t.slots
}
