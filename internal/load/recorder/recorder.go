// Package recorder records the samples of one class in a load run: for each request its scheduled time, its
// latency from that time, its code and its coverage. It reports latency percentiles from an HDR histogram
// and the mean coverage, for the whole run and for each window, and the share of worth delivered.
package recorder

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// CodeTransport is the code of a request that got no answer.
	CodeTransport = "TRANSPORT"

	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 3
)

type (
	// Config holds what a Recorder needs.
	Config struct {
		Class *pb.Class
		// Window is the width of the windows of the timeline.
		Window time.Duration
	}

	// Recorder aggregates the samples of one class. It is safe for concurrent use.
	Recorder struct {
		config Config
		mutex  sync.Mutex
		total  *tally
		codes  map[string]uint64
		// windows is indexed by the scheduled time divided by the window.
		windows      []*tally
		worthSum     float64
		wholeAnswers uint64
		partsAsked   uint64
	}

	// Sample is the result of one request.
	Sample struct {
		// Scheduled is the planned send time from the start of the run.
		Scheduled time.Duration
		// Latency is counted from the scheduled time.
		Latency time.Duration
		// Code is a result code's name or CodeTransport.
		Code          string
		PartsIncluded int
		PartsAsked    int
	}

	// tally aggregates the latency and coverage of a run or a window.
	tally struct {
		latency     *hdrhistogram.Histogram
		coverageSum float64
	}
)

// New returns a Recorder without samples.
func New(c Config) *Recorder {
	return &Recorder{config: c, total: newTally(), codes: map[string]uint64{}}
}

// Record adds one sample.
func (r *Recorder) Record(s Sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	coverage := s.coverage()
	r.codes[s.Code]++
	r.total.add(s.Latency, coverage)
	r.window(s.Scheduled).add(s.Latency, coverage)
	r.worthSum += Worth(r.config.Class, s.Latency, coverage)
	r.partsAsked += uint64(s.PartsAsked)
	if coverage == 1 {
		r.wholeAnswers++
	}
}

// PartsAsked returns how many parts all requests asked for.
func (r *Recorder) PartsAsked() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.partsAsked
}

// Report returns the report on all samples so far.
func (r *Recorder) Report() *pb.ClassReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := &pb.ClassReport{
		Service: r.config.Class.GetService(), Class: r.config.Class.GetName(),
		Sent: uint64(r.total.latency.TotalCount()), Codes: r.codes, Latency: r.total.percentiles(),
		MeanCoverage: r.total.meanCoverage(),
		Refused:      r.codes[pb.ResultCode_RESULT_CODE_REFUSED_NOT_RUN.String()],
	}
	if report.GetSent() > 0 {
		report.WholeShare = float64(r.wholeAnswers) / float64(report.GetSent())
		report.WorthShare = r.worthSum / (r.config.Class.GetWorth() * float64(report.GetSent()))
	}
	for i, w := range r.windows {
		p := w.percentiles()
		report.Windows = append(report.Windows, &pb.WindowReport{
			Start: durationpb.New(time.Duration(i) * r.config.Window), Answers: uint64(w.latency.TotalCount()),
			P50Ms: p.GetP50Ms(), P99Ms: p.GetP99Ms(), MeanCoverage: w.meanCoverage(),
		})
	}
	return report
}

// Worth returns what an answer of the class is worth at a latency and a coverage from 0 to 1.
func Worth(c *pb.Class, latency time.Duration, coverage float64) float64 {
	full := c.GetFullWorthUntil().AsDuration()
	late := c.GetLateness().AsDuration()
	if latency >= late || coverage < c.GetCoverageFloor() || coverage == 0 {
		return 0
	}
	worth := c.GetWorth() * math.Pow(coverage, c.GetCoverageExponent())
	if latency <= full {
		return worth
	}
	return worth * float64(late-latency) / float64(late-full)
}

func (r *Recorder) window(scheduled time.Duration) *tally {
	i := int(scheduled / r.config.Window)
	for len(r.windows) <= i {
		r.windows = append(r.windows, newTally())
	}
	return r.windows[i]
}

func (s Sample) coverage() float64 {
	if s.PartsAsked == 0 {
		return 0
	}
	return float64(s.PartsIncluded) / float64(s.PartsAsked)
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}

func (t *tally) add(latency time.Duration, coverage float64) {
	_ = t.latency.RecordValue(min(highestLatency, max(lowestLatency, int64(latency))))
	t.coverageSum += coverage
}

func (t *tally) meanCoverage() float64 {
	return t.coverageSum / float64(max(1, t.latency.TotalCount()))
}

func (t *tally) percentiles() *pb.Percentiles {
	milliseconds := func(percentile float64) float64 {
		return float64(t.latency.ValueAtPercentile(percentile)) / float64(time.Millisecond)
	}
	return &pb.Percentiles{
		P50Ms: milliseconds(50), P90Ms: milliseconds(90), P99Ms: milliseconds(99), P999Ms: milliseconds(99.9),
		MaxMs: milliseconds(100),
	}
}
