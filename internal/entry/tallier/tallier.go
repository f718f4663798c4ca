// Package tallier tallies the requests of each class at this node. Begins and ends of requests flow in;
// the demand flows out: how many are in progress, how many were answered within the last seconds and how
// many of those answers were worth nothing. It is the signal that wakes directors and without which
// nothing is refused.
package tallier

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	bucketCount = 5
	bucketWidth = time.Second

	// A class is short when at least shortShare of at least minRequests answers were worth nothing.
	minRequests = 10
	shortShare  = 0.1
)

type (
	// Config holds what a Tallier needs.
	Config struct {
		Clock quartz.Clock
		// Metrics receives the counters of each class. It may be nil.
		Metrics *metrics.Set
	}

	// Tallier tallies requests. It is safe for concurrent use.
	Tallier struct {
		config Config
		mutex  sync.Mutex
		// tallies has one entry for each configured class that was asked for.
		tallies map[string]*tally
	}

	// Demand is what was seen of a class within the last seconds.
	Demand struct {
		Requests   uint32
		Misses     uint32
		InProgress uint32
	}

	tally struct {
		inProgress uint32
		// buckets has one bucket for each of the last seconds, at the second modulo their number.
		buckets [bucketCount]bucket
	}

	bucket struct {
		// second is the number of the bucket width since the Unix epoch that the counts belong to.
		second   int64
		requests uint32
		misses   uint32
	}
)

// New returns a Tallier that has seen nothing.
func New(c Config) *Tallier {
	return &Tallier{config: c, tallies: map[string]*tally{}}
}

// Begin counts a request of the class. One of the functions returned is called once when the request
// ends: end with the coverage of the answer, 0 when there is none, or cancel for a request that was
// rejected, which counts neither as answered nor as missed.
func (t *Tallier) Begin(class *pb.Class) (end func(coverage float64), cancel func()) {
	start := t.config.Clock.Now()
	name := keyer.ClassName(class.GetService(), class.GetName())
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.tallies[name] == nil {
		t.tallies[name] = &tally{}
	}
	t.tallies[name].inProgress++
	end = func(coverage float64) {
		missed := IsMiss(class, t.config.Clock.Since(start), coverage)
		t.end(name, missed)
		t.count(class, missed)
	}
	return end, func() { t.cancel(name) }
}

// Demand returns what was seen of the class within the last seconds.
func (t *Tallier) Demand(service, class string) Demand {
	now := t.second()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	y := t.tallies[keyer.ClassName(service, class)]
	if y == nil {
		return Demand{}
	}
	d := Demand{InProgress: y.inProgress}
	for _, b := range y.buckets {
		if now-b.second < bucketCount {
			d.Requests += b.requests
			d.Misses += b.misses
		}
	}
	return d
}

// Short tells whether the class misses its floor: many answers of the last seconds were worth nothing.
func (t *Tallier) Short(service, class string) bool {
	return t.Demand(service, class).Short()
}

// Short tells whether the demand shows a class that misses its floor.
func (d Demand) Short() bool {
	return d.Requests >= minRequests && float64(d.Misses) >= shortShare*float64(d.Requests)
}

// IsMiss tells whether an answer after the time and with the coverage is worth nothing.
func IsMiss(class *pb.Class, after time.Duration, coverage float64) bool {
	return after > class.GetLateness().AsDuration() || coverage <= 0 || coverage < class.GetCoverageFloor()
}

// CoverageOf returns the covered share of a search's answer, from 0 to 1.
func CoverageOf(c *pb.Coverage) float64 {
	if c.GetAsked() == 0 {
		return 0
	}
	return math.Min(1, float64(len(c.GetIncluded()))/float64(c.GetAsked()))
}

func (t *Tallier) end(name string, missed bool) {
	now := t.second()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	y := t.tallies[name]
	y.inProgress--
	b := &y.buckets[now%bucketCount]
	if b.second != now {
		*b = bucket{second: now}
	}
	b.requests++
	if missed {
		b.misses++
	}
}

func (t *Tallier) cancel(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tallies[name].inProgress--
}

func (t *Tallier) count(class *pb.Class, missed bool) {
	if t.config.Metrics == nil {
		return
	}
	labels := fmt.Sprintf(`{service=%q,class=%q}`, class.GetService(), class.GetName())
	t.config.Metrics.GetOrCreateCounter("magnoliastep_class_requests_total" + labels).Inc()
	if missed {
		t.config.Metrics.GetOrCreateCounter("magnoliastep_class_misses_total" + labels).Inc()
	}
}

func (t *Tallier) second() int64 {
	return t.config.Clock.Now().UnixNano() / int64(bucketWidth)
}
