// Package throttler bounds the number of requests in progress by making further ones wait. A request whose
// HTTP header was received waits, with its body unread, until a slot is free or its time is over. Nothing is
// refused here: the bodies of waiting requests stay in the callers' connections.
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

	// Throttler bounds the requests in progress. It is safe for concurrent use.
	Throttler struct {
		clock quartz.Clock
		// slots has one element for each request in progress.
		slots chan struct{}
	}
)

// New returns a Throttler with all slots free.
func New(c Config) *Throttler {
	return &Throttler{clock: c.Clock, slots: make(chan struct{}, max(1, c.Limit))}
}

// Acquire waits for a slot, in the order of arrival. It returns false when the context ends or the wait is
// over before a slot is free.
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

// Release frees a slot.
func (t *Throttler) Release() {
	<-t.slots
}
