package gatherer

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// lateShare is the share of the target latency after which the answer of one leaf is late. The rest is needed
	// for transit, a second send and the slowest of many shards.
	lateShare = 0.6
)

// call makes one call and reports its end as an event. It runs on its own goroutine. A droppable call is not sent
// if its answer can't be in time.
func (n *run) call(shardIndex, attemptIndex int, leaf *balancer.Leaf, droppable bool) {
	startedAt := time.Now()
	leaf.Scorer().Begin(startedAt)
	sentAt := time.Time{}
	message := n.request.Message
	if droppable {
		message.SendBy = n.sendDeadline(leaf, startedAt)
	}
	reply, err := leaf.Exchanger().Do(n.callContext, n.sendContext, message, func() { sentAt = time.Now() })
	now := time.Now()
	outcome, took := n.outcome(reply, err), time.Duration(0)
	if !sentAt.IsZero() {
		took = now.Sub(sentAt)
	}
	leaf.Scorer().End(startedAt, now, took, n.typicalLatency, outcome)
	if !sentAt.IsZero() && (outcome == scorer.Success || outcome == scorer.Abandoned) {
		late := float64(now.Sub(sentAt)) > lateShare*float64(n.request.Route.TargetLatency)
		leaf.Exchanger().AdjustConcurrency(sentAt, now, late)
	}
	queued := now.Sub(startedAt) - took
	n.events <- event{
		shard: shardIndex, attempt: attemptIndex, reply: reply, err: err, took: now.Sub(startedAt), queued: queued,
	}
}

// outcome classifies the end of a call for the leaf's scorer.
func (n *run) outcome(reply *exchanger.Reply, err error) scorer.Outcome {
	switch {
	case err != nil && n.sendContext.Err() != nil:
		return scorer.Abandoned
	case errors.Is(err, exchanger.ErrNoConnection):
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

// handle updates the state of the shard after the end of a call.
func (n *run) handle(e event) {
	s := &n.shards[e.shard]
	s.openCalls--
	n.openCalls--
	n.result.ConnectionWait = max(n.result.ConnectionWait, e.queued)
	s.attempts[e.attempt].open = false
	if s.done {
		return
	}
	if e.err != nil || e.reply.NotRun || !n.acceptable(e.reply) {
		n.result.FailedLeaves = append(n.result.FailedLeaves, s.attempts[e.attempt].leaf.Entry().ID)
	}
	switch {
	case e.err != nil && errors.Is(e.err, exchanger.ErrNotSent):
		s.possibleRuns--
		n.handleNotSent(s, e.attempt)
	case e.err != nil:
		n.handleFailure(s, n.request.Route.Idempotent)
	case e.reply.NotRun:
		n.handleRejection(s, e)
	case n.acceptable(e.reply):
		s.done = true
		n.result.Parts = append(n.result.Parts, e.reply)
		n.gatherer.addLatencySample(n.request.Route, e.took)
	default:
		n.result.LeafFailure = e.reply
		n.handleFailure(s, n.request.Route.Idempotent)
	}
}

// acceptable reports whether a leaf's answer can be returned to the caller, or used as a part of the answer.
func (n *run) acceptable(r *exchanger.Reply) bool {
	if len(n.request.Route.Shards) > 0 {
		return r.Status/100 == 2 && r.Signature != ""
	}
	return r.Status < http.StatusInternalServerError && (r.Signature != "" || r.Status/100 != 2)
}

// handleNotSent handles a call that was not sent. If it was too late to send the call, the shard is dropped if the
// answer does not need it; if it does, the same leaf may be called again. Otherwise another leaf is tried.
func (n *run) handleNotSent(s *shard, attemptIndex int) {
	now := time.Now()
	late := !now.Before(n.sendDeadline(s.attempts[attemptIndex].leaf, now))
	if late && s.openCalls == 0 && n.canDropShard() {
		s.done, s.dropped = true, true
		return
	}
	if late {
		s.attempts[attemptIndex].leaf = nil
	}
	n.handleFailure(s, true)
}

// handleRejection handles a call that the leaf rejected without running it.
func (n *run) handleRejection(s *shard, e event) {
	s.possibleRuns--
	s.rejected++
	n.result.Rejections++
	if e.reply.Status == http.StatusMisdirectedRequest {
		leaf := s.attempts[e.attempt].leaf
		leaf.Suspend(time.Now())
		if n.gatherer.config.Misdirected != nil {
			n.gatherer.config.Misdirected(leaf)
		}
	}
	n.handleFailure(s, true)
}

// handleFailure schedules a retry of a failed call if it is retryable.
func (n *run) handleFailure(s *shard, retryable bool) {
	if !retryable {
		s.done = s.openCalls == 0
		return
	}
	s.retryDue = true
	s.nextSendAt = time.Now()
}
