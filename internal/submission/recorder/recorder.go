// Package recorder writes the metrics of non-idempotent requests: answers by result code, their latency, and the
// verdicts of claims.
package recorder

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Config holds what a Recorder needs.
	Config struct {
		// Metrics may be nil; the Recorder then uses a set of its own.
		Metrics *metrics.Set
	}

	// Recorder writes metrics. It is safe for concurrent use.
	Recorder struct {
		set *metrics.Set
	}
)

// New returns a Recorder.
func New(c Config) *Recorder {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Recorder{set: c.Metrics}
}

// RecordAnswer records the result code and the latency of an answer.
func (r *Recorder) RecordAnswer(service, class string, code pb.ResultCode, elapsed time.Duration) {
	labels := fmt.Sprintf("service=%q,class=%q", service, class)
	r.set.GetOrCreateCounter(fmt.Sprintf("magnoliastep_submit_answers_total{%s,code=%q}", labels, code)).Inc()
	r.set.GetOrCreateHistogram("magnoliastep_submit_seconds{" + labels + "}").Update(elapsed.Seconds())
}

// RecordClaim records the verdict of a claim.
func (r *Recorder) RecordClaim(verdict string) {
	r.set.GetOrCreateCounter(fmt.Sprintf("magnoliastep_submit_claims_total{verdict=%q}", verdict)).Inc()
}
