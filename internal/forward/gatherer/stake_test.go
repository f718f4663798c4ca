package gatherer_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// callRecorder is a pool without a leaf that may get a call. It records the calls for which it is asked.
type callRecorder struct {
	calls []balancer.Call
}

func (c *callRecorder) Pick(
	_ string, call balancer.Call, _ func(*balancer.Leaf) bool, _ time.Time,
) (*balancer.Leaf, time.Duration) {
	c.calls = append(c.calls, call)
	return nil, 0
}

func (*callRecorder) Usable(string) int                         { return 1 }
func (*callRecorder) PausedFor(string, time.Time) time.Duration { return 0 }

// Guards against a call that stays in the zone for the sake of bytes although the answer can't do without it, and
// against one that leaves for a part of which the answer can lack several.
func TestPickLearnsWhatAnswerWouldLose(t *testing.T) {
	for _, c := range []struct {
		name        string
		shards      int
		minCoverage float64
		// minLoss and maxLoss bound the loss of the first call.
		minLoss, maxLoss float64
	}{
		{"single service", 1, 0, 0.9, 0.9},
		{"every part is needed", 36, 1, 0.9, 0.9},
		{"one part may be missing", 36, 0.95, 0.2, 0.4},
		{"two parts may be missing", 54, 0.95, 0.08, 0.12},
		{"many parts may be missing", 36, 0.5, 0.05, 0.06},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			pool := &callRecorder{}
			g := gatherer.New(gatherer.Config{
				Pool: pool, Nodes: func() int { return 1 }, Budget: func() budgeter.Config { return budgeter.Config{} },
			})
			services := make([]string, c.shards)
			r := &matcher.Route{
				Name: "route", MinCoverage: c.minCoverage, TargetLatency: target, Timeout: timeout, Attempts: 1,
			}
			if c.shards > 1 {
				r.Shards = services
			}
			g.Run(t.Context(), gatherer.Request{
				Route: r, Services: services, ArrivedAt: time.Now(), TimeSpent: 20 * ms, Target: target, Timeout: timeout,
				Message: exchanger.Request{Method: http.MethodGet, ID: "r1", Body: make([]byte, 1000)},
			})
			is.Equal(len(pool.calls), c.shards)
			first := pool.calls[0]
			is.True(first.InTime.Loss >= c.minLoss-1e-9 && first.InTime.Loss <= c.maxLoss+1e-9)
			is.True(first.InTime.Left <= target-20*ms) // what the caller has waited before is gone
			is.True(first.InAnyCase.Left <= timeout-20*ms && first.InAnyCase.Left > first.InTime.Left)
			is.True(first.Bytes >= 2000) // the request and the answer
			is.True(!math.IsNaN(first.InTime.Loss))
		})
	}
}
