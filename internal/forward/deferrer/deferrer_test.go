package deferrer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/deferrer"
)

const ms = time.Millisecond

func TestRetryAfterByReasonRankAndTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name              string
		refusal           deferrer.Refusal
		earliest, longest time.Duration
	}{
		{"no capacity", deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: time.Second}, 60 * ms, 120 * ms},
		{
			"no configuration",
			deferrer.Refusal{Reason: deferrer.NoConfiguration, TimeLeft: 2 * time.Second},
			200 * ms, 400 * ms,
		},
		{"node stopping", deferrer.Refusal{Reason: deferrer.NodeStopping, TimeLeft: time.Second}, 10 * ms, 20 * ms},
		{
			"leaves ask for a pause",
			deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: time.Second, CapacityIn: 2 * time.Second},
			2 * time.Second, 2060 * ms,
		},
		{"less urgent", deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: time.Second, Priority: 2}, 90 * ms, 180 * ms},
		{
			"absurd rank",
			deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: time.Second, Priority: 1 << 40},
			120 * ms, 240 * ms,
		},
		{"little time left", deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: 60 * ms}, 10 * ms, 20 * ms},
		{"no time left", deferrer.Refusal{Reason: deferrer.NoCapacity, TimeLeft: -ms}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(deferrer.RetryAfter(c.refusal, 0), c.earliest)
			is.Equal(deferrer.RetryAfter(c.refusal, 1), c.longest)
		})
	}
}

// Guards against a delay that leaves a caller no time for its next attempt, and against callers that all come back at
// the same moment.
func TestRetryAfterLeavesTimeAndSpreadsCallers(t *testing.T) {
	is := is.New(t)
	for left := time.Duration(0); left < 3*time.Second; left += 7 * ms {
		for rank := range 6 {
			r := deferrer.Refusal{Reason: deferrer.NoConfiguration, TimeLeft: left, Priority: rank}
			is.True(deferrer.RetryAfter(r, 1) <= left/3+time.Nanosecond)
			is.True(deferrer.RetryAfter(r, 1) >= 2*deferrer.RetryAfter(r, 0))
		}
	}
}
