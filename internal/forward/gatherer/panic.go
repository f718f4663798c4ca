package gatherer

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/invariant/isolator"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

// errPanicked is the error of a call that has panicked. The leaf may have run the request.
var errPanicked = errors.New("call panicked")

// safeCall makes one call and reports its end as an event also if it panics.
func (n *run) safeCall(
	shardIndex, attemptIndex int, leaf *balancer.Leaf, state *sendState, droppable, afterExcess bool,
) {
	startedAt := time.Now()
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		isolator.RepanicViolation(p)
		if n.gatherer.config.OnPanic != nil {
			n.gatherer.config.OnPanic(n.request.Message.ID, leaf, p)
		}
		now := time.Now()
		leaf.Scorer().End(startedAt, now, 0, n.typicalLatency, scorer.Failure)
		n.report(event{shard: shardIndex, attempt: attemptIndex, err: errPanicked, took: now.Sub(startedAt)})
	}()
	n.call(startedAt, shardIndex, attemptIndex, leaf, state, droppable, afterExcess)
}
