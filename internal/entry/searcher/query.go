package searcher

import (
	"context"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/answerer"
	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	"github.com/magnoliastep/magnoliastep/internal/entry/merger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	"github.com/magnoliastep/magnoliastep/internal/entry/valuer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	median      = 0.5
	highPart    = 0.9
	pinPause    = 20 * time.Millisecond
	maxRestarts = 2
	tickerTag   = "search"
)

type (
	// query is one search under way. Only the goroutine that runs it touches it, but for the mailbox.
	query struct {
		searcher *Searcher
		line     *line
		index    *indexer.Index
		request  *pb.SearchRequest
		class    *pb.Class
		service  *pb.Service
		series   *recorder.Series
		valuer   *valuer.Valuer
		answerer *answerer.Answerer
		picker   *picker.Picker
		mailbox  *mailbox
		timer    *quartz.Timer
		// share of extra calls to first calls that the service allows.
		share      float64
		arrivedAt  time.Time
		answerBy   time.Time
		hedgeDelay time.Duration
		hedging    bool
		// typical is the median time of the service's calls, zero when not known.
		typical time.Duration
		// layout and merger belong to one snapshot; both are replaced when the query restarts.
		layout *pinner.Layout
		merger *merger.Merger
		// progress has one entry for each asked partition.
		progress []progress
		// due is the earliest time at which a partition is to be attended to.
		due time.Time
		// withdrawn has the snapshots that the query gave up.
		withdrawn []uint64
		// lost is set when no replica of a partition holds the snapshot any more.
		lost    bool
		outbox  []outgoing
		tried   []*gauger.Gauge
		spare   []*pb.LeafReply
		pending []answerer.Pending
	}

	// progress is what is planned for one partition that is still lacking.
	progress struct {
		// attendAt is when the partition is looked at next: for a hedge while a call is open, for a retry
		// otherwise.
		attendAt time.Time
		// costly is set when the last failure may have cost a leaf work.
		costly bool
		// settled is set when no further call will be made.
		settled bool
		pauses  int
	}
)

// pin chooses the snapshot. While no leaf is known to hold any, it waits: an instant empty answer would
// be a refusal.
func (q *query) pin(ctx context.Context) error {
	for {
		q.layout = pinner.Pin(q.searcher.cataloger.Layouts(q.index, q.service.GetName()))
		if q.layout != nil {
			partitions, err := choosePartitions(q.request.GetPartitions(), q.layout.PartitionCount())
			if err != nil {
				return err
			}
			q.begin(partitions)
			return nil
		}
		now := q.searcher.config.Clock.Now()
		if !now.Before(q.answerBy) || ctx.Err() != nil {
			return q.beginWithout()
		}
		q.timer.Reset(min(pinPause, q.answerBy.Sub(now)), tickerTag)
		select {
		case <-q.timer.C:
		case <-ctx.Done():
		}
		q.index = q.searcher.config.Source.Index()
	}
}

// beginWithout prepares the answer of a query for which no snapshot was found.
func (q *query) beginWithout() error {
	count := q.service.GetPartitionCount()
	partitions, err := choosePartitions(q.request.GetPartitions(), count)
	if err != nil {
		return err
	}
	q.layout = pinner.NewLayout(0, count)
	q.begin(partitions)
	for i := range partitions {
		q.merger.Lack(i, pb.ResultCode_RESULT_CODE_NO_SNAPSHOT)
		q.progress[i].settled = true
	}
	return nil
}

func (q *query) begin(partitions []uint32) {
	q.merger = merger.New(merger.Config{
		RequestID: q.request.GetRequestId(), Service: q.service.GetName(), Snapshot: q.layout.Snapshot(),
		Partitions: partitions, Asserter: q.searcher.config.Asserter,
	})
	q.progress = make([]progress, len(partitions))
	q.due = time.Time{}
}

// run makes the first calls and works until the answer is to be given.
func (q *query) run(ctx context.Context) *pb.SearchAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.sendFirst(ctx)
	for {
		now := q.searcher.config.Clock.Now()
		q.receive(ctx, now)
		if q.merger.Complete() || ctx.Err() != nil {
			return q.finish(ctx, now)
		}
		if q.lost {
			q.restartIfBetter(ctx, now)
		}
		if !now.Before(q.due) {
			q.attend(ctx, now)
		}
		wait := q.decide(now)
		if wait <= 0 {
			return q.finish(ctx, now)
		}
		if untilDue := q.due.Sub(now); untilDue > 0 {
			wait = min(wait, untilDue)
		}
		q.timer.Reset(wait, tickerTag)
		select {
		case <-q.mailbox.ready:
		case <-q.timer.C:
		case <-ctx.Done():
		}
	}
}

// receive merges the replies that have come.
func (q *query) receive(ctx context.Context, now time.Time) {
	replies := q.mailbox.take(q.spare)
	for _, r := range replies {
		call, code, verdict := q.merger.Add(r)
		switch verdict {
		case merger.VerdictIgnored:
			q.series.Ignored.Inc()
			if call.Replica != nil {
				call.Replica.End()
			}
		case merger.VerdictMerged:
			q.merged(ctx, call, r, now)
		case merger.VerdictFailed:
			q.failed(call, r, code, now)
		}
	}
	clear(replies)
	q.spare = replies
}

// merged learns from a reply that was included and cancels the partition's other calls.
func (q *query) merged(ctx context.Context, c merger.Call, r *pb.LeafReply, now time.Time) {
	q.series.Replies.Inc()
	c.Replica.End()
	c.Replica.ObserveReply(r, q.layout.Snapshot(), now)
	c.Replica.ObserveTime(now.Sub(c.SentAt), now)
	q.line.estimator.Record(now.Sub(c.SentAt))
	q.line.budgeter.Observe(false)
	if q.merger.OpenCount(c.Position) > 0 && c.Number > 1 {
		q.series.HedgesWon.Inc()
	}
	q.merger.Close(c.Position, func(o merger.Call) {
		q.line.estimator.Record(now.Sub(o.SentAt))
		q.cancelled(o, now)
		q.searcher.config.Router.Cancel(ctx, o.Owner, []uint64{o.ID})
	})
}

// cancelled learns from a call whose reply is no longer wanted.
func (q *query) cancelled(c merger.Call, now time.Time) {
	c.Replica.End()
	c.Replica.ObserveAtLeast(now.Sub(c.SentAt), now)
	q.series.Cancelled.Inc()
}

// decide returns how long to wait on, or zero to answer now.
func (q *query) decide(now time.Time) time.Duration {
	q.pending = q.pending[:0]
	for i := range q.progress {
		if q.merger.Has(i) || (q.progress[i].settled && q.merger.OpenCount(i) == 0) {
			continue
		}
		q.pending = append(q.pending, q.pendingAt(i, now))
	}
	return q.answerer.Decide(answerer.State{
		Elapsed: now.Sub(q.arrivedAt), Included: q.merger.Included(), Asked: len(q.progress), Pending: q.pending,
	})
}

func (q *query) pendingAt(position int, now time.Time) answerer.Pending {
	p := answerer.Pending{}
	q.merger.EachOpen(position, func(c merger.Call) {
		p.Oldest = now.Sub(c.SentAt)
		if p.Calls == 0 {
			p.Newest = p.Oldest
		}
		p.Calls++
	})
	return p
}

// finish cancels what is open and returns the answer.
func (q *query) finish(ctx context.Context, now time.Time) *pb.SearchAnswer {
	reason := pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT
	if now.Before(q.answerBy) {
		reason = pb.ResultCode_RESULT_CODE_ANSWERED_EARLY
	}
	answer := q.merger.Answer(reason)
	q.cancelOpen(context.WithoutCancel(ctx), now)
	return answer
}

// record writes the metrics of the answer.
func (q *query) record(a *pb.SearchAnswer) {
	elapsed := q.searcher.config.Clock.Since(q.arrivedAt)
	coverage := float64(q.merger.Included()) / float64(max(1, len(q.progress)))
	q.series.Answered(a, elapsed, q.valuer.Worth(elapsed, coverage), q.class.GetWorth())
}

func (q *query) close() {
	q.timer.Stop()
}
