package gatherer_test

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// Guards against a fault in one call that ends the process with all its requests.
func TestPanicOfCallIsFailureOfThatCall(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		want       gatherer.Outcome
		farCalls   int64
	}{
		{"idempotent", true, gatherer.OutcomeAnswered, 1},
		{"not idempotent", false, gatherer.OutcomeFailed, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, nil)
			panics, connects := 0, 0
			f.pool = balancer.New(balancer.Config{
				Zone: "near", MaxAnswerBytes: 1 << 16, ColdShare: func(string) float64 { return 1 },
				HeaderNames: exchanger.HeaderNames{RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign"},
				Random:      func() float64 { return 0 }, Logger: slog.New(slog.DiscardHandler),
				OnConnect: func() {
					if connects++; connects == 1 {
						panic("fault")
					}
				},
			})
			f.addLeaf(t, "s/near", answerAfter(0))
			f.addLeaf(t, "s/far", answerAfter(0))
			f.gatherer = gatherer.New(gatherer.Config{
				Pool: f.pool, Nodes: func() int { return 1 },
				Budget: func() budgeter.Config { return budgeter.Config{Share: 1, Slack: 4} },
				OnPanic: func(id string, l *balancer.Leaf, _ any) {
					is.Equal(id+" "+l.Entry().ID, "r1 s/near")
					panics++
				},
			})
			r := f.run(t.Context(), singleServiceRoute(c.idempotent))
			is.Equal(r.Outcome, c.want)
			is.Equal(f.calls["s/far"].Load(), c.farCalls)
			is.Equal(panics, 1)
			for _, l := range f.pool.UsableLeaves("s") {
				is.Equal(l.Scorer().OpenCalls(), 0)
			}
		})
	}
}
