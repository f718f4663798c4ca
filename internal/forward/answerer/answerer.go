// Package answerer decides when a request over many shards is answered. What is known of the shards and the
// time flow in; wait, answer or give up flows out, with the time of the next look. It reads no clock and
// sends nothing, so that tests play whole loads on virtual time.
//
// The load it answers: an answer within the target latency earns the square of its coverage, a later one a
// tenth of it. So missing parts are worth waiting for until the target latency, and not after it.
package answerer

import "time"

const (
	// Wait means that it is worth waiting until the time that was returned.
	Wait Decision = iota
	// Answer means that the parts that are there make the best answer.
	Answer
	// GiveUp means that no success is possible any more.
	GiveUp
)

type (
	// Decision says what to do now.
	Decision int

	// State is what is known of a request.
	State struct {
		// Elapsed is the time since the caller sent the request, as far as is known.
		Elapsed time.Duration
		// Target is when an answer must leave to arrive within the target latency.
		Target time.Duration
		// Timeout is when the request must be answered in any case.
		Timeout time.Duration
		// Shards is how many parts a whole answer has, at least 1.
		Shards int
		// Included is how many parts are there.
		Included int
		// Pending is how many parts may still come.
		Pending int
		// MinCoverage is the share of parts without which an answer is no success.
		MinCoverage float64
	}
)

// Decide returns what to do and, for Wait, the elapsed time at which to look again at the latest.
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
