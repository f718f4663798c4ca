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
		// lost and lostBefore count the calls of the two windows that did not end while they were wanted.
		lost       int64
		lostBefore int64
		rotateAt   time.Time
		tableAt    time.Time
		// table has the quantiles i/tableSize in ascending order; it is empty without enough samples.
		table []time.Duration
		// lostShare of all calls, 0 to 1, at the time of the table.
		lostShare float64
	}
)

// New returns an Estimator without samples.
func New(c Config) *Estimator {
	return &Estimator{
		clock: c.Clock, current: newHistogram(), previous: newHistogram(),
		rotateAt: c.Clock.Now().Add(windowLength),
	}
}

// Record takes the time of a call: to its reply, or to its cancellation when another call for the same
// partition was faster.
func (e *Estimator) Record(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.current.RecordValue(int64(min(max(d, shortestTime), longestTime)))
}

// RecordLost takes note of a call that had not ended when the answer was given.
func (e *Estimator) RecordLost() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lost++
}

// Quantile returns the time within which the share q of the calls that end finishes, and false without enough
// samples.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	table, _ := e.quantiles()
	if len(table) == 0 {
		return 0, false
	}
	i := int(q * tableSize)
	return table[min(max(i, 0), len(table)-1)], true
}

// Remaining returns the probability that a call which is open for age stays open for the further time.
// Beyond everything measured, the chance to end is taken to shrink with age.
func (e *Estimator) Remaining(age, further time.Duration) float64 {
	table, lost := e.quantiles()
	if len(table) == 0 || (lost == 0 && age >= table[len(table)-1]) {
		return float64(age+1) / float64(age+further+1)
	}
	return (lost + (1-lost)*survival(table, age+further)) / (lost + (1-lost)*survival(table, age))
}

// Beyond tells whether the age is more than any measured time.
func (e *Estimator) Beyond(age time.Duration) bool {
	table, _ := e.quantiles()
	return len(table) == 0 || age >= table[len(table)-1]
}

func (e *Estimator) quantiles() ([]time.Duration, float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if !now.Before(e.rotateAt) {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.lost, e.lostBefore = 0, e.lost
		e.rotateAt = now.Add(windowLength)
	}
	if now.Sub(e.tableAt) >= refreshPeriod {
		e.tableAt = now
		e.table = e.rebuild()
	}
	return e.table, e.lostShare
}

func (e *Estimator) rebuild() []time.Duration {
	if e.current.TotalCount()+e.previous.TotalCount() < enoughSamples {
		return nil
	}
	merged := newHistogram()
	merged.Merge(e.current)
	merged.Merge(e.previous)
	lost := float64(e.lost + e.lostBefore)
	e.lostShare = lost / (lost + float64(merged.TotalCount()))
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
