// Package decider decides for the searcher whether to answer a search now or to wait for open calls. It
// compares the worth of answering now with the expected worth of answering at each of several later times.
package decider

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/evaluator"
)

const (
	// waitCandidates is the number of waits that are compared: the time left and successive halves of it.
	waitCandidates = 8
	// maxExactPartitions is the largest number of open partitions for which the distribution of arrivals is
	// computed exactly. For more of them, the expected number of arrivals is used.
	maxExactPartitions = 24
	minWait            = time.Millisecond
)

type (
	// Arrivals is the distribution of the times until open calls are answered.
	Arrivals interface {
		// StillOpenProbability returns the probability that a call of the given age is still open after the further time.
		StillOpenProbability(age, further time.Duration) float64
		// ExceedsMeasured reports whether the age exceeds every measured time.
		ExceedsMeasured(age time.Duration) bool
	}

	// Config holds what a Decider needs.
	Config struct {
		Evaluator *evaluator.Evaluator
		Arrivals  Arrivals
		// AnswerBy is the time since the request's arrival at which the answer must be given.
		AnswerBy time.Duration
	}

	// Decider decides when to answer one request.
	Decider struct {
		config Config
	}

	// Pending is a partition that may still arrive, with the ages of its first and its newest open call.
	Pending struct {
		OldestAge time.Duration
		NewestAge time.Duration
		OpenCalls int
	}

	// State is the progress of the request.
	State struct {
		Elapsed  time.Duration
		Included int
		Asked    int
		Pending  []Pending
	}
)

// New returns a Decider.
func New(c Config) *Decider {
	return &Decider{config: c}
}

// Decide returns zero when the request is to be answered now, and otherwise the time after which to decide
// again at the latest. An answer that is worth nothing yet, such as one without any part, is given only when
// the time is over or nothing more can arrive.
func (d *Decider) Decide(s State) time.Duration {
	left := d.config.AnswerBy - s.Elapsed
	if s.Included == s.Asked || left <= 0 || len(s.Pending) == 0 {
		return 0
	}
	worthNow := d.config.Evaluator.Worth(s.Elapsed, float64(s.Included)/float64(s.Asked))
	if s.Included == 0 || worthNow == 0 {
		return left
	}
	if fullWorthLeft := d.config.Evaluator.FullWorthUntil() - s.Elapsed; fullWorthLeft > 0 {
		return min(fullWorthLeft, left)
	}
	for i := waitCandidates - 1; i >= 0; i-- {
		if further := left >> i; further > 0 && d.expectedWorth(s, further) > worthNow {
			return min(max(further, minWait), left)
		}
	}
	return 0
}

// expectedWorth returns the expected worth of an answer that is given after the further time.
func (d *Decider) expectedWorth(s State, further time.Duration) float64 {
	timeFactor := d.config.Evaluator.TimeFactor(s.Elapsed + further)
	if timeFactor == 0 {
		return 0
	}
	if len(s.Pending) > maxExactPartitions {
		meanIncluded := float64(s.Included)
		for _, p := range s.Pending {
			meanIncluded += d.arrivalProbability(p, further)
		}
		return d.config.Evaluator.Worth(s.Elapsed+further, meanIncluded/float64(s.Asked))
	}
	total := 0.0
	for arrived, probability := range d.arrivalDistribution(s.Pending, further) {
		coverage := float64(s.Included+arrived) / float64(s.Asked)
		total += probability * d.config.Evaluator.Worth(s.Elapsed+further, coverage)
	}
	return total
}

// arrivalDistribution returns the probability of each number of arrivals within the further time.
func (d *Decider) arrivalDistribution(pending []Pending, further time.Duration) []float64 {
	probabilities := make([]float64, 1, len(pending)+1)
	probabilities[0] = 1
	for _, p := range pending {
		probability := d.arrivalProbability(p, further)
		probabilities = append(probabilities, 0)
		for i := len(probabilities) - 1; i > 0; i-- {
			probabilities[i] = probabilities[i]*(1-probability) + probabilities[i-1]*probability
		}
		probabilities[0] *= 1 - probability
	}
	return probabilities
}

// arrivalProbability returns the probability that the partition arrives within the further time. A second
// call counts only while the age of the first is within the measured times; beyond them, the whole partition is
// presumed to be failing.
func (d *Decider) arrivalProbability(p Pending, further time.Duration) float64 {
	remaining := d.config.Arrivals.StillOpenProbability(p.OldestAge, further)
	if p.OpenCalls > 1 && !d.config.Arrivals.ExceedsMeasured(p.OldestAge) {
		remaining *= d.config.Arrivals.StillOpenProbability(p.NewestAge, further)
	}
	return 1 - remaining
}
