// Package hedger says when a call is late enough for a second one to another replica. The measured
// times of a service's calls and the share of extra calls that the service allows flow in; the delay
// flows out. Half of the allowed share is meant for hedges of calls that are merely late by chance, and
// the other half stays for stragglers. A long tail of stragglers must not put the delay off, so a
// multiple of the median bounds it, but never so low that chance alone would use up the budget.
package hedger

import (
	"time"
)

const (
	shortestDelay  = time.Millisecond
	median         = 0.5
	lateByMedians  = 2.5
	chanceShare    = 0.5 // of the budget
	overdrawnShare = 1.2 // of the budget
)

type (
	// Quantiles tells how long calls take.
	Quantiles interface {
		Quantile(q float64) (time.Duration, bool)
	}

	// Config holds what a Hedger needs.
	Config struct{}

	// Hedger says when to hedge. It is safe for concurrent use.
	Hedger struct{}
)

// New returns a Hedger.
func New(Config) *Hedger {
	return &Hedger{}
}

// Delay returns the age at which an open call is hedged, and false when too little is known or no extra
// calls are allowed.
func (h *Hedger) Delay(q Quantiles, share float64) (time.Duration, bool) {
	if share <= 0 {
		return 0, false
	}
	middle, ok := q.Quantile(median)
	late, _ := q.Quantile(1 - chanceShare*share)
	earliest, _ := q.Quantile(1 - overdrawnShare*share)
	return max(earliest, min(late, time.Duration(lateByMedians*float64(middle))), shortestDelay), ok
}
