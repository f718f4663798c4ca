package searcher

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	"github.com/magnoliastep/magnoliastep/internal/entry/merger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
)

const (
	// maxHedgedCalls bounds the calls that are open for one partition at once.
	maxHedgedCalls = 3
	// maxCalls bounds the calls for one partition while other partitions are already included.
	maxCalls     = 6
	maxPauses    = 4
	retryPause   = 20 * time.Millisecond
	longestPause = 200 * time.Millisecond
)

type (
	// outgoing is one call that is not sent yet.
	outgoing struct {
		owner *pb.Member
		call  *pb.LeafCall
		sent  bool
	}
)

// sendFirst makes the first call for each partition.
func (q *query) sendFirst(ctx context.Context) {
	now := q.searcher.config.Clock.Now()
	for i := range q.progress {
		if q.progress[i].settled {
			continue
		}
		g := q.pick(i, nil, "", now)
		if g == nil {
			q.pause(i, pb.ResultCode_RESULT_CODE_NO_REPLICA, now)
			continue
		}
		q.send(i, g, now)
	}
	first := len(q.outbox)
	q.line.budgeter.Earn(first, q.share)
	if len(q.withdrawn) == 0 {
		q.series.FirstCalls.Add(first)
	} else {
		q.series.RestartSent.Add(first)
	}
	q.flush(ctx, now)
	q.schedule()
}

// attend hedges and retries what is due.
func (q *query) attend(ctx context.Context, now time.Time) {
	q.refreshLayout()
	for i := range q.progress {
		p := &q.progress[i]
		if q.merger.Has(i) || p.settled || now.Before(p.attendAt) {
			continue
		}
		if q.merger.OpenCount(i) > 0 {
			q.hedge(i, now)
		} else {
			q.retry(i, now)
		}
	}
	q.flush(ctx, now)
	q.schedule()
}

// schedule computes when the next partition is due.
func (q *query) schedule() {
	q.due = q.answerBy
	for i := range q.progress {
		p := &q.progress[i]
		if !q.merger.Has(i) && !p.settled && p.attendAt.Before(q.due) {
			q.due = p.attendAt
		}
	}
}

// hedge makes one more call for a partition whose calls are late.
func (q *query) hedge(position int, now time.Time) {
	p := &q.progress[position]
	p.attendAt = q.answerBy
	if !q.hedging || q.merger.OpenCount(position) >= maxHedgedCalls || now.Add(q.typical).After(q.answerBy) {
		return
	}
	zone := ""
	q.merger.EachOpen(position, func(c merger.Call) { zone = c.Replica.Leaf().GetAvailabilityZone() })
	g := q.pick(position, q.triedAt(position), zone, now)
	if g == nil {
		return
	}
	if !q.line.budgeter.Take() {
		q.series.Denied.Inc()
		p.attendAt = now.Add(q.hedgeDelay)
		return
	}
	q.series.Hedges.Inc()
	q.send(position, g, now)
}

// failed plans what follows a call that ended without a part.
func (q *query) failed(c merger.Call, r *pb.LeafReply, code pb.ResultCode, now time.Time) {
	q.series.Replies.Inc()
	c.Replica.End()
	c.Replica.ObserveReply(&pb.LeafReply{
		Code: code, ExpectedWait: r.GetExpectedWait(), ExpectedLatency: r.GetExpectedLatency(),
	}, q.layout.Snapshot(), now)
	q.line.budgeter.Observe(turnedAway(code))
	if contradictsCatalog(code) {
		q.searcher.cataloger.Expire(q.service.GetName())
	}
	if q.merger.Has(c.Position) || q.merger.OpenCount(c.Position) > 0 {
		return
	}
	p := &q.progress[c.Position]
	p.costly = !r.GetNotSent() && mayHaveCost(code)
	p.attendAt = now
	q.due = now
	if code == pb.ResultCode_RESULT_CODE_LEAF_TOO_LARGE {
		p.settled = true // another replica's answer has the same size
	}
	if code == pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT && q.pick(c.Position, nil, "", now) == nil {
		q.lost = true
	}
}

// retry makes a call for a partition that has none open.
func (q *query) retry(position int, now time.Time) {
	p := &q.progress[position]
	if q.merger.Made(position) >= maxCalls && !q.worthless(now) {
		p.settled = true
		return
	}
	g := q.pick(position, q.triedAt(position), "", now)
	if g == nil && p.pauses > 0 {
		g = q.pick(position, nil, "", now)
	}
	if g == nil {
		q.pause(position, pb.ResultCode_RESULT_CODE_UNSPECIFIED, now)
		return
	}
	if p.costly && !q.line.budgeter.Take() {
		q.series.Denied.Inc()
		q.postpone(position, now)
		return
	}
	if q.merger.Made(position) > 0 {
		q.series.Retries.Inc()
	}
	q.send(position, g, now)
}

// pause postpones the partition. It is settled after several pauses unless an answer without it is worth
// nothing.
func (q *query) pause(position int, reason pb.ResultCode, now time.Time) {
	p := &q.progress[position]
	if reason != pb.ResultCode_RESULT_CODE_UNSPECIFIED {
		q.merger.Lack(position, reason)
	}
	if p.pauses >= maxPauses && !q.worthless(now) {
		p.settled = true
		return
	}
	q.postpone(position, now)
}

// postpone sets when the partition is looked at next, later each time. For want of budget a partition
// is postponed again and again; the answerer decides how long that is worth while.
func (q *query) postpone(position int, now time.Time) {
	p := &q.progress[position]
	p.attendAt = now.Add(min(retryPause<<min(p.pauses, maxPauses), longestPause))
	p.pauses++
}

// worthless tells whether an answer given now would be worth nothing.
func (q *query) worthless(now time.Time) bool {
	coverage := float64(q.merger.Included()) / float64(len(q.progress))
	return q.valuer.Worth(now.Sub(q.arrivedAt), coverage) == 0
}

// pick chooses a replica of the partition, or nil.
func (q *query) pick(position int, tried []*gauger.Gauge, zone string, now time.Time) *gauger.Gauge {
	return q.picker.Pick(picker.Request{
		Replicas: q.layout.Replicas(q.merger.Partitions()[position]), Tried: tried, Zone: zone,
		Snapshot: q.layout.Snapshot(), Now: now, Typical: q.typical,
	})
}

func (q *query) triedAt(position int) []*gauger.Gauge {
	q.tried = q.tried[:0]
	q.merger.EachMade(position, func(g *gauger.Gauge) { q.tried = append(q.tried, g) })
	return q.tried
}

// send puts a call to the replica into the outbox.
func (q *query) send(position int, g *gauger.Gauge, now time.Time) {
	p := &q.progress[position]
	owner := q.searcher.config.Owners.Owner(g.Leaf().GetName())
	if owner == nil {
		q.pause(position, pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE, now)
		return
	}
	id := q.searcher.config.Router.NextCallID()
	number := q.merger.Made(position) + 1
	q.merger.Expect(merger.Call{ID: id, Position: position, Number: number, SentAt: now, Replica: g, Owner: owner})
	g.Begin()
	p.attendAt = now.Add(q.hedgeDelay)
	if q.merger.OpenCount(position) > 1 {
		p.attendAt = now.Add(q.hedgeDelay * 2 / 3) // two late calls in a row are rare, and time runs out
	}
	if !q.hedging {
		p.attendAt = q.answerBy
	}
	q.outbox = append(q.outbox, outgoing{owner: owner, call: &pb.LeafCall{
		CallId: id, Leaf: g.Leaf().GetName(), Partition: q.merger.Partitions()[position], Attempt: number,
	}})
}

// flush sends the outbox, one batch for each owner.
func (q *query) flush(ctx context.Context, now time.Time) {
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
		Query: q.request.GetQuery(), Snapshot: q.layout.Snapshot(), TimeLeft: router.TimeLeft(q.answerBy.Sub(now)),
		FullWorthLeft: router.TimeLeft(q.valuer.FullWorthUntil() - now.Sub(q.arrivedAt)),
		Worth:         q.class.GetWorth(),
	}
}

// refreshLayout takes the newest index of the pinned layout, for replicas that came or went.
func (q *query) refreshLayout() {
	for _, l := range q.searcher.cataloger.Layouts(q.searcher.config.Source.Index(), q.service.GetName()) {
		if l.Snapshot() == q.layout.Snapshot() && l.PartitionCount() == q.layout.PartitionCount() {
			q.layout = l
			return
		}
	}
}

// restartIfBetter begins the query again on another snapshot when the pinned one is no longer held and
// the class's worth says that a later answer with the other's coverage is worth more.
func (q *query) restartIfBetter(ctx context.Context, now time.Time) {
	q.lost = false
	if len(q.withdrawn) >= maxRestarts {
		return
	}
	excluded := append(slices.Clone(q.withdrawn), q.layout.Snapshot())
	next := pinner.Pin(q.searcher.cataloger.Layouts(q.searcher.config.Source.Index(), q.service.GetName()), excluded...)
	if next == nil {
		return
	}
	partitions, err := choosePartitions(q.request.GetPartitions(), next.PartitionCount())
	if err != nil || !q.worthRestart(next, now) {
		return
	}
	q.series.Restarts.Inc()
	q.cancelOpen(ctx, now)
	q.withdrawn = excluded
	q.layout = next
	q.begin(partitions)
	q.sendFirst(ctx)
}

func (q *query) worthRestart(next *pinner.Layout, now time.Time) bool {
	reachable := 0
	for i := range q.progress {
		if q.merger.Has(i) || q.merger.OpenCount(i) > 0 || q.pick(i, nil, "", now) != nil {
			reachable++
		}
	}
	elapsed := now.Sub(q.arrivedAt)
	further, ok := q.line.estimator.Quantile(highPart)
	if !ok {
		further = q.typical
	}
	if now.Add(further).After(q.answerBy) {
		return false
	}
	stay := q.valuer.Worth(elapsed, float64(reachable)/float64(len(q.progress)))
	return q.valuer.Worth(elapsed+further, next.Coverage()) > stay
}

// cancelOpen tells the owners that no reply is wanted any more.
func (q *query) cancelOpen(ctx context.Context, now time.Time) {
	byOwner := map[string][]uint64{}
	owners := map[string]*pb.Member{}
	for i := range q.progress {
		q.merger.Close(i, func(c merger.Call) {
			q.line.estimator.RecordLost()
			q.cancelled(c, now)
			name := c.Owner.GetName()
			byOwner[name] = append(byOwner[name], c.ID)
			owners[name] = c.Owner
		})
	}
	for name, ids := range byOwner {
		q.searcher.config.Router.Cancel(ctx, owners[name], ids)
	}
}

// turnedAway tells whether the work was not done for want of capacity.
func turnedAway(code pb.ResultCode) bool {
	return code == pb.ResultCode_RESULT_CODE_LEAF_SHED || code == pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE
}

// contradictsCatalog tells whether the reply shows that the index of replicas is out of date.
func contradictsCatalog(code pb.ResultCode) bool {
	switch code {
	case pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		pb.ResultCode_RESULT_CODE_ZONE_OUT:
		return true
	default:
		return false
	}
}

// mayHaveCost tells whether a leaf may have worked for the failed call. The others never reached a leaf,
// were refused by it unread, or ended at the leaf together with the owner that was lost.
func mayHaveCost(code pb.ResultCode) bool {
	switch code {
	case pb.ResultCode_RESULT_CODE_NOT_OWNER, pb.ResultCode_RESULT_CODE_ZONE_OUT,
		pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE, pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT, pb.ResultCode_RESULT_CODE_CANCELLED:
		return false
	default:
		return true
	}
}
