package searcher

import (
	"context"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/decider"
	"github.com/magnoliastep/magnoliastep/internal/entry/evaluator"
	"github.com/magnoliastep/magnoliastep/internal/entry/merger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	medianQuantile     = 0.5
	restartQuantile    = 0.9
	snapshotPollPeriod = 20 * time.Millisecond
	maxRestarts        = 2
	timerTag           = "search"
)

type (
	// query is the state of one search in progress. Except for the mailbox, only the goroutine that runs
	// the query accesses it.
	query struct {
		searcher     *Searcher
		serviceState *serviceState
		index        *indexer.Index
		request      *pb.SearchRequest
		class        *pb.Class
		service      *pb.Service
		series       *recorder.Series
		evaluator    *evaluator.Evaluator
		decider      *decider.Decider
		picker       *picker.Picker
		mailbox      *mailbox
		timer        *quartz.Timer
		// extraCallShare is the ratio of extra calls to first calls that the service allows.
		extraCallShare float64
		arrivedAt      time.Time
		answerBy       time.Time
		hedgeDelay     time.Duration
		hedgingEnabled bool
		// medianTime is the median time of the service's calls; zero when unknown.
		medianTime time.Duration
		// layout and merger belong to the pinned snapshot; both are replaced when the query restarts.
		layout *pinner.Layout
		merger *merger.Merger
		// partitions has one entry for each asked partition, in ascending order.
		partitions []partitionState
		// nextActionAt is the earliest time at which a partition needs a hedge or a retry.
		nextActionAt time.Time
		// abandonedSnapshots lists the snapshots from which the query has restarted.
		abandonedSnapshots []uint64
		// snapshotLost is set when no replica of some partition holds the pinned snapshot any more.
		snapshotLost  bool
		outbox        []outgoingCall
		triedReplicas []*scorer.ReplicaState
		spareReplies  []*pb.LeafReply
		pending       []decider.Pending
	}

	// partitionState holds the next step for one partition without a merged reply.
	partitionState struct {
		// nextActionAt is when the partition is hedged, if a call is open, or retried, if none is.
		nextActionAt time.Time
		// retryNeedsBudget is set when a leaf may have spent work on the last failed call.
		retryNeedsBudget bool
		// noMoreCalls is set when no further call will be made.
		noMoreCalls   bool
		postponements int
	}
)

// pinSnapshot chooses the snapshot. If no leaf is known to hold one, it polls until the deadline, because
// an immediate empty answer would amount to a refusal.
func (q *query) pinSnapshot(ctx context.Context) error {
	for {
		q.layout = pinner.Pin(q.searcher.cataloger.Layouts(q.index, q.service.GetName()))
		if q.layout != nil {
			partitions, err := resolvePartitions(q.request.GetPartitions(), q.layout.PartitionCount())
			if err != nil {
				return err
			}
			q.reset(partitions)
			return nil
		}
		now := q.searcher.config.Clock.Now()
		if !now.Before(q.answerBy) || ctx.Err() != nil {
			return q.resetWithoutSnapshot()
		}
		q.timer.Reset(min(snapshotPollPeriod, q.answerBy.Sub(now)), timerTag)
		select {
		case <-q.timer.C:
		case <-ctx.Done():
		}
		q.index = q.searcher.config.Source.Index()
	}
}

// resetWithoutSnapshot prepares an answer in which every partition is lacking because no snapshot was found.
func (q *query) resetWithoutSnapshot() error {
	count := q.service.GetPartitionCount()
	partitions, err := resolvePartitions(q.request.GetPartitions(), count)
	if err != nil {
		return err
	}
	q.layout = pinner.NewLayout(0, count)
	q.reset(partitions)
	for i := range partitions {
		q.merger.SetLackingReason(i, pb.ResultCode_RESULT_CODE_NO_SNAPSHOT)
		q.partitions[i].noMoreCalls = true
	}
	return nil
}

// reset prepares the query for the partitions of the pinned layout.
func (q *query) reset(partitions []uint32) {
	q.merger = merger.New(merger.Config{
		RequestID: q.request.GetRequestId(), Service: q.service.GetName(), Snapshot: q.layout.Snapshot(),
		Partitions: partitions, Asserter: q.searcher.config.Asserter,
	})
	q.partitions = make([]partitionState, len(partitions))
	q.nextActionAt = time.Time{}
}

// run makes the first calls, then processes replies, hedges and retries until it is time to answer.
func (q *query) run(ctx context.Context) *pb.SearchAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.sendFirstCalls(ctx)
	for {
		now := q.searcher.config.Clock.Now()
		q.processReplies(ctx, now)
		if q.merger.Complete() || ctx.Err() != nil {
			return q.finish(ctx, now)
		}
		if q.snapshotLost {
			q.restartIfWorthMore(ctx, now)
		}
		if !now.Before(q.nextActionAt) {
			q.hedgeAndRetry(ctx, now)
		}
		wait := q.decideWait(now)
		if wait <= 0 {
			return q.finish(ctx, now)
		}
		if untilAction := q.nextActionAt.Sub(now); untilAction > 0 {
			wait = min(wait, untilAction)
		}
		q.timer.Reset(wait, timerTag)
		select {
		case <-q.mailbox.ready:
		case <-q.timer.C:
		case <-ctx.Done():
		}
	}
}

// processReplies merges the replies in the mailbox.
func (q *query) processReplies(ctx context.Context, now time.Time) {
	replies := q.mailbox.take(q.spareReplies)
	for _, r := range replies {
		call, code, verdict := q.merger.HandleReply(r)
		switch verdict {
		case merger.VerdictIgnored:
			q.series.IgnoredReplies.Inc()
			if call.Replica != nil {
				call.Replica.EndCall()
			}
		case merger.VerdictMerged:
			q.handleMergedReply(ctx, call, r, now)
		case merger.VerdictFailed:
			q.handleFailedCall(call, r, code, now)
		}
	}
	clear(replies)
	q.spareReplies = replies
}

// handleMergedReply updates the estimates from a merged reply and cancels the partition's other calls.
func (q *query) handleMergedReply(ctx context.Context, c merger.Call, r *pb.LeafReply, now time.Time) {
	q.series.LeafReplies.Inc()
	c.Replica.EndCall()
	c.Replica.ObserveReply(r, q.layout.Snapshot(), now)
	c.Replica.ObserveLatency(now.Sub(c.SentAt), now)
	q.serviceState.estimator.Record(now.Sub(c.SentAt))
	q.serviceState.budgeter.ObserveReply(false)
	if q.merger.OpenCount(c.Position) > 0 && c.Attempt > 1 {
		q.series.HedgesWon.Inc()
	}
	q.merger.CloseCalls(c.Position, func(o merger.Call) {
		q.serviceState.estimator.Record(now.Sub(o.SentAt))
		q.recordCancelledCall(o, now)
		q.searcher.config.Router.Cancel(ctx, o.Owner, []uint64{o.ID})
	})
}

// recordCancelledCall updates the estimates for a call that is cancelled; its age is a lower bound of its time.
func (q *query) recordCancelledCall(c merger.Call, now time.Time) {
	c.Replica.EndCall()
	c.Replica.ObserveLatencyAtLeast(now.Sub(c.SentAt), now)
	q.series.CancelledCalls.Inc()
}

// decideWait returns how much longer to wait, or zero to answer now.
func (q *query) decideWait(now time.Time) time.Duration {
	q.pending = q.pending[:0]
	for i := range q.partitions {
		if q.merger.IsMerged(i) || (q.partitions[i].noMoreCalls && q.merger.OpenCount(i) == 0) {
			continue
		}
		q.pending = append(q.pending, q.pendingPartition(i, now))
	}
	return q.decider.Decide(decider.State{
		Elapsed: now.Sub(q.arrivedAt), Included: q.merger.IncludedCount(), Asked: len(q.partitions), Pending: q.pending,
	})
}

func (q *query) pendingPartition(position int, now time.Time) decider.Pending {
	p := decider.Pending{}
	q.merger.EachOpenCall(position, func(c merger.Call) {
		p.OldestAge = now.Sub(c.SentAt)
		if p.OpenCalls == 0 {
			p.NewestAge = p.OldestAge
		}
		p.OpenCalls++
	})
	return p
}

// finish cancels the open calls and returns the answer.
func (q *query) finish(ctx context.Context, now time.Time) *pb.SearchAnswer {
	reason := pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT
	if now.Before(q.answerBy) {
		reason = pb.ResultCode_RESULT_CODE_ANSWERED_EARLY
	}
	answer := q.merger.Answer(reason)
	q.cancelOpen(context.WithoutCancel(ctx), now)
	return answer
}

// recordMetrics records the answer in the metrics.
func (q *query) recordMetrics(a *pb.SearchAnswer) {
	elapsed := q.searcher.config.Clock.Since(q.arrivedAt)
	coverage := float64(q.merger.IncludedCount()) / float64(max(1, len(q.partitions)))
	q.series.RecordAnswer(a, elapsed, q.evaluator.Worth(elapsed, coverage), q.class.GetWorth())
}

func (q *query) close() {
	q.timer.Stop()
}
