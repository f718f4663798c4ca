package searcher

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/merger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
)

const (
	// maxOpenCalls limits the calls that are open for one partition at the same time.
	maxOpenCalls = 3
	// maxCallsPerPartition limits the calls for one partition once an answer without it has some worth.
	maxCallsPerPartition = 6
	maxPostponements     = 4
	initialRetryDelay    = 20 * time.Millisecond
	maxRetryDelay        = 200 * time.Millisecond
)

type (
	// outgoingCall is a call in the outbox.
	outgoingCall struct {
		owner *pb.Member
		call  *pb.LeafCall
		sent  bool
	}
)

// sendFirstCalls sends the first call for each partition.
func (q *query) sendFirstCalls(ctx context.Context) {
	now := q.searcher.config.Clock.Now()
	for i := range q.partitions {
		if q.partitions[i].noMoreCalls {
			continue
		}
		rs := q.pickReplica(i, nil, "", now)
		if rs == nil {
			q.postponeOrGiveUp(i, pb.ResultCode_RESULT_CODE_NO_REPLICA, now)
			continue
		}
		q.enqueueCall(i, rs, now)
	}
	firstCalls := len(q.outbox)
	q.serviceState.budgeter.Earn(firstCalls, q.extraCallShare)
	if len(q.abandonedSnapshots) == 0 {
		q.series.FirstCalls.Add(firstCalls)
	} else {
		q.series.RestartCalls.Add(firstCalls)
	}
	q.sendBatches(ctx, now)
	q.updateNextAction()
}

// hedgeAndRetry makes the hedges and retries that are due.
func (q *query) hedgeAndRetry(ctx context.Context, now time.Time) {
	q.refreshLayout()
	for i := range q.partitions {
		p := &q.partitions[i]
		if q.merger.IsMerged(i) || p.noMoreCalls || now.Before(p.nextActionAt) {
			continue
		}
		if q.merger.OpenCount(i) > 0 {
			q.hedge(i, now)
		} else {
			q.retry(i, now)
		}
	}
	q.sendBatches(ctx, now)
	q.updateNextAction()
}

// updateNextAction sets nextActionAt to the earliest action of any partition.
func (q *query) updateNextAction() {
	q.nextActionAt = q.answerBy
	for i := range q.partitions {
		p := &q.partitions[i]
		if !q.merger.IsMerged(i) && !p.noMoreCalls && p.nextActionAt.Before(q.nextActionAt) {
			q.nextActionAt = p.nextActionAt
		}
	}
}

// hedge makes one more call for a partition whose open calls are late.
func (q *query) hedge(position int, now time.Time) {
	p := &q.partitions[position]
	p.nextActionAt = q.answerBy
	if !q.hedgingEnabled || q.merger.OpenCount(position) >= maxOpenCalls || now.Add(q.medianTime).After(q.answerBy) {
		return
	}
	avoidZone := ""
	q.merger.EachOpenCall(position, func(c merger.Call) { avoidZone = c.Replica.Leaf().GetAvailabilityZone() })
	rs := q.pickReplica(position, q.replicasTriedFor(position), avoidZone, now)
	if rs == nil {
		return
	}
	if !q.serviceState.budgeter.Take() {
		q.series.DeniedExtraCalls.Inc()
		p.nextActionAt = now.Add(q.hedgeDelay)
		return
	}
	q.series.Hedges.Inc()
	q.enqueueCall(position, rs, now)
}

// handleFailedCall updates the estimates and schedules a retry if the partition has no other call open.
func (q *query) handleFailedCall(c merger.Call, r *pb.LeafReply, code pb.ResultCode, now time.Time) {
	q.series.LeafReplies.Inc()
	c.Replica.EndCall()
	c.Replica.ObserveReply(&pb.LeafReply{
		Code: code, ExpectedWait: r.GetExpectedWait(), ExpectedLatency: r.GetExpectedLatency(),
	}, q.layout.Snapshot(), now)
	q.serviceState.budgeter.ObserveReply(indicatesOverload(code))
	if contradictsCatalog(code) {
		q.searcher.cataloger.Invalidate(q.service.GetName())
	}
	if q.merger.IsMerged(c.Position) || q.merger.OpenCount(c.Position) > 0 {
		return
	}
	p := &q.partitions[c.Position]
	p.retryNeedsBudget = !r.GetNotSent() && mayHaveUsedLeaf(code)
	p.nextActionAt = now
	q.nextActionAt = now
	if code == pb.ResultCode_RESULT_CODE_LEAF_TOO_LARGE {
		p.noMoreCalls = true // another replica's answer has the same size
	}
	if code == pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT && q.pickReplica(c.Position, nil, "", now) == nil {
		q.snapshotLost = true
	}
}

// retry makes a call for a partition without an open call.
func (q *query) retry(position int, now time.Time) {
	p := &q.partitions[position]
	if q.merger.CallCount(position) >= maxCallsPerPartition && !q.answerWorthless(now) {
		p.noMoreCalls = true
		return
	}
	rs := q.pickReplica(position, q.replicasTriedFor(position), "", now)
	if rs == nil && p.postponements > 0 {
		rs = q.pickReplica(position, nil, "", now)
	}
	if rs == nil {
		q.postponeOrGiveUp(position, pb.ResultCode_RESULT_CODE_UNSPECIFIED, now)
		return
	}
	if p.retryNeedsBudget && !q.serviceState.budgeter.Take() {
		q.series.DeniedExtraCalls.Inc()
		q.postpone(position, now)
		return
	}
	if q.merger.CallCount(position) > 0 {
		q.series.Retries.Inc()
	}
	q.enqueueCall(position, rs, now)
}

// postponeOrGiveUp postpones the next call for the partition. After maxPostponements it makes no more
// calls for it, unless an answer given now would be worth nothing.
func (q *query) postponeOrGiveUp(position int, reason pb.ResultCode, now time.Time) {
	p := &q.partitions[position]
	if reason != pb.ResultCode_RESULT_CODE_UNSPECIFIED {
		q.merger.SetLackingReason(position, reason)
	}
	if p.postponements >= maxPostponements && !q.answerWorthless(now) {
		p.noMoreCalls = true
		return
	}
	q.postpone(position, now)
}

// postpone delays the next call for the partition with exponential backoff. There is no limit to the
// postponements for lack of budget; the decider decides how long waiting is worthwhile.
func (q *query) postpone(position int, now time.Time) {
	p := &q.partitions[position]
	p.nextActionAt = now.Add(min(initialRetryDelay<<min(p.postponements, maxPostponements), maxRetryDelay))
	p.postponements++
}

// answerWorthless reports whether an answer given now would be worth nothing.
func (q *query) answerWorthless(now time.Time) bool {
	coverage := float64(q.merger.IncludedCount()) / float64(len(q.partitions))
	return q.evaluator.Worth(now.Sub(q.arrivedAt), coverage) == 0
}

// pickReplica chooses a replica of the partition; it returns nil when none is usable.
func (q *query) pickReplica(
	position int, tried []*scorer.ReplicaState, avoidZone string, now time.Time,
) *scorer.ReplicaState {
	return q.picker.Pick(picker.Request{
		Replicas: q.layout.Replicas(q.merger.Partitions()[position]), Tried: tried, AvoidZone: avoidZone,
		Snapshot: q.layout.Snapshot(), Now: now, DefaultLatency: q.medianTime,
	})
}

// replicasTriedFor returns the replicas already called for the partition; the slice is reused.
func (q *query) replicasTriedFor(position int) []*scorer.ReplicaState {
	q.triedReplicas = q.triedReplicas[:0]
	q.merger.EachCalledReplica(position, func(rs *scorer.ReplicaState) { q.triedReplicas = append(q.triedReplicas, rs) })
	return q.triedReplicas
}

// enqueueCall adds a call to the replica to the outbox.
func (q *query) enqueueCall(position int, rs *scorer.ReplicaState, now time.Time) {
	p := &q.partitions[position]
	owner := q.searcher.config.Owners.Owner(rs.Leaf().GetName())
	if owner == nil {
		q.postponeOrGiveUp(position, pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE, now)
		return
	}
	id := q.searcher.config.Router.NextCallID()
	attempt := q.merger.CallCount(position) + 1
	q.merger.AddCall(merger.Call{ID: id, Position: position, Attempt: attempt, SentAt: now, Replica: rs, Owner: owner})
	rs.BeginCall()
	p.nextActionAt = now.Add(q.hedgeDelay)
	if q.merger.OpenCount(position) > 1 {
		p.nextActionAt = now.Add(q.hedgeDelay * 2 / 3) // two late calls are rarely a coincidence, and little time is left
	}
	if !q.hedgingEnabled {
		p.nextActionAt = q.answerBy
	}
	q.outbox = append(q.outbox, outgoingCall{owner: owner, call: &pb.LeafCall{
		CallId: id, Leaf: rs.Leaf().GetName(), Partition: q.merger.Partitions()[position], Attempt: attempt,
	}})
}

// sendBatches sends the calls in the outbox, one batch per owner.
func (q *query) sendBatches(ctx context.Context, now time.Time) {
	for i := range q.outbox {
		if q.outbox[i].sent {
			continue
		}
		owner := q.outbox[i].owner
		b := q.newBatch(now)
		for j := i; j < len(q.outbox); j++ {
			if o := &q.outbox[j]; o.owner.GetName() == owner.GetName() {
				b.Calls = append(b.Calls, o.call)
				o.sent = true
			}
		}
		q.searcher.config.Router.StartBatch(ctx, owner, b, q.mailbox.put)
	}
	q.outbox = q.outbox[:0]
}

func (q *query) newBatch(now time.Time) *pb.LeafBatch {
	return &pb.LeafBatch{
		RequestId: q.request.GetRequestId(), Service: q.request.GetService(), Class: q.request.GetClass(),
		Query: q.request.GetQuery(), Snapshot: q.layout.Snapshot(), TimeLeft: router.DurationProto(q.answerBy.Sub(now)),
		FullWorthLeft: router.DurationProto(q.evaluator.FullWorthUntil() - now.Sub(q.arrivedAt)),
		Worth:         q.class.GetWorth(),
	}
}

// refreshLayout replaces the pinned layout by its newest version, so that added and removed replicas are seen.
func (q *query) refreshLayout() {
	for _, l := range q.searcher.cataloger.Layouts(q.searcher.config.Source.Index(), q.service.GetName()) {
		if l.Snapshot() == q.layout.Snapshot() && l.PartitionCount() == q.layout.PartitionCount() {
			q.layout = l
			return
		}
	}
}

// restartIfWorthMore restarts the query on another snapshot after replicas dropped the pinned one, if by
// the class's worth a later answer with the other snapshot's coverage is worth more.
func (q *query) restartIfWorthMore(ctx context.Context, now time.Time) {
	q.snapshotLost = false
	if len(q.abandonedSnapshots) >= maxRestarts {
		return
	}
	excluded := append(slices.Clone(q.abandonedSnapshots), q.layout.Snapshot())
	next := pinner.Pin(q.searcher.cataloger.Layouts(q.searcher.config.Source.Index(), q.service.GetName()), excluded...)
	if next == nil {
		return
	}
	partitions, err := resolvePartitions(q.request.GetPartitions(), next.PartitionCount())
	if err != nil || !q.restartWorthMore(next, now) {
		return
	}
	q.series.Restarts.Inc()
	q.cancelOpen(ctx, now)
	q.abandonedSnapshots = excluded
	q.layout = next
	q.reset(partitions)
	q.sendFirstCalls(ctx)
}

// restartWorthMore compares the worth of the partitions still reachable on the pinned snapshot, answered
// now, with that of the next snapshot after the expected time of its calls.
func (q *query) restartWorthMore(next *pinner.Layout, now time.Time) bool {
	reachable := 0
	for i := range q.partitions {
		if q.merger.IsMerged(i) || q.merger.OpenCount(i) > 0 || q.pickReplica(i, nil, "", now) != nil {
			reachable++
		}
	}
	elapsed := now.Sub(q.arrivedAt)
	expectedTime, ok := q.serviceState.estimator.Quantile(restartQuantile)
	if !ok {
		expectedTime = q.medianTime
	}
	if now.Add(expectedTime).After(q.answerBy) {
		return false
	}
	worthNow := q.evaluator.Worth(elapsed, float64(reachable)/float64(len(q.partitions)))
	return q.evaluator.Worth(elapsed+expectedTime, next.Coverage()) > worthNow
}

// cancelOpen cancels all open calls at their owners.
func (q *query) cancelOpen(ctx context.Context, now time.Time) {
	byOwner := map[string][]uint64{}
	owners := map[string]*pb.Member{}
	for i := range q.partitions {
		q.merger.CloseCalls(i, func(c merger.Call) {
			q.serviceState.estimator.RecordUnfinished()
			q.recordCancelledCall(c, now)
			name := c.Owner.GetName()
			byOwner[name] = append(byOwner[name], c.ID)
			owners[name] = c.Owner
		})
	}
	for name, ids := range byOwner {
		q.searcher.config.Router.Cancel(ctx, owners[name], ids)
	}
}

// indicatesOverload reports whether the call was not run for lack of capacity.
func indicatesOverload(code pb.ResultCode) bool {
	return code == pb.ResultCode_RESULT_CODE_LEAF_SHED || code == pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE
}

// contradictsCatalog reports whether the reply shows that the replica catalog is out of date.
func contradictsCatalog(code pb.ResultCode) bool {
	switch code {
	case pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		pb.ResultCode_RESULT_CODE_ZONE_OUT:
		return true
	default:
		return false
	}
}

// mayHaveUsedLeaf reports whether a leaf may have spent work on the failed call. With the codes listed,
// the call never reached a leaf, was refused by the leaf without being read, or ended at the leaf when
// its owner was lost.
func mayHaveUsedLeaf(code pb.ResultCode) bool {
	switch code {
	case pb.ResultCode_RESULT_CODE_NOT_OWNER, pb.ResultCode_RESULT_CODE_ZONE_OUT,
		pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE, pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, pb.ResultCode_RESULT_CODE_CANCELLED:
		return false
	default:
		return true
	}
}
