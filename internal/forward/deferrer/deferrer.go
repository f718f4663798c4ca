// Package deferrer decides when a caller whose request has not run is to come back. It reads no clock and sends
// nothing.
//
// It answers a load in which many callers are refused within a short time. They come back when capacity is expected,
// those with the least time left and the most urgent routes first, spread over a span of time so that they do not
// arrive all at once, and early enough that the next attempt has most of the remaining time.
package deferrer

import "time"

const (
	// NoConfiguration means that the node waits for the configuration, or for a newer one.
	NoConfiguration Reason = iota
	// NoCapacity means that no leaf could take the request.
	NoCapacity
	// NodeStopping means that the node is about to stop. Any other node can take the request.
	NodeStopping
)

const (
	// configurationDelay is the time in which a node learns the configuration from another node or from the store.
	configurationDelay = 200 * time.Millisecond
	// capacityDelay is the time after which another leaf may be known or a leaf may have free slots again.
	capacityDelay = 60 * time.Millisecond
	// otherNodeDelay spreads the callers that a stopping node refuses together.
	otherNodeDelay = 10 * time.Millisecond
	// maxShareOfTimeLeft is the largest part of its remaining time that a caller is told to wait.
	maxShareOfTimeLeft = 1.0 / 3
	// delayPerRank is the share by which each rank of the request prolongs the delay, up to maxRank.
	delayPerRank = 0.25
	maxRank      = 4
)

type (
	// Reason says what a refused request lacked.
	Reason int

	// Refusal describes a refused request.
	Refusal struct {
		Reason Reason
		// TimeLeft is how long the caller still waits for an answer.
		TimeLeft time.Duration
		// Priority is the rank of the request; 0 is the highest.
		Priority int
		// CapacityIn is after what time capacity is known to be there; 0 if that is not known.
		CapacityIn time.Duration
	}
)

// RetryAfter returns after which time the caller is to send the request again. random is from 0 to 1 and spreads
// callers that are refused together.
func RetryAfter(r Refusal, random float64) time.Duration {
	if r.Reason == NoCapacity && r.CapacityIn > 0 {
		return r.CapacityIn + time.Duration(random*float64(capacityDelay))
	}
	delay := capacityDelay
	switch r.Reason {
	case NoConfiguration:
		delay = configurationDelay
	case NodeStopping:
		delay = otherNodeDelay
	case NoCapacity:
	}
	rank := min(max(r.Priority, 0), maxRank)
	delay = time.Duration(float64(delay) * (1 + delayPerRank*float64(rank)))
	// A delay beyond the bound is shortened before it is spread, so that callers with little time left are spread as well.
	longest := time.Duration(maxShareOfTimeLeft * float64(max(r.TimeLeft, 0)))
	delay = min(delay, longest/2)
	return delay + time.Duration(random*float64(delay))
}
