// Package scorer keeps what this node believes of one leaf. Calls that begin and end flow in; the expected
// time to the answer of one more call flows out. A belief fades, so that a leaf which was slow or failing is
// tried again; an open call that is older than expected counts at once, before any answer tells.
package scorer

import (
	"math"
	"sync"
	"time"
)

const (
	// learnRate is the weight of a new observation.
	learnRate = 0.3
	// fadeTime is how long it takes until a belief is half forgotten.
	fadeTime = 3 * time.Second
	// failurePenalty is added to the expected time, times the share of failures.
	failurePenalty = 300 * time.Millisecond
	// maxFactor bounds how slow a leaf is held for.
	maxFactor = 30
	// stallFactor times the expected time is the age at which an open call makes a leaf look stalled.
	stallFactor = 2
	// stallSlack is added to that age: timers and links are late by a few milliseconds.
	stallSlack = 6 * time.Millisecond
	// loadWeight is the part of the expected time that each open call adds.
	loadWeight = 0.25
)

const (
	// Success is a good answer.
	Success Outcome = iota
	// Failure is an error of the leaf or of the connection.
	Failure
	// Rejection is an answer that says that the call did not run.
	Rejection
	// Abandoned is a call whose answer was not waited for.
	Abandoned
	// Unsent is a call that never got a connection. It says nothing about the leaf.
	Unsent
)

type (
	// Outcome says how a call ended.
	Outcome int

	// Scorer is the belief about one leaf. It is safe for concurrent use.
	Scorer struct {
		mutex sync.Mutex
		// factor is how much slower than typical the leaf is, above 0.
		factor float64
		// failures is the share of calls that failed lately, 0 to 1.
		failures float64
		// updatedAt is when factor and failures were last brought up to date.
		updatedAt time.Time
		// open has the start of each open call, oldest first.
		open []time.Time
	}
)

// New returns a Scorer that holds the leaf for typical.
func New() *Scorer {
	return &Scorer{factor: 1}
}

// Begin takes note of a call that is sent now.
func (s *Scorer) Begin(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open = append(s.open, now)
}

// End takes note of the end of a call that began at startedAt and was with the leaf for took. typical is the
// usual time of such calls. A call that never reached the leaf teaches nothing but its failure.
func (s *Scorer) End(startedAt, now time.Time, took, typical time.Duration, o Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, t := range s.open {
		if t.Equal(startedAt) {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	s.fade(now)
	ratio := min(maxFactor, float64(took)/float64(max(typical, time.Millisecond)))
	switch o {
	case Success:
		s.factor += learnRate * (ratio - s.factor)
		s.failures -= learnRate * s.failures
	case Failure, Rejection:
		s.failures += learnRate * (1 - s.failures)
	case Unsent:
	case Abandoned:
		if ratio > s.factor {
			s.factor += learnRate * (ratio - s.factor)
		}
	}
}

// Open returns the number of open calls.
func (s *Scorer) Open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// Expected returns the expected time to the answer of one more call, where typical is the usual time of such
// calls and slots the number of calls that the leaf runs at once.
func (s *Scorer) Expected(now time.Time, typical time.Duration, slots int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fade(now)
	base := time.Duration(float64(typical) * s.factor)
	waiting := max(0, len(s.open)+1-max(1, slots))
	expected := time.Duration(float64(base) * (1 + loadWeight*float64(len(s.open)) + float64(waiting)/float64(max(1,
		slots))))
	expected += time.Duration(s.failures / (1.02 - s.failures) * float64(failurePenalty))
	return expected + s.stall(now, base)
}

// Own returns the time that the leaf itself is expected to take for a call, without others before it.
func (s *Scorer) Own(now time.Time, typical time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fade(now)
	return time.Duration(float64(typical) * s.factor)
}

// stall returns how much longer an answer takes than the leaf's own time, judged by calls that are late. What
// has lasted long lasts longer: the age is the best guess of what is left.
func (s *Scorer) stall(now time.Time, base time.Duration) time.Duration {
	if len(s.open) == 0 {
		return 0
	}
	age := now.Sub(s.open[0])
	if age <= stallFactor*base+stallSlack {
		return 0
	}
	return age
}

// fade lets the belief move towards that of a typical leaf.
func (s *Scorer) fade(now time.Time) {
	if !s.updatedAt.IsZero() && now.After(s.updatedAt) {
		kept := math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(fadeTime))
		s.factor = 1 + (s.factor-1)*kept
		s.failures *= kept
	}
	s.updatedAt = now
}
