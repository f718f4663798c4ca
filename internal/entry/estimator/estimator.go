// Package estimator measures how long the leaf calls of one service take. Times of finished calls flow
// in; quantiles and the share of calls that take longer than a given time flow out. It looks back over
// one to two windows, so that an old state of the leaves is forgotten.
package estimator

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/quartz"
)

const (
	windowLength   = 10 * time.Second
	refreshPeriod  = 100 * time.Millisecond
	shortestTime   = 10 * time.Microsecond
	longestTime    = time.Minute
	tableSize      = 200
	significant    = 2 // digits
	enoughSamples  = 100
	percentPerStep = 100.0 / tableSize
)

type (
	// Config holds what an Estimator needs.
	Config struct {
		Clock quartz.Clock
	}

	// Estimator is the distribution of the times of leaf calls. It is safe for concurrent use.
	Estimator struct {
		clock quartz.Clock
		mutex sync.Mutex
		// current receives the samples; previous is the window before and is not changed.
		current  *hdrhistogram.Histogram
		previous *hdrhistogram.Histogram
		rotateAt time.Time
		tableAt  time.Time
		// table has the quantiles i/tableSize in ascending order; it is empty without enough samples.
		table []time.Duration
	}
)

// New returns an Estimator without samples.
func New(c Config) *Estimator {
	return &Estimator{
		clock: c.Clock, current: newHistogram(), previous: newHistogram(),
		rotateAt: c.Clock.Now().Add(windowLength),
	}
}

// Record takes the time of a call: to its reply, or to its cancellation as a lower bound.
func (e *Estimator) Record(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.current.RecordValue(int64(min(max(d, shortestTime), longestTime)))
}

// Quantile returns the time within which the share q of calls finishes, and false without enough
// samples.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	table := e.quantiles()
	if len(table) == 0 {
		return 0, false
	}
	i := int(q * tableSize)
	return table[min(max(i, 0), len(table)-1)], true
}

// Remaining returns the probability that a call which is open for age stays open for the further time.
// Beyond everything measured, the chance to end is taken to shrink with age.
func (e *Estimator) Remaining(age, further time.Duration) float64 {
	table := e.quantiles()
	if len(table) == 0 || age >= table[len(table)-1] {
		return float64(age+1) / float64(age+further+1)
	}
	return survival(table, age+further) / survival(table, age)
}

func (e *Estimator) quantiles() []time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if !now.Before(e.rotateAt) {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.rotateAt = now.Add(windowLength)
	}
	if now.Sub(e.tableAt) >= refreshPeriod {
		e.tableAt = now
		e.table = e.rebuild()
	}
	return e.table
}

func (e *Estimator) rebuild() []time.Duration {
	if e.current.TotalCount()+e.previous.TotalCount() < enoughSamples {
		return nil
	}
	merged := newHistogram()
	merged.Merge(e.current)
	merged.Merge(e.previous)
	wanted := make([]float64, 0, tableSize+1)
	for i := range tableSize + 1 {
		wanted = append(wanted, float64(i)*percentPerStep)
	}
	values := merged.ValueAtPercentiles(wanted)
	table := make([]time.Duration, 0, tableSize+1)
	for _, w := range wanted {
		table = append(table, time.Duration(values[w]))
	}
	return table
}

// survival returns the share of calls that take longer than d, never zero.
func survival(table []time.Duration, d time.Duration) float64 {
	i := sort.Search(len(table), func(i int) bool { return table[i] > d })
	return max(1-float64(i)/tableSize, 0.5/tableSize)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(shortestTime), int64(longestTime), significant)
}
