// Package limiter bounds the concurrent calls to one leaf. Outcomes of calls flow in, permission for
// the next call flows out. The limit starts at the leaf's cold slots, grows on successes alone and never
// exceeds the declared slots.
package limiter

import (
	"sync"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	// OutcomeSuccess is a good answer.
	OutcomeSuccess Outcome = iota
	// OutcomeOverload is a shed call or a timeout.
	OutcomeOverload
	// OutcomeFailure is a refused or broken connection.
	OutcomeFailure
	// OutcomeCancelled is a call that was given up; it says nothing about the leaf.
	OutcomeCancelled
)

const (
	decreaseFactor = 0.7
)

type (
	// Outcome is how a call ended.
	Outcome int

	// Config holds what a Limiter needs.
	Config struct {
		// Slots is the largest limit, at least 1.
		Slots int
		// ColdSlots is the limit of a leaf that has just started, 1 to Slots.
		ColdSlots int
		Asserter  *asserter.Asserter
	}

	// Limiter is the concurrency limit of one leaf. It is safe for concurrent use.
	Limiter struct {
		slots     int
		coldSlots int
		asserter  *asserter.Asserter
		mutex     sync.Mutex
		// limit is between 1 and slots.
		limit float64
		// inFlight never exceeds slots.
		inFlight int
	}
)

// New returns a Limiter for a cold leaf.
func New(c Config) *Limiter {
	return &Limiter{slots: c.Slots, coldSlots: c.ColdSlots, asserter: c.Asserter, limit: float64(c.ColdSlots)}
}

// TryAcquire takes one slot if the limit allows it. Each success must be followed by one Release.
func (l *Limiter) TryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight >= int(l.limit) {
		return false
	}
	l.inFlight++
	l.asserter.Check(l.inFlight <= l.slots, "leaf_in_flight_within_slots", "in_flight", l.inFlight, "slots", l.slots)
	return true
}

// Release gives the slot back and learns from the outcome.
func (l *Limiter) Release(o Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	l.asserter.Check(l.inFlight >= 0, "leaf_in_flight_not_negative", "in_flight", l.inFlight)
	switch o {
	case OutcomeSuccess:
		l.limit = min(float64(l.slots), l.limit+1/l.limit)
	case OutcomeOverload:
		l.limit = max(1, l.limit*decreaseFactor)
	case OutcomeFailure:
		l.limit = min(l.limit, float64(l.coldSlots))
	case OutcomeCancelled:
	}
}

// ResetToCold starts the ramp again.
func (l *Limiter) ResetToCold() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = float64(l.coldSlots)
}

// Limit returns the present limit.
func (l *Limiter) Limit() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit
}

// InFlight returns the calls in progress.
func (l *Limiter) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}
