package localizer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
)

const ms = time.Millisecond

func newLocalizer(cost, random float64) *localizer.Localizer {
	return localizer.New(localizer.Config{TrafficCost: cost, Random: func() float64 { return random }})
}

// leaves reports whether a call leaves the zone with the given expected latencies in and outside of it.
func leaves(z *localizer.Localizer, c localizer.Call, local, other time.Duration) bool {
	return z.Loss(c, local) > z.Loss(c, other)+z.TrafficCost(c)
}

// Guards against a decision that ignores one of its inputs: the time left, the loss, the bytes and their cost.
func TestCallLeavesForItsStakeAndStaysForItsBytes(t *testing.T) {
	base := localizer.Call{
		InTime:    localizer.Stake{Left: 50 * ms, Loss: 0.06},
		InAnyCase: localizer.Stake{Left: 500 * ms, Loss: 0.1},
		Bytes:     1 << 10,
	}
	urgent, needed, large, late := base, base, base, base
	urgent.InTime.Left = 20 * ms
	needed.InTime.Loss = 0.9
	large.Bytes = 20 << 10
	late.InTime.Left = -10 * ms
	for _, c := range []struct {
		name         string
		call         localizer.Call
		cost         float64
		local, other time.Duration
		leaves       bool
	}{
		{"as fast", base, 3, 5 * ms, 5 * ms, false},
		{"three times slower and in time", base, 3, 15 * ms, 5 * ms, false},
		{"little time left", urgent, 3, 15 * ms, 5 * ms, true},
		{"part that the answer needs", needed, 3, 15 * ms, 5 * ms, true},
		{"large answer", large, 3, 25 * ms, 5 * ms, false},
		{"bytes cost little", base, 0.3, 15 * ms, 5 * ms, true},
		{"bytes cost nothing", base, 0, 6 * ms, 5 * ms, true},
		{"stalled", base, 3, 40 * ms, 5 * ms, true},
		{"stalled, bytes cost much", base, 30, 100 * ms, 5 * ms, true},
		{"late already and slow", late, 3, 100 * ms, 5 * ms, false},
		{"late already and as good as lost", late, 3, 400 * ms, 5 * ms, true},
		{"other zone is slower", base, 0, 5 * ms, 6 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(leaves(newLocalizer(c.cost, 0.5), c.call, c.local, c.other), c.leaves)
		})
	}
}

// Guards against a preference that turns around where both latencies are far from the time left, over random calls: the
// loss rises with the latency, and it is never more than all that is at stake.
func TestLossRisesWithLatencyUpToStake(t *testing.T) {
	is := is.New(t)
	z, random := newLocalizer(1, 0.5), rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		c := localizer.Call{
			InTime:    localizer.Stake{Left: time.Duration(random.Int64N(int64(time.Second))) - 100*ms, Loss: random.Float64()},
			InAnyCase: localizer.Stake{Left: time.Duration(random.Int64N(int64(time.Second))), Loss: random.Float64()},
		}
		a, b := time.Duration(random.Int64N(int64(time.Minute))), time.Duration(random.Int64N(int64(time.Minute)))
		is.True(z.Loss(c, min(a, b)) <= z.Loss(c, max(a, b)))
		is.True(z.Loss(c, max(a, b)) <= c.InTime.Loss+c.InAnyCase.Loss)
	}
}
