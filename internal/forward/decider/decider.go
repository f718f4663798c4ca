// Package decider decides when a request over many shards is answered: from the number of received and pending parts
// and the elapsed time, it decides to wait, answer or give up. It reads no clock and sends nothing, so that tests
// can simulate whole loads on virtual time.
//
// An answer within the target latency is worth the square of its coverage, and a later one a tenth of that. Missing
// parts are therefore worth waiting for until the target latency, but not after it.
package decider

import "time"

const (
	// Wait means to wait for more parts, at most until the returned time.
	Wait Decision = iota
	// Answer means to answer with the parts received.
	Answer
	// GiveUp means that a successful answer is no longer possible.
	GiveUp
)

type (
	// Decision is what to do with a request now.
	Decision int

	// State is the state of a request.
	State struct {
		// Elapsed is the time since the caller sent the request, as far as known.
		Elapsed time.Duration
		// Target is the elapsed time at which an answer must be sent to arrive within the target latency.
		Target time.Duration
		// Timeout is the elapsed time at which the request must be answered in any case.
		Timeout time.Duration
		// Shards is the number of parts of a whole answer, at least 1.
		Shards int
		// Included is the number of parts received.
		Included int
		// Pending is the number of parts that may still arrive.
		Pending int
		// MinCoverage is the minimum share of parts in a successful answer, 0 to 1.
		MinCoverage float64
	}
)

// Decide returns what to do and, for Wait, the elapsed time at which to decide again at the latest.
func Decide(s State) (Decision, time.Duration) {
	enough := s.Included > 0 && float64(s.Included) >= s.MinCoverage*float64(s.Shards)-1e-9
	reachable := float64(s.Included+s.Pending) >= s.MinCoverage*float64(s.Shards)-1e-9
	switch {
	case s.Pending == 0 && enough:
		return Answer, 0
	case !reachable || (s.Included+s.Pending == 0):
		return GiveUp, 0
	case s.Elapsed >= s.Timeout && enough:
		return Answer, 0
	case s.Elapsed >= s.Timeout:
		return GiveUp, 0
	case s.Elapsed >= s.Target && enough:
		return Answer, 0
	case s.Elapsed < s.Target:
		return Wait, min(s.Target, s.Timeout)
	default:
		return Wait, s.Timeout
	}
}
