// Package answerer decides when to answer. What has arrived, what is still open and for how long, and
// the class's worth flow in; "answer now" or "look again then" flows out. It compares the worth of
// answering now with the expected worth of answering at each of several later times.
package answerer

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/valuer"
)

const (
	// horizons are looked at, each twice as far as the one before, the last at the end of the time.
	horizons = 8
	// exactParts is the largest number of open partitions whose arrivals are combined exactly; the
	// mean arrival stands for more of them.
	exactParts   = 24
	shortestWait = time.Millisecond
)

type (
	// Arrivals tells how likely open calls are to stay open.
	Arrivals interface {
		Remaining(age, further time.Duration) float64
		// Beyond tells whether the age is more than any measured time.
		Beyond(age time.Duration) bool
	}

	// Config holds what an Answerer needs.
	Config struct {
		Valuer   *valuer.Valuer
		Arrivals Arrivals
		// AnswerBy is the time since the request's arrival at which the answer must be given.
		AnswerBy time.Duration
	}

	// Answerer decides for one request.
	Answerer struct {
		config Config
	}

	// Pending is a partition that may still arrive: the age of its first and of its newest open call.
	Pending struct {
		Oldest time.Duration
		Newest time.Duration
		Calls  int
	}

	// State is what is known of the request.
	State struct {
		Elapsed  time.Duration
		Included int
		Asked    int
		Pending  []Pending
	}
)

// New returns an Answerer.
func New(c Config) *Answerer {
	return &Answerer{config: c}
}

// Decide returns zero when the answer is to be given now, and otherwise the time after which to decide
// again at the latest. An answer that is worth nothing yet, such as one without any part, is given only
// when its time is over or nothing more can arrive.
func (a *Answerer) Decide(s State) time.Duration {
	left := a.config.AnswerBy - s.Elapsed
	if s.Included == s.Asked || left <= 0 || len(s.Pending) == 0 {
		return 0
	}
	now := a.config.Valuer.Worth(s.Elapsed, float64(s.Included)/float64(s.Asked))
	if s.Included == 0 || now == 0 {
		return left
	}
	if free := a.config.Valuer.FullWorthUntil() - s.Elapsed; free > 0 {
		return min(free, left)
	}
	for i := horizons - 1; i >= 0; i-- {
		if further := left >> i; further > 0 && a.expected(s, further) > now {
			return min(max(further, shortestWait), left)
		}
	}
	return 0
}

// expected returns the expected worth of the answer given after the further time.
func (a *Answerer) expected(s State, further time.Duration) float64 {
	time := a.config.Valuer.Time(s.Elapsed + further)
	if time == 0 {
		return 0
	}
	if len(s.Pending) > exactParts {
		mean := float64(s.Included)
		for _, p := range s.Pending {
			mean += a.arrival(p, further)
		}
		return a.config.Valuer.Worth(s.Elapsed+further, mean/float64(s.Asked))
	}
	total := 0.0
	for arrived, probability := range a.distribution(s.Pending, further) {
		coverage := float64(s.Included+arrived) / float64(s.Asked)
		total += probability * a.config.Valuer.Worth(s.Elapsed+further, coverage)
	}
	return total
}

// distribution returns the probability of each number of arrivals.
func (a *Answerer) distribution(pending []Pending, further time.Duration) []float64 {
	counts := make([]float64, 1, len(pending)+1)
	counts[0] = 1
	for _, p := range pending {
		arrival := a.arrival(p, further)
		counts = append(counts, 0)
		for i := len(counts) - 1; i > 0; i-- {
			counts[i] = counts[i]*(1-arrival) + counts[i-1]*arrival
		}
		counts[0] *= 1 - arrival
	}
	return counts
}

// arrival returns the probability that the partition arrives within the further time. A second call
// counts only while the first may be late by chance: later, its partition is in trouble as a whole.
func (a *Answerer) arrival(p Pending, further time.Duration) float64 {
	remaining := a.config.Arrivals.Remaining(p.Oldest, further)
	if p.Calls > 1 && !a.config.Arrivals.Beyond(p.Oldest) {
		remaining *= a.config.Arrivals.Remaining(p.Newest, further)
	}
	return 1 - remaining
}
