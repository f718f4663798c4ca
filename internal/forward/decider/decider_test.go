package decider_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/decider"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := decider.State{Target: 100 * ms, Timeout: 600 * ms, Shards: 10, MinCoverage: 0.89}
	for _, c := range []struct {
		name              string
		elapsed           time.Duration
		included, pending int
		want              decider.Decision
		until             time.Duration
	}{
		{"all received", 20 * ms, 10, 0, decider.Answer, 0},
		{"one failed", 20 * ms, 9, 0, decider.Answer, 0},
		{"one pending before the target", 20 * ms, 9, 1, decider.Wait, 100 * ms},
		{"one pending at the target", 100 * ms, 9, 1, decider.Answer, 0},
		{"two pending at the target", 100 * ms, 8, 2, decider.Wait, 600 * ms},
		{"two pending at the target, one received after it", 200 * ms, 9, 1, decider.Answer, 0},
		{"two pending at the timeout", 600 * ms, 8, 2, decider.GiveUp, 0},
		{"two failed, minimum coverage out of reach", 20 * ms, 5, 3, decider.GiveUp, 0},
		{"all pending", 0, 0, 10, decider.Wait, 100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := base
			s.Elapsed, s.Included, s.Pending = c.elapsed, c.included, c.pending
			got, until := decider.Decide(s)
			is.Equal(got, c.want)
			is.Equal(until, c.until)
		})
	}
}

func TestDecideWithOneShard(t *testing.T) {
	is := is.New(t)
	s := decider.State{Target: 100 * ms, Timeout: 600 * ms, Shards: 1, Pending: 1, Elapsed: 300 * ms}
	d, until := decider.Decide(s)
	is.Equal(d, decider.Wait) // an answer after the target is still returned
	is.Equal(until, 600*ms)
	s.Pending = 0
	d, _ = decider.Decide(s)
	is.Equal(d, decider.GiveUp)
	s.Included = 1
	d, _ = decider.Decide(s)
	is.Equal(d, decider.Answer)
}
