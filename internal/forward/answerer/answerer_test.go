package answerer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/answerer"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := answerer.State{Target: 100 * ms, Timeout: 600 * ms, Shards: 10, MinCoverage: 0.89}
	for _, c := range []struct {
		name              string
		elapsed           time.Duration
		included, pending int
		want              answerer.Decision
		until             time.Duration
	}{
		{"all received", 20 * ms, 10, 0, answerer.Answer, 0},
		{"one failed", 20 * ms, 9, 0, answerer.Answer, 0},
		{"one pending before the target", 20 * ms, 9, 1, answerer.Wait, 100 * ms},
		{"one pending at the target", 100 * ms, 9, 1, answerer.Answer, 0},
		{"two pending at the target", 100 * ms, 8, 2, answerer.Wait, 600 * ms},
		{"two pending at the target, one received after it", 200 * ms, 9, 1, answerer.Answer, 0},
		{"two pending at the timeout", 600 * ms, 8, 2, answerer.GiveUp, 0},
		{"two failed, minimum coverage out of reach", 20 * ms, 5, 3, answerer.GiveUp, 0},
		{"all pending", 0, 0, 10, answerer.Wait, 100 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := base
			s.Elapsed, s.Included, s.Pending = c.elapsed, c.included, c.pending
			got, until := answerer.Decide(s)
			is.Equal(got, c.want)
			is.Equal(until, c.until)
		})
	}
}

func TestDecideWithOneShard(t *testing.T) {
	is := is.New(t)
	s := answerer.State{Target: 100 * ms, Timeout: 600 * ms, Shards: 1, Pending: 1, Elapsed: 300 * ms}
	d, until := answerer.Decide(s)
	is.Equal(d, answerer.Wait) // an answer after the target is still returned
	is.Equal(until, 600*ms)
	s.Pending = 0
	d, _ = answerer.Decide(s)
	is.Equal(d, answerer.GiveUp)
	s.Included = 1
	d, _ = answerer.Decide(s)
	is.Equal(d, answerer.Answer)
}
