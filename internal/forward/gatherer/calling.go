package gatherer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/merger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// lateShare is the share of the target latency after which the answer of one leaf is late. The rest is needed
	// for transit, a second send and the slowest of many shards.
	lateShare = 0.6
	// maxPartBytes is the size up to which a part is kept as it is until the answer is put together.
	maxPartBytes = 4 << 10
)

// call makes one call and reports its end as an event. It runs on its own goroutine. A droppable call is not sent
// if its answer can't be in time.
func (n *run) call(
	startedAt time.Time, shardIndex, attemptIndex int, leaf *balancer.Leaf, state *sendState, droppable, afterExcess bool,
) {
	leaf.Scorer().Begin(startedAt)
	sentAt := time.Time{}
	message := n.request.Message
	message.Priority, message.AfterExcess = n.request.Priority, afterExcess
	if n.request.Use != nil {
		message.Account = n.request.Use
	}
	message.InTimeUntil = n.sendDeadline(leaf, startedAt)
	if droppable {
		message.SendBy = message.InTimeUntil
	}
	reply, err := leaf.Exchanger().Do(n.callContext, n.sendContext, message, func() bool {
		sentAt = time.Now()
		if !n.maySend() || !state.begin() {
			return false
		}
		if n.request.Use != nil {
			n.request.Use.Charge(n.typicalLatency, sentAt)
		}
		return true
	})
	now := time.Now()
	outcome, took := n.outcome(reply, err), time.Duration(0)
	if outcome != scorer.Unsent && !sentAt.IsZero() {
		took = now.Sub(sentAt)
	}
	leaf.Scorer().End(startedAt, now, took, n.typicalLatency, outcome)
	if !sentAt.IsZero() && (outcome == scorer.Success || outcome == scorer.Abandoned) {
		late := float64(now.Sub(sentAt)) > lateShare*float64(n.request.Route.TargetLatency)
		leaf.Exchanger().AdjustConcurrency(sentAt, now, late)
	}
	if n.gatherer.config.OnCall != nil && !sentAt.IsZero() {
		n.gatherer.config.OnCall(Call{
			Route: n.request.Route.Name, Leaf: leaf, Outcome: outcome, Took: took, Typical: n.typicalLatency,
			NoConnection: errors.Is(err, exchanger.ErrNotSent),
		})
	}
	queued := now.Sub(startedAt) - took
	n.report(event{
		shard: shardIndex, attempt: attemptIndex, reply: reply, err: err, took: now.Sub(startedAt), queued: queued,
	})
}

// outcome classifies the end of a call for the leaf's scorer.
func (n *run) outcome(reply *exchanger.Reply, err error) scorer.Outcome {
	switch {
	case errors.Is(err, exchanger.ErrNoConnection), errors.Is(err, exchanger.ErrWithdrawn),
		errors.Is(err, exchanger.ErrNotCallable):
		return scorer.Unsent
	case err != nil && n.sendContext.Err() != nil:
		return scorer.Abandoned
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
	if s.done || s.attempts[e.attempt].withdrawn {
		e.reply.Release()
		return
	}
	s.excess = s.excess || errors.Is(e.err, exchanger.ErrTooLong) || errors.Is(e.err, exchanger.ErrMalformed)
	if e.err != nil || e.reply.NotRun || !n.acceptable(e.reply) {
		n.result.FailedLeaves = append(n.result.FailedLeaves, s.attempts[e.attempt].leaf.Entry().ID+":"+failureReason(e))
	}
	switch {
	case errors.Is(e.err, exchanger.ErrNoConnection), errors.Is(e.err, exchanger.ErrWithdrawn):
		s.possibleRuns--
		n.handleNoTurn(s, e.attempt)
	case errors.Is(e.err, exchanger.ErrNotCallable):
		s.possibleRuns--
		n.handleNotCallable(s, e.attempt)
	case errors.Is(e.err, exchanger.ErrNotSent):
		s.possibleRuns--
		n.handleFailure(s, true)
	case e.err != nil:
		n.handleFailure(s, n.request.Route.Idempotent)
	case e.reply.NotRun && !e.reply.Unidentified:
		e.reply.Release()
		n.handleRejection(s, e)
	case n.acceptable(e.reply):
		s.done, s.answered = true, true
		n.gatherer.addSizeSample(n.request.Route.Name, len(e.reply.Body))
		n.result.Parts = append(n.result.Parts, n.reduce(e.reply))
		n.gatherer.addLatencySample(n.request.Route, e.took)
	default:
		n.keepFailure(e.reply)
		n.handleFailure(s, n.request.Route.Idempotent)
	}
}

// reduce reduces a part to what the answer needs of it, because it may wait long for the other parts: the signature
// and, of a body that is larger than usual, the records that can be in the answer.
func (n *run) reduce(r *exchanger.Reply) *exchanger.Reply {
	if len(n.request.Route.Shards) == 0 {
		return r
	}
	r.Header = nil
	if len(r.Body) <= maxPartBytes {
		return r
	}
	records := merger.New(n.request.Route.TopRecords)
	records.Add(r.Body)
	r.Replace(records.Body())
	return r
}

// keepFailure keeps a failure that the caller may be given, in place of the one before. Failures of single shards are
// not given to callers.
func (n *run) keepFailure(r *exchanger.Reply) {
	if len(n.request.Route.Shards) > 0 || !isFailure(r) {
		r.Release()
		return
	}
	n.result.LeafFailure.Release()
	n.result.LeafFailure = r
}

// failureReason names for the log why a call failed.
func failureReason(e event) string {
	switch {
	case errors.Is(e.err, exchanger.ErrNoConnection):
		return "no_turn"
	case errors.Is(e.err, exchanger.ErrWithdrawn):
		return "withdrawn"
	case errors.Is(e.err, exchanger.ErrNotCallable):
		return "left"
	case errors.Is(e.err, exchanger.ErrNotSent):
		return "not_connected"
	case errors.Is(e.err, errPanicked):
		return "panicked"
	case errors.Is(e.err, exchanger.ErrTooLong):
		return "too_long"
	case errors.Is(e.err, exchanger.ErrMalformed):
		return "malformed"
	case e.err != nil:
		return "no_answer"
	case e.reply.Unidentified:
		return "no_id"
	case e.reply.NotRun:
		return "rejected"
	default:
		return "status_" + strconv.Itoa(e.reply.Status)
	}
}

// acceptable reports whether a leaf's answer can be returned to the caller, or used as a part of the answer.
func (n *run) acceptable(r *exchanger.Reply) bool {
	if r.Status/100 == 2 {
		return r.Signature != "" && !r.Unidentified
	}
	return len(n.request.Route.Shards) == 0 && r.Status < http.StatusInternalServerError && isFailure(r)
}

// isFailure reports whether a leaf's answer is a failure that the caller may be given: it belongs to the request, and
// its status does not tell the caller wrongly that the request has not run.
func isFailure(r *exchanger.Reply) bool {
	return r.Status/100 != 2 && !r.Unidentified && !promisesNotRun(r.Status)
}

// promisesNotRun reports whether a status tells the caller that its request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleNoTurn handles a call that got no connection while its answer could still have been in time. The shard is
// dropped if the answer does not need it. If it does, the same leaf or another one is called even if the answer will be
// late.
func (n *run) handleNoTurn(s *shard, attemptIndex int) {
	s.attempts[attemptIndex].leaf = nil
	switch {
	case s.openCalls > 0:
		s.nextSendAt = time.Now().Add(blockedSendDelay)
	case n.canDropShard():
		s.done = true
	default:
		n.handleFailure(s, true)
	}
}

// handleNotCallable handles a call that was not sent because its leaf may not be called any more. Another leaf is
// called at once, unless a call to one is open already.
func (n *run) handleNotCallable(s *shard, attemptIndex int) {
	s.attempts[attemptIndex].leaf = nil
	if s.openCalls > 0 {
		s.nextSendAt = time.Now().Add(blockedSendDelay)
		return
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
