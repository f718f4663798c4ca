// Package queuer orders the calls that wait for a connection to one leaf. It reads no clock and sends nothing.
//
// It is built for a leaf that gets more calls than it can answer in time. The leaf's capacity then goes to calls whose
// answer can still be in time, among those to the routes of the highest priority, and among equals to the newest call:
// in order of arrival, each call would be answered just too late. Calls that are already late come last. Every
// fairPeriod-th call is the newest one of any kind, so that no route is starved.
package queuer

import (
	"slices"
	"time"
)

// fairPeriod is the number of calls of which one is chosen without regard to priority and lateness.
const fairPeriod = 2

type (
	// Call is a waiting call. Value is what the caller of the Queuer needs to run it.
	Call[T any] struct {
		// Priority is the rank of the call's route; 0 is the highest.
		Priority int
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
	next := len(q.calls) - 1
	if q.taken == fairPeriod {
		q.taken = 0
	} else {
		next = q.best(now)
	}
	c := q.calls[next]
	q.calls = slices.Delete(q.calls, next, next+1)
	return c
}

// best returns the index of the call that goes first by lateness, priority and age.
func (q *Queuer[T]) best(now time.Time) int {
	best := len(q.calls) - 1
	for i := best - 1; i >= 0; i-- {
		if q.calls[i].before(q.calls[best], now) {
			best = i
		}
	}
	return best
}

// before reports whether the call goes before a newer one.
func (c *Call[T]) before(newer *Call[T], now time.Time) bool {
	inTime, newerInTime := now.Before(c.InTimeUntil), now.Before(newer.InTimeUntil)
	if inTime != newerInTime {
		return inTime
	}
	return c.Priority < newer.Priority
}
