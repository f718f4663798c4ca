// Package hedger computes the age at which an open call is hedged, that is, repeated at another replica.
// It derives the delay from the measured times of a service's calls and the share of extra calls that
// the service allows. Half of that share is planned for calls that are late by normal variation; the
// other half remains for stragglers. Because a long tail of stragglers would raise the quantile, a
// multiple of the median limits the delay from above. The delay is never below the quantile at which
// normal variation alone would use up more than the budget.
package hedger

import (
	"time"
)

const (
	minDelay            = time.Millisecond
	medianQuantile      = 0.5
	maxDelayInMedians   = 2.5
	normalLatenessShare = 0.5 // of the budget
	minDelayShare       = 1.2 // of the budget
)

type (
	// Quantiles returns quantiles of the times of calls; false means that too few were measured.
	Quantiles interface {
		Quantile(q float64) (time.Duration, bool)
	}

	// Config holds the settings of a Hedger; there are none.
	Config struct{}

	// Hedger computes hedge delays. It is safe for concurrent use.
	Hedger struct{}
)

// New returns a Hedger.
func New(Config) *Hedger {
	return &Hedger{}
}

// Delay returns the age at which an open call is hedged. It returns false when too few calls were measured
// or no extra calls are allowed.
func (h *Hedger) Delay(q Quantiles, share float64) (time.Duration, bool) {
	if share <= 0 {
		return 0, false
	}
	medianTime, ok := q.Quantile(medianQuantile)
	quantileDelay, _ := q.Quantile(1 - normalLatenessShare*share)
	minQuantileDelay, _ := q.Quantile(1 - minDelayShare*share)
	return max(minQuantileDelay, min(quantileDelay, time.Duration(maxDelayInMedians*float64(medianTime))), minDelay), ok
}
