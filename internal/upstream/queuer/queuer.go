// Package queuer orders the calls that wait for a connection to one leaf. It reads no clock and sends nothing.
//
// It is built for a leaf that gets more calls than it can answer in time. The leaf's capacity then goes to calls whose
// answer can still be in time, among those to the requests of the highest priority, among those to the client accounts
// that have used least of their share, and among equals to the newest call: in order of arrival, each call would be
// answered just too late. Calls that are already late come last. Every fairPeriod-th call is chosen without regard to
// priority and lateness, so that neither a route nor an account is starved.
package queuer

import (
	"math"
	"slices"
	"time"
)

const (
	// fairPeriod is the number of calls of which one is chosen without regard to priority and lateness.
	fairPeriod = 2
	// minUse is the use up to which accounts count as equal.
	minUse = 1e-6
)

type (
	// Account weighs the recent use of a client account.
	Account interface {
		// Use returns how much the account has used of its share lately, at least 0.
		Use(now time.Time) float64
	}

	// Call is a waiting call. Value is what the caller of the Queuer needs to run it.
	Call[T any] struct {
		// Priority is the rank of the call's request; 0 is the highest.
		Priority int
		// Account is the client account of the request; nil without accounts.
		Account Account
		// InTimeUntil is the latest time to send the call so that its answer can be in time.
		InTimeUntil time.Time
		Value       T
	}

	// Queuer holds the waiting calls of one leaf. The zero value is empty and ready for use. It is not safe for concurrent
	// use.
	Queuer[T any] struct {
		// calls has the waiting calls in order of arrival.
		calls []*Call[T]
		// taken is the number of calls taken since the last one that was chosen for fairness, below fairPeriod.
		taken int
	}
)

// Add adds a call.
func (q *Queuer[T]) Add(c *Call[T]) {
	q.calls = append(q.calls, c)
}

// Remove removes a call that no longer waits. It returns false if the call has been taken.
func (q *Queuer[T]) Remove(c *Call[T]) bool {
	i := slices.Index(q.calls, c)
	if i < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, i, i+1)
	return true
}

// Len returns the number of waiting calls.
func (q *Queuer[T]) Len() int { return len(q.calls) }

// Take removes and returns the call that goes next, or nil if none waits.
func (q *Queuer[T]) Take(now time.Time) *Call[T] {
	if len(q.calls) == 0 {
		return nil
	}
	q.taken++
	before := (*Call[T]).before
	if q.taken == fairPeriod {
		q.taken, before = 0, (*Call[T]).fairlyBefore
	}
	next := q.first(now, before)
	c := q.calls[next]
	q.calls = slices.Delete(q.calls, next, next+1)
	return c
}

// first returns the index of the call that goes first by an order, the newest among equals.
func (q *Queuer[T]) first(now time.Time, before func(c, newer *Call[T], now time.Time) bool) int {
	first := len(q.calls) - 1
	for i := first - 1; i >= 0; i-- {
		if before(q.calls[i], q.calls[first], now) {
			first = i
		}
	}
	return first
}

// before reports whether the call goes before a newer one by lateness, priority and use.
func (c *Call[T]) before(newer *Call[T], now time.Time) bool {
	inTime, newerInTime := now.Before(c.InTimeUntil), now.Before(newer.InTimeUntil)
	switch {
	case inTime != newerInTime:
		return inTime
	case c.Priority != newer.Priority:
		return c.Priority < newer.Priority
	default:
		return c.useLevel(now) < newer.useLevel(now)
	}
}

// fairlyBefore reports whether the call goes before a newer one by use alone.
func (c *Call[T]) fairlyBefore(newer *Call[T], now time.Time) bool {
	return c.useLevel(now) < newer.useLevel(now)
}

// useLevel returns the level of the account's use. Uses that differ by less than a factor of two are often of one
// level, because among them the newest call is the better choice.
func (c *Call[T]) useLevel(now time.Time) int {
	if c.Account == nil {
		return 0
	}
	use := c.Account.Use(now)
	if !(use > minUse) {
		return 0
	}
	return math.Ilogb(use / minUse)
}
