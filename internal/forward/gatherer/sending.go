package gatherer

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

const (
	// hedgeLatencyFactor is the multiple of the typical latency after which a second send is worth its cost.
	hedgeLatencyFactor = 2.2
	// hedgeMinShare and hedgeMaxShare limit the delay of a hedge, as shares of the target latency.
	hedgeMinShare = 0.15
	hedgeMaxShare = 0.4
	// blockedSendDelay is how long to wait before retrying a second send that lacked budget or an untried leaf.
	blockedSendDelay = 15 * time.Millisecond
)

// sendDue makes the second sends that are due.
func (n *run) sendDue(now time.Time) {
	for i := range n.shards {
		s := &n.shards[i]
		if s.done || s.nextSendAt.IsZero() || now.Before(s.nextSendAt) {
			continue
		}
		if s.retryDue {
			n.sendAgain(i, now, s.budget.TakeRetry, &n.result.Retries)
			continue
		}
		if n.request.Route.Idempotent {
			n.sendAgain(i, now, s.budget.TakeHedge, &n.result.Hedges)
		} else {
			s.nextSendAt = time.Time{}
		}
	}
}

// sendAgain makes a second send of a shard if leaves, attempts and budget allow it. takeToken takes a token from the
// budget, and count is incremented for a call that was made.
func (n *run) sendAgain(shardIndex int, now time.Time, takeToken func() bool, count *int) {
	s := &n.shards[shardIndex]
	if s.possibleRuns+s.rejected == 0 {
		takeToken = alwaysAllowed // no call has reached the service yet, so this is not a second send
	}
	if n.result.Forbidden || n.sendsEnded(now) ||
		s.possibleRuns >= n.request.Route.Attempts || s.sends() >= maxSendsPerShard ||
		len(s.attempts) >= maxAttemptsPerShard {
		n.endSends(s)
		return
	}
	if !takeToken() {
		n.result.BudgetBlocked++
		s.nextSendAt = now.Add(blockedSendDelay)
		return
	}
	if !n.send(shardIndex) {
		if s.possibleRuns+s.rejected > 0 {
			s.budget.Refund()
		}
		if s.openCalls == 0 {
			n.endSends(s)
			return
		}
		s.nextSendAt = now.Add(blockedSendDelay)
		return
	}
	*count++
}

func alwaysAllowed() bool { return true }

// endSends stops the second sends of a shard.
func (n *run) endSends(s *shard) {
	s.nextSendAt = time.Time{}
	s.retryDue = false
	s.done = s.done || s.openCalls == 0
}

// send calls the best leaf that the shard has not tried. It returns false if there is none.
func (n *run) send(shardIndex int) bool {
	s := &n.shards[shardIndex]
	now := time.Now()
	leaf, expected := n.gatherer.config.Pool.Pick(s.service, n.callOf(now), s.hasTried, now)
	if leaf == nil {
		if s.openCalls == 0 {
			n.endSends(s)
		}
		return false
	}
	state := &sendState{}
	s.attempts = append(s.attempts, attempt{leaf: leaf, open: true, send: state})
	s.possibleRuns++
	s.openCalls++
	n.openCalls++
	s.retryDue = false
	s.nextSendAt = now.Add(n.hedgeDelay(expected))
	go n.safeCall(shardIndex, len(s.attempts)-1, leaf, state, n.canDropShard(), s.excess)
	return true
}

// canDropShard reports whether the answer can still reach the minimum coverage if one more shard is dropped. If so, a
// call whose answer can't be in time is not sent at all.
func (n *run) canDropShard() bool {
	remaining := float64(len(n.shards) - n.lostShards() - 1)
	return remaining > 0 && remaining >= n.request.Route.MinCoverage*float64(len(n.shards)) &&
		n.elapsed(time.Now()) < n.request.Target
}

// sendDeadline returns the latest time to send a call to the leaf so that the answer can be returned by the target.
func (n *run) sendDeadline(leaf *balancer.Leaf, now time.Time) time.Time {
	targetAt := n.request.ArrivedAt.Add(n.request.Target - n.request.TimeSpent)
	return targetAt.Add(-leaf.Scorer().ServiceTime(now, n.typicalLatency))
}

// hedgeDelay returns how long to wait for the answer of a call before another leaf is called.
func (n *run) hedgeDelay(expected time.Duration) time.Duration {
	target := float64(n.request.Route.TargetLatency)
	delay := hedgeLatencyFactor * float64(max(n.typicalLatency, min(expected, 2*n.typicalLatency)))
	return time.Duration(min(max(delay, hedgeMinShare*target), hedgeMaxShare*target))
}

// sends returns the number of calls that were sent or are open.
func (s *shard) sends() int {
	sends := 0
	for _, a := range s.attempts {
		if a.leaf != nil {
			sends++
		}
	}
	return sends
}

func (s *shard) hasTried(l *balancer.Leaf) bool {
	for _, a := range s.attempts {
		if a.leaf != nil && a.leaf.Entry().ID == l.Entry().ID {
			return true
		}
	}
	return false
}
