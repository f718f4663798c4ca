// Package estimator estimates the distribution of the times of one service's leaf calls from the calls
// that finished. It returns quantiles and the probability that an open call takes longer than a given
// time. It keeps the samples of the current and the previous window only, so that the estimates follow
// changes at the leaves.
package estimator

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/quartz"
)

const (
	windowLength       = 10 * time.Second
	tableRefreshPeriod = 100 * time.Millisecond
	minTime            = 10 * time.Microsecond
	maxTime            = time.Minute
	tableSize          = 200
	significantDigits  = 2
	minSamples         = 100
	percentPerStep     = 100.0 / tableSize
)

type (
	// Config holds the dependencies of an Estimator.
	Config struct {
		Clock quartz.Clock
	}

	// Estimator estimates the distribution of the times of leaf calls. It is safe for concurrent use.
	Estimator struct {
		clock quartz.Clock
		mutex sync.Mutex
		// current receives the samples; previous holds those of the window before and is not
		// changed.
		current  *hdrhistogram.Histogram
		previous *hdrhistogram.Histogram
		// unfinished and previousUnfinished count the calls of the two windows that were still open when their
		// request was answered.
		unfinished         int64
		previousUnfinished int64
		rotateAt           time.Time
		tableBuiltAt       time.Time
		// table holds the quantiles i/tableSize in ascending order; it is empty below minSamples samples.
		table []time.Duration
		// unfinishedShare is the share of unfinished calls among all calls, 0 to 1, when table was built.
		unfinishedShare float64
	}
)

// New returns an Estimator without samples.
func New(c Config) *Estimator {
	return &Estimator{
		clock: c.Clock, current: newHistogram(), previous: newHistogram(),
		rotateAt: c.Clock.Now().Add(windowLength),
	}
}

// Record adds the time of a call until its reply, or until its cancellation when another call for the same
// partition was faster.
func (e *Estimator) Record(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.current.RecordValue(int64(min(max(d, minTime), maxTime)))
}

// RecordUnfinished counts a call that was still open when its request was answered.
func (e *Estimator) RecordUnfinished() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unfinished++
}

// Quantile returns the q quantile of the times of finished calls. It returns false when there are too few
// samples.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	table, _ := e.quantileTable()
	if len(table) == 0 {
		return 0, false
	}
	i := int(q * tableSize)
	return table[min(max(i, 0), len(table)-1)], true
}

// StillOpenProbability returns the probability that a call that has been open for age is still open after the further
// time. Without enough samples, or beyond the longest measured time if all calls finished, it assumes that a call
// is less likely to end the older it is.
func (e *Estimator) StillOpenProbability(age, further time.Duration) float64 {
	table, unfinished := e.quantileTable()
	if len(table) == 0 || (unfinished == 0 && age >= table[len(table)-1]) {
		return float64(age+1) / float64(age+further+1)
	}
	return (unfinished + (1-unfinished)*survival(table, age+further)) / (unfinished + (1-unfinished)*survival(table, age))
}

// ExceedsMeasured reports whether the age is at least the longest measured time.
func (e *Estimator) ExceedsMeasured(age time.Duration) bool {
	table, _ := e.quantileTable()
	return len(table) == 0 || age >= table[len(table)-1]
}

func (e *Estimator) quantileTable() ([]time.Duration, float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if !now.Before(e.rotateAt) {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.unfinished, e.previousUnfinished = 0, e.unfinished
		e.rotateAt = now.Add(windowLength)
	}
	if now.Sub(e.tableBuiltAt) >= tableRefreshPeriod {
		e.tableBuiltAt = now
		e.table = e.buildTable()
	}
	return e.table, e.unfinishedShare
}

func (e *Estimator) buildTable() []time.Duration {
	if e.current.TotalCount()+e.previous.TotalCount() < minSamples {
		return nil
	}
	merged := newHistogram()
	merged.Merge(e.current)
	merged.Merge(e.previous)
	unfinished := float64(e.unfinished + e.previousUnfinished)
	e.unfinishedShare = unfinished / (unfinished + float64(merged.TotalCount()))
	percentiles := make([]float64, 0, tableSize+1)
	for i := range tableSize + 1 {
		percentiles = append(percentiles, float64(i)*percentPerStep)
	}
	values := merged.ValueAtPercentiles(percentiles)
	table := make([]time.Duration, 0, tableSize+1)
	for _, p := range percentiles {
		table = append(table, time.Duration(values[p]))
	}
	return table
}

// survival returns the share of finished calls that take longer than d; it is never zero.
func survival(table []time.Duration, d time.Duration) float64 {
	i := sort.Search(len(table), func(i int) bool { return table[i] > d })
	return max(1-float64(i)/tableSize, 0.5/tableSize)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minTime), int64(maxTime), significantDigits)
}
