package finisher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/finisher"
)

// Guards against requests that a stopping node takes and then cuts off at the end of its grace time.
func TestRequestIsSentOnlyWhileItsAnswerIsExpectedBeforeEnd(t *testing.T) {
	endAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		request finisher.Request
		want    time.Time
	}{
		{"ends before", finisher.Request{EndsBy: endAt.Add(-time.Second), TargetLatency: time.Minute}, endAt},
		{"ends with the node", finisher.Request{EndsBy: endAt}, endAt},
		{"not repeatable, may last longer", finisher.Request{EndsBy: endAt.Add(1)}, time.Time{}},
		{
			"target latency", finisher.Request{
				EndsBy: endAt.Add(1), Idempotent: true, TargetLatency: 800 * time.Millisecond,
				TypicalLatency: 300 * time.Millisecond,
			}, endAt.Add(-800 * time.Millisecond),
		},
		{
			"slow leaves", finisher.Request{
				EndsBy: endAt.Add(1), Idempotent: true, TargetLatency: 800 * time.Millisecond, TypicalLatency: time.Second,
			}, endAt.Add(-2 * time.Second),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(finisher.SendUntil(c.request, endAt), c.want)
		})
	}
}
