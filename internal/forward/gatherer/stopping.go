package gatherer

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/finisher"
)

// beginStop makes the request end when this node ends all requests.
func (n *run) beginStop() {
	n.stopping = nil
	endAt := n.gatherer.endAt
	n.sendUntil = finisher.SendUntil(finisher.Request{
		EndsBy:        n.request.ArrivedAt.Add(n.request.Timeout - n.request.TimeSpent),
		TargetLatency: n.request.Route.TargetLatency, TypicalLatency: n.typicalLatency,
		Idempotent: n.request.Route.Idempotent,
	}, endAt)
	if end := n.elapsed(endAt); end < n.request.Timeout {
		n.request.Timeout = end
		n.result.Stopping = true
	}
}

// refuseUnsent withdraws a request that this node may not send any more, and reports whether no leaf will run it.
// Requests over several shards are sent to most of them at once, so they are left to their timeout.
func (n *run) refuseUnsent(now time.Time) bool {
	if n.stopping != nil || now.Before(n.sendUntil) || len(n.shards) > 1 || n.anySent() {
		return false
	}
	n.withdrawUnsent()
	return !n.mayHaveRun()
}

// anySent reports whether a call that a leaf may run has been sent.
func (n *run) anySent() bool {
	for i := range n.shards {
		unsent := 0
		for _, a := range n.shards[i].attempts {
			if a.open && a.send.pending() {
				unsent++
			}
		}
		if n.shards[i].possibleRuns > unsent {
			return true
		}
	}
	return false
}

// sendsEnded reports whether this node stops and the request must not be sent any more. A request that may be repeated
// is sent again as long as it has not ended.
func (n *run) sendsEnded(now time.Time) bool {
	return n.stopping == nil && !n.request.Route.Idempotent && !now.Before(n.sendUntil)
}
