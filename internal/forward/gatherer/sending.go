package gatherer

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const (
	// hedgeTypical times the usual time of an answer is when a second send is worth its cost.
	hedgeTypical = 2.2
	// hedgeEarliest and hedgeLatest are shares of the target latency between which second sends begin.
	hedgeEarliest = 0.15
	hedgeLatest   = 0.4
	// blockedPause is the time after which a second send that the budget did not allow is tried again.
	blockedPause = 15 * time.Millisecond
)

// look makes the second sends that are due.
func (n *run) look(now time.Time) {
	for i := range n.shards {
		s := &n.shards[i]
		if s.done || s.nextLook.IsZero() || now.Before(s.nextLook) {
			continue
		}
		if s.retry {
			n.sendAgain(i, now, s.budget.TakeRetry, &n.result.Retries)
			continue
		}
		if n.request.Route.Idempotent {
			n.sendAgain(i, now, s.budget.TakeHedge, &n.result.Hedges)
		} else {
			s.nextLook = time.Time{}
		}
	}
}

// sendAgain makes one more call of a shard if leaves, attempts and budget allow it.
func (n *run) sendAgain(i int, now time.Time, take func() bool, count *int) {
	s := &n.shards[i]
	if s.ran+s.rejected == 0 {
		take = always // nothing has reached the service yet
	}
	if s.ran >= n.request.Route.Attempts || len(s.tried) >= maxSends {
		n.exhaust(s)
		return
	}
	if !take() {
		n.result.Blocked++
		s.nextLook = now.Add(blockedPause)
		return
	}
	if !n.send(i) {
		if s.ran+s.rejected > 0 {
			s.budget.Return()
		}
		if s.open == 0 {
			n.exhaust(s)
			return
		}
		s.nextLook = now.Add(blockedPause)
		return
	}
	*count++
}

func always() bool { return true }

// exhaust ends the second sends of a shard.
func (n *run) exhaust(s *shard) {
	s.nextLook = time.Time{}
	s.retry = false
	s.done = s.done || s.open == 0
}

// send calls the best leaf that the shard has not tried. It returns false when there is none.
func (n *run) send(i int) bool {
	s := &n.shards[i]
	now := time.Now()
	leaf, expected := n.gatherer.config.Pool.Pick(s.service, n.typical, s.hasTried, now)
	if leaf == nil {
		if s.open == 0 {
			n.exhaust(s)
		}
		return false
	}
	s.tried = append(s.tried, attempt{leaf: leaf, open: true})
	s.ran++
	s.open++
	n.openCalls++
	s.retry = false
	s.nextLook = now.Add(n.hedgeDelay(expected))
	go n.call(i, len(s.tried)-1, leaf, n.droppable())
	return true
}

// droppable tells whether the answer can do without one more of the shards that have not answered. A call that
// can't be answered in time then is not sent at all.
func (n *run) droppable() bool {
	lost := 0
	for i := range n.shards {
		if n.shards[i].dropped {
			lost++
		}
	}
	have := float64(len(n.shards) - lost - 1)
	return have > 0 && have >= n.request.Route.MinCoverage*float64(len(n.shards)) &&
		n.elapsed(time.Now()) < n.request.Target
}

// sendBy returns until when a call can be sent to the leaf so that its answer leaves in time.
func (n *run) sendBy(leaf *pooler.Leaf, now time.Time) time.Time {
	targetAt := n.request.ArrivedAt.Add(n.request.Target - n.request.Spent)
	return targetAt.Add(-leaf.Scorer().Own(now, n.typical))
}

// hedgeDelay returns how long the answer of a call may take before another leaf is tried.
func (n *run) hedgeDelay(expected time.Duration) time.Duration {
	target := float64(n.request.Route.TargetLatency)
	wanted := hedgeTypical * float64(max(n.typical, min(expected, 2*n.typical)))
	return time.Duration(min(max(wanted, hedgeEarliest*target), hedgeLatest*target))
}

func (s *shard) hasTried(l *pooler.Leaf) bool {
	for _, t := range s.tried {
		if t.leaf != nil && t.leaf.Entry().ID == l.Entry().ID {
			return true
		}
	}
	return false
}
