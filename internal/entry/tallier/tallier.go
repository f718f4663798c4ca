// Package tallier counts the requests of each class at this node: how many are in progress, how many were
// answered within the last seconds and how many of those answers were worth nothing. Directors are paged
// on the basis of these counts, and nothing is refused unless they show a class that misses its floor.
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

	// A class misses its floor when at least minMissShare of at least minRequests answers were worth nothing.
	minRequests  = 10
	minMissShare = 0.1
)

type (
	// Config holds what a Tallier needs.
	Config struct {
		Clock quartz.Clock
		// Metrics receives the counters of each class. It may be nil.
		Metrics *metrics.Set
	}

	// Tallier counts requests by class. It is safe for concurrent use.
	Tallier struct {
		config Config
		mutex  sync.Mutex
		// counts has one entry for each configured class that was asked for, by class name.
		counts map[string]*classCounts
	}

	// Demand holds the counts of a class within the last seconds.
	Demand struct {
		Requests   uint32
		Misses     uint32
		InProgress uint32
	}

	classCounts struct {
		inProgress uint32
		// buckets is a ring with one bucket for each of the last seconds; index is the second modulo bucketCount.
		buckets [bucketCount]bucket
	}

	bucket struct {
		// second is the time to which the counts belong, in bucket widths since the Unix epoch.
		second   int64
		requests uint32
		misses   uint32
	}
)

// New returns a Tallier without requests.
func New(c Config) *Tallier {
	return &Tallier{config: c, counts: map[string]*classCounts{}}
}

// Begin counts a request of the class as in progress. The caller must call exactly one of the returned
// functions once when the request ends: end with the coverage of the answer, 0 when there is none, or cancel
// for a request that was rejected, which counts neither as answered nor as missed.
func (t *Tallier) Begin(class *pb.Class) (end func(coverage float64), cancel func()) {
	start := t.config.Clock.Now()
	name := keyer.ClassName(class.GetService(), class.GetName())
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts[name] == nil {
		t.counts[name] = &classCounts{}
	}
	t.counts[name].inProgress++
	end = func(coverage float64) {
		missed := IsMiss(class, t.config.Clock.Since(start), coverage)
		t.end(name, missed)
		t.countMetrics(class, missed)
	}
	return end, func() { t.cancel(name) }
}

// Demand returns the counts of the class within the last seconds.
func (t *Tallier) Demand(service, class string) Demand {
	now := t.currentSecond()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.counts[keyer.ClassName(service, class)]
	if counts == nil {
		return Demand{}
	}
	d := Demand{InProgress: counts.inProgress}
	for _, b := range counts.buckets {
		if now-b.second < bucketCount {
			d.Requests += b.requests
			d.Misses += b.misses
		}
	}
	return d
}

// MissesFloor reports whether the class misses its floor: a large share of the answers of the last seconds was worth
// nothing.
func (t *Tallier) MissesFloor(service, class string) bool {
	return t.Demand(service, class).MissesFloor()
}

// MissesFloor reports whether the class with this demand misses its floor.
func (d Demand) MissesFloor() bool {
	return d.Requests >= minRequests && float64(d.Misses) >= minMissShare*float64(d.Requests)
}

// IsMiss reports whether an answer given after the time with the coverage is worth nothing.
func IsMiss(class *pb.Class, elapsed time.Duration, coverage float64) bool {
	return elapsed > class.GetLateness().AsDuration() || coverage <= 0 || coverage < class.GetCoverageFloor()
}

// CoverageOf returns the share of the asked partitions that a search's answer includes, from 0 to 1.
func CoverageOf(c *pb.Coverage) float64 {
	if c.GetAsked() == 0 {
		return 0
	}
	return math.Min(1, float64(len(c.GetIncluded()))/float64(c.GetAsked()))
}

func (t *Tallier) end(name string, missed bool) {
	now := t.currentSecond()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.counts[name]
	counts.inProgress--
	b := &counts.buckets[now%bucketCount]
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
	t.counts[name].inProgress--
}

func (t *Tallier) countMetrics(class *pb.Class, missed bool) {
	if t.config.Metrics == nil {
		return
	}
	labels := fmt.Sprintf(`{service=%q,class=%q}`, class.GetService(), class.GetName())
	t.config.Metrics.GetOrCreateCounter("magnoliastep_class_requests_total" + labels).Inc()
	if missed {
		t.config.Metrics.GetOrCreateCounter("magnoliastep_class_misses_total" + labels).Inc()
	}
}

func (t *Tallier) currentSecond() int64 {
	return t.config.Clock.Now().UnixNano() / int64(bucketWidth)
}
