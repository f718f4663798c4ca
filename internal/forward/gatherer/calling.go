package gatherer

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// lateShare of the target latency is when the answer of one leaf is late: the rest is needed for the way, a
	// second send and the slowest of many shards.
	lateShare = 0.6
)

// call makes one call on a goroutine of its own and reports its end.
func (n *run) call(i, attempt int, leaf *pooler.Leaf, droppable bool) {
	startedAt := time.Now()
	leaf.Scorer().Begin(startedAt)
	sentAt := time.Time{}
	message := n.request.Message
	if droppable {
		message.SendBy = n.sendBy(leaf, startedAt)
	}
	reply, err := leaf.Exchanger().Do(n.ctx, n.wanted, message, func() { sentAt = time.Now() })
	now := time.Now()
	outcome, took := n.outcome(reply, err), time.Duration(0)
	if !sentAt.IsZero() {
		took = now.Sub(sentAt)
	}
	leaf.Scorer().End(startedAt, now, took, n.typical, outcome)
	if !sentAt.IsZero() && (outcome == scorer.Success || outcome == scorer.Abandoned) {
		late := float64(now.Sub(sentAt)) > lateShare*float64(n.request.Route.TargetLatency)
		leaf.Exchanger().Adapt(sentAt, now, late)
	}
	queued := now.Sub(startedAt) - took
	n.events <- event{shard: i, attempt: attempt, reply: reply, err: err, took: now.Sub(startedAt), queued: queued}
}

func (n *run) outcome(reply *exchanger.Reply, err error) scorer.Outcome {
	switch {
	case err != nil && n.wanted.Err() != nil:
		return scorer.Abandoned
	case errors.Is(err, exchanger.ErrNoTurn):
		return scorer.Unsent
	case err != nil:
		return scorer.Failure
	case reply.NotRun:
		return scorer.Rejection
	case reply.Status >= http.StatusInternalServerError || reply.Signature == "":
		return scorer.Failure
	default:
		return scorer.Success
	}
}

// handle takes note of the end of a call.
func (n *run) handle(e event) {
	s := &n.shards[e.shard]
	s.open--
	n.openCalls--
	n.result.Queued = max(n.result.Queued, e.queued)
	s.tried[e.attempt].open = false
	if s.done {
		return
	}
	if e.err != nil || e.reply.NotRun || !n.good(e.reply) {
		n.result.Failed = append(n.result.Failed, s.tried[e.attempt].leaf.Entry().ID)
	}
	switch {
	case e.err != nil && errors.Is(e.err, exchanger.ErrNotSent):
		s.ran--
		n.notSent(s, e.attempt)
	case e.err != nil:
		n.failed(s, n.request.Route.Idempotent)
	case e.reply.NotRun:
		n.rejected(s, e)
	case n.good(e.reply):
		s.done = true
		n.result.Parts = append(n.result.Parts, e.reply)
		n.gatherer.learnTypical(n.request.Route, e.took)
	default:
		n.result.Failure = e.reply
		n.failed(s, n.request.Route.Idempotent)
	}
}

// good tells whether a leaf's answer is what the caller is to get, or a part of it.
func (n *run) good(r *exchanger.Reply) bool {
	if len(n.request.Route.Shards) > 0 {
		return r.Status/100 == 2 && r.Signature != ""
	}
	return r.Status < http.StatusInternalServerError && (r.Signature != "" || r.Status/100 != 2)
}

// notSent drops a shard whose call came too late to be sent, if the answer can do without it. Otherwise the
// leaf may be tried once more.
func (n *run) notSent(s *shard, attempt int) {
	now := time.Now()
	late := !now.Before(n.sendBy(s.tried[attempt].leaf, now))
	if late && s.open == 0 && n.droppable() {
		s.done, s.dropped = true, true
		return
	}
	if late {
		s.tried[attempt].leaf = nil
	}
	n.failed(s, true)
}

func (n *run) rejected(s *shard, e event) {
	s.ran--
	s.rejected++
	n.result.Rejections++
	if e.reply.Status == http.StatusMisdirectedRequest {
		leaf := s.tried[e.attempt].leaf
		leaf.LeaveOut(time.Now())
		if n.gatherer.config.Misdirected != nil {
			n.gatherer.config.Misdirected(leaf)
		}
	}
	n.failed(s, true)
}

// failed asks for another call of the shard if that is allowed.
func (n *run) failed(s *shard, again bool) {
	if !again {
		s.done = s.open == 0
		return
	}
	s.retry = true
	s.nextLook = time.Now()
}
