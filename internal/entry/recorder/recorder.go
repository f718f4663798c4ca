// Package recorder records metrics of finished searches and of the leaf calls made for them, in the node's
// metrics set, by service and class.
package recorder

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Config holds what a Recorder needs.
	Config struct {
		Metrics *metrics.Set
	}

	// Recorder writes metrics. It is safe for concurrent use.
	Recorder struct {
		set   *metrics.Set
		mutex sync.Mutex
		// series holds the metrics of each service and class that was asked for.
		series map[[2]string]*Series
	}

	// Series are the metrics of one service and class.
	Series struct {
		set              *metrics.Set
		labels           string
		FirstCalls       *metrics.Counter
		Hedges           *metrics.Counter
		HedgesWon        *metrics.Counter
		Retries          *metrics.Counter
		Restarts         *metrics.Counter
		RestartCalls     *metrics.Counter
		CancelledCalls   *metrics.Counter
		DeniedExtraCalls *metrics.Counter
		LeafReplies      *metrics.Counter
		IgnoredReplies   *metrics.Counter
		deliveredWorth   *metrics.FloatCounter
		possibleWorth    *metrics.FloatCounter
		latency          *metrics.Histogram
		coverage         *metrics.Histogram
	}
)

// New returns a Recorder. Without a metrics set it records into one of its own.
func New(c Config) *Recorder {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Recorder{set: c.Metrics, series: map[[2]string]*Series{}}
}

// Series returns the metrics of the service and class.
func (r *Recorder) Series(service, class string) *Series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := [2]string{service, class}
	s := r.series[key]
	if s == nil {
		s = newSeries(r.set, service, class)
		r.series[key] = s
	}
	return s
}

func newSeries(set *metrics.Set, service, class string) *Series {
	labels := fmt.Sprintf("service=%q,class=%q", service, class)
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("magnoliastep_search_" + name + "_total{" + labels + "}")
	}
	return &Series{
		set: set, labels: labels,
		FirstCalls: counter("first_calls"), Hedges: counter("hedges"), HedgesWon: counter("hedges_won"),
		Retries: counter("retries"), Restarts: counter("restarts"), RestartCalls: counter("restart_calls"),
		CancelledCalls: counter("cancelled_calls"), DeniedExtraCalls: counter("extra_calls_denied"),
		LeafReplies: counter("leaf_replies"), IgnoredReplies: counter("ignored_replies"),
		deliveredWorth: set.GetOrCreateFloatCounter("magnoliastep_search_worth_delivered_total{" + labels + "}"),
		possibleWorth:  set.GetOrCreateFloatCounter("magnoliastep_search_worth_possible_total{" + labels + "}"),
		latency:        set.GetOrCreateHistogram("magnoliastep_search_seconds{" + labels + "}"),
		coverage:       set.GetOrCreateHistogram("magnoliastep_search_coverage{" + labels + "}"),
	}
}

// RecordAnswer records one finished search with its delivered and its possible worth.
func (s *Series) RecordAnswer(a *pb.SearchAnswer, elapsed time.Duration, deliveredWorth, possibleWorth float64) {
	s.set.GetOrCreateCounter(
		fmt.Sprintf("magnoliastep_search_answers_total{%s,code=%q}", s.labels, a.GetCode())).Inc()
	for _, l := range a.GetCoverage().GetLacking() {
		s.set.GetOrCreateCounter(
			fmt.Sprintf("magnoliastep_search_lacking_total{%s,reason=%q}", s.labels, l.GetReason())).Inc()
	}
	s.deliveredWorth.Add(deliveredWorth)
	s.possibleWorth.Add(possibleWorth)
	s.latency.Update(elapsed.Seconds())
	s.coverage.Update(float64(len(a.GetCoverage().GetIncluded())) / float64(max(1, a.GetCoverage().GetAsked())))
}
