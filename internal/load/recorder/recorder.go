// Package recorder keeps what a run of one class measured. One sample for each request flows in: its
// scheduled time, its latency from that time, its code and its coverage. Percentiles from an HDR
// histogram, mean coverage and the worth delivered flow out, for the whole run and for each window.
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
	// CodeTransport counts the requests that got no answer at all.
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

	// Recorder keeps the samples of one class. It is safe for concurrent use.
	Recorder struct {
		config Config
		mutex  sync.Mutex
		total  *tally
		codes  map[string]uint64
		// windows is indexed by the scheduled time divided by the window.
		windows []*tally
		worth   float64
		whole   uint64
		asked   uint64
	}

	// Sample is what happened to one request.
	Sample struct {
		// Scheduled is the send time from the start of the run.
		Scheduled time.Duration
		// Latency is counted from the scheduled time.
		Latency time.Duration
		// Code is a result code's name or CodeTransport.
		Code     string
		Included int
		Asked    int
	}

	tally struct {
		latency  *hdrhistogram.Histogram
		coverage float64
	}
)

// New returns a Recorder without samples.
func New(c Config) *Recorder {
	return &Recorder{config: c, total: newTally(), codes: map[string]uint64{}}
}

// Record takes one sample.
func (r *Recorder) Record(s Sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	coverage := s.coverage()
	r.codes[s.Code]++
	r.total.add(s.Latency, coverage)
	r.window(s.Scheduled).add(s.Latency, coverage)
	r.worth += Worth(r.config.Class, s.Latency, coverage)
	r.asked += uint64(s.Asked)
	if coverage == 1 {
		r.whole++
	}
}

// Asked returns how many parts were asked for.
func (r *Recorder) Asked() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.asked
}

// Report returns what was recorded.
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
		report.WholeShare = float64(r.whole) / float64(report.GetSent())
		report.WorthShare = r.worth / (r.config.Class.GetWorth() * float64(report.GetSent()))
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
	if s.Asked == 0 {
		return 0
	}
	return float64(s.Included) / float64(s.Asked)
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}

func (t *tally) add(latency time.Duration, coverage float64) {
	_ = t.latency.RecordValue(min(highestLatency, max(lowestLatency, int64(latency))))
	t.coverage += coverage
}

func (t *tally) meanCoverage() float64 {
	return t.coverage / float64(max(1, t.latency.TotalCount()))
}

func (t *tally) percentiles() *pb.Percentiles {
	at := func(percentile float64) float64 {
		return float64(t.latency.ValueAtPercentile(percentile)) / float64(time.Millisecond)
	}
	return &pb.Percentiles{P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9), MaxMs: at(100)}
}
