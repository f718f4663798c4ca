// Package scorer estimates the latency of the next call to one leaf, from the latencies and failures of earlier
// calls from this node and from the age of its open calls. The estimate decays to that of a typical leaf, so that
// a leaf that was slow or failing is tried again. An open call that is overdue raises the estimate at once, before
// its answer arrives.
package scorer

import (
	"math"
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of a new observation in the moving averages.
	smoothingFactor = 0.3
	// fastHalfLife is the time in which halves how far the leaf is faster than a typical one.
	fastHalfLife = 3 * time.Second
	// minFailureHalfLife and maxFailureHalfLife bound the time in which the share of failures halves. Between them it is
	// the time for which the leaf has been failing.
	minFailureHalfLife = 250 * time.Millisecond
	maxFailureHalfLife = 3 * time.Second
	// healthyFailureShare is the share of failures up to which a success ends the time for which a leaf has been failing.
	healthyFailureShare = 0.05
	// minSlowHalfLife and maxSlowHalfLife bound the time in which halves how far the leaf is slower than a typical one.
	// Between them it is a share of the time for which the leaf has been slow.
	minSlowHalfLife   = 50 * time.Millisecond
	maxSlowHalfLife   = time.Second
	slowHalfLifeShare = 1.0 / 3
	// slowRatio is the ratio to the typical latency from which an observation is slow.
	slowRatio = 2
	// failurePenalty is added to the expected latency, multiplied by about the odds of a failure.
	failurePenalty = 300 * time.Millisecond
	// maxSlowdown bounds the slowdown that a single observation can report.
	maxSlowdown = 30
	// stallFactor times the leaf's service time is the age at which an open call is overdue.
	stallFactor = 2
	// stallMargin is added to that age, because timers and the network add a few milliseconds.
	stallMargin = 6 * time.Millisecond
	// openCallWeight is the fraction of the service time that each open call adds to the expected latency.
	openCallWeight = 0.25
)

const (
	// Success is a call with a valid answer.
	Success Outcome = iota
	// Failure is an error of the leaf or of the connection.
	Failure
	// Rejection is an answer in which the leaf states that the call did not run.
	Rejection
	// Abandoned is a call that was given up before its answer arrived.
	Abandoned
	// Unsent is a call that got no connection. It says nothing about the leaf.
	Unsent
)

type (
	// Outcome says how a call ended.
	Outcome int

	// Scorer estimates the latency of one leaf. It is safe for concurrent use.
	Scorer struct {
		mutex sync.Mutex
		// slowdown is the ratio of the leaf's latency to the typical latency, above 0.
		slowdown float64
		// failureShare is the moving average of the share of failed calls, 0 to 1.
		failureShare float64
		// updatedAt is when slowdown and failureShare were last decayed.
		updatedAt time.Time
		// slowSince and slowUntil are the start of the first and the end of the last slow call since the leaf was last about
		// as fast as a typical one; the zero time if it is.
		slowSince, slowUntil time.Time
		// failingSince and failingUntil are the start of the first and the end of the last failure since the leaf was last
		// healthy; the zero time if it is.
		failingSince, failingUntil time.Time
		// openSince has the start time of each open call, oldest first.
		openSince []time.Time
	}
)

// New returns a Scorer that assumes a leaf of typical latency.
func New() *Scorer {
	return &Scorer{slowdown: 1}
}

// Begin records the start of a call.
func (s *Scorer) Begin(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openSince = append(s.openSince, now)
}

// End records the end of a call that began at startedAt and spent the time took at the leaf. typicalLatency is
// the usual latency of such calls. A call that failed or was rejected changes the share of failures only, not
// the latency estimate; an abandoned call can only raise the latency estimate; an unsent call changes neither.
func (s *Scorer) End(startedAt, now time.Time, took, typicalLatency time.Duration, o Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, t := range s.openSince {
		if t.Equal(startedAt) {
			s.openSince = append(s.openSince[:i], s.openSince[i+1:]...)
			break
		}
	}
	s.decay(now)
	ratio := min(maxSlowdown, float64(took)/float64(max(typicalLatency, time.Millisecond)))
	switch o {
	case Success:
		s.slowdown += smoothingFactor * (ratio - s.slowdown)
		s.failureShare -= smoothingFactor * s.failureShare
		if s.failureShare <= healthyFailureShare {
			s.failingSince, s.failingUntil = time.Time{}, time.Time{}
		}
	case Failure, Rejection:
		s.failureShare += smoothingFactor * (1 - s.failureShare)
		if s.failingSince.IsZero() {
			s.failingSince = startedAt
		}
		s.failingUntil = now
	case Unsent:
	case Abandoned:
		if ratio > s.slowdown {
			s.slowdown += smoothingFactor * (ratio - s.slowdown)
		}
	}
	s.noteSlow(startedAt, now, ratio, o)
}

// noteSlow updates the time for which the leaf has been slow after a call that took ratio times the typical latency.
func (s *Scorer) noteSlow(startedAt, now time.Time, ratio float64, o Outcome) {
	switch {
	case ratio >= slowRatio && (o == Success || o == Abandoned):
		if s.slowSince.IsZero() {
			s.slowSince = startedAt
		}
		s.slowUntil = now
	case o == Success && s.slowdown < slowRatio:
		s.slowSince, s.slowUntil = time.Time{}, time.Time{}
	}
}

// OpenCalls returns the number of open calls.
func (s *Scorer) OpenCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.openSince)
}

// OldestOpenCall returns for how long the oldest open call has been open; 0 without one.
func (s *Scorer) OldestOpenCall(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.openSince) == 0 {
		return 0
	}
	return now.Sub(s.openSince[0])
}

// ExpectedLatency returns the expected latency of one more call, including the wait behind open calls. typicalLatency
// is the usual latency of such calls and slots the number of calls that the leaf runs at once.
func (s *Scorer) ExpectedLatency(now time.Time, typicalLatency time.Duration, slots int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decay(now)
	serviceTime := time.Duration(float64(typicalLatency) * s.slowdown)
	queued := max(0, len(s.openSince)+1-max(1, slots))
	expected := time.Duration(float64(serviceTime) * (1 + openCallWeight*float64(len(s.openSince)) +
		float64(queued)/float64(max(1, slots))))
	expected += time.Duration(s.failureShare / (1.02 - s.failureShare) * float64(failurePenalty))
	return expected + s.stallTime(now, serviceTime)
}

// ServiceTime returns the expected service time: the latency of a call that doesn't wait behind others.
func (s *Scorer) ServiceTime(now time.Time, typicalLatency time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decay(now)
	return time.Duration(float64(typicalLatency) * s.slowdown)
}

// stallTime returns the extra latency to expect while the oldest open call is overdue, otherwise 0. The age of
// that call is the best estimate of the time that the stall still lasts.
func (s *Scorer) stallTime(now time.Time, serviceTime time.Duration) time.Duration {
	if len(s.openSince) == 0 {
		return 0
	}
	age := now.Sub(s.openSince[0])
	if age <= stallFactor*serviceTime+stallMargin {
		return 0
	}
	return age
}

// decay moves the estimate towards that of a typical leaf.
func (s *Scorer) decay(now time.Time) {
	if !s.updatedAt.IsZero() && now.After(s.updatedAt) {
		elapsed := float64(now.Sub(s.updatedAt))
		s.slowdown = 1 + (s.slowdown-1)*math.Exp2(-elapsed/float64(s.slowdownHalfLife()))
		s.failureShare *= math.Exp2(-elapsed / float64(s.failureHalfLife()))
	}
	s.updatedAt = now
}

// slowdownHalfLife returns the time in which the deviation of the slowdown from 1 halves. A leaf is expected to stay
// slow for about as long as it has been slow, so that a short pause is forgotten soon.
func (s *Scorer) slowdownHalfLife() time.Duration {
	if s.slowdown <= 1 {
		return fastHalfLife
	}
	slowFor := float64(s.slowUntil.Sub(s.slowSince))
	return min(max(time.Duration(slowHalfLifeShare*slowFor), minSlowHalfLife), maxSlowHalfLife)
}

// failureHalfLife returns the time in which the share of failures halves. A leaf is expected to fail for about as long
// as it has been failing: after a single failure it is tried again soon, and a leaf that is gone more and more rarely.
func (s *Scorer) failureHalfLife() time.Duration {
	return min(max(s.failingUntil.Sub(s.failingSince), minFailureHalfLife), maxFailureHalfLife)
}
