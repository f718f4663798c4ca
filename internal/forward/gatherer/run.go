package gatherer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/answerer"
	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// lingerTime is how long a call whose answer is not needed may go on before its connection is closed. A
	// new connection costs the leaf more than the rest of most calls.
	lingerTime = 250 * time.Millisecond
	// hedgeTypical times the usual time of an answer is when a second send is worth its cost.
	hedgeTypical = 2.2
	// hedgeEarliest and hedgeLatest are shares of the target latency between which second sends begin.
	hedgeEarliest = 0.15
	hedgeLatest   = 0.4
	// blockedPause is the time after which a second send that the budget did not allow is tried again.
	blockedPause = 15 * time.Millisecond
	// lateShare of the target latency is when the answer of one leaf is late: the rest is needed for the way, a
	// second send and the slowest of many shards.
	lateShare = 0.6
	// maxSends bounds the sends of one shard, rejected ones included.
	maxSends = 6
)

type (
	// run is one request under way. It is used by one goroutine.
	run struct {
		gatherer *Gatherer
		request  Request
		// ctx bounds the calls; it outlives the request by lingerTime.
		ctx    context.Context //nolint:containedctx // lives exactly as long as the run and its calls
		cancel context.CancelFunc
		// wanted ends with the request: calls that wait for a connection then are not sent any more.
		wanted   context.Context //nolint:containedctx // as ctx
		unwanted context.CancelFunc
		events   chan event
		shards   []shard
		// openCalls is the number of calls whose event has not come.
		openCalls int
		typical   time.Duration
		result    Result
	}

	// shard is the state of one shard of the request.
	shard struct {
		service string
		budget  *budgeter.Budgeter
		done    bool
		// dropped is set when done without a part because it could not be in time.
		dropped bool
		// tried has the leaves that were called, in order.
		tried []attempt
		// ran is how many calls may have run at a leaf.
		ran int
		// rejected is how many calls the leaves turned away.
		rejected int
		// open is how many calls have not ended.
		open int
		// retry is set when a call has failed and another one is due.
		retry bool
		// nextLook is when the shard is looked at again; zero for never.
		nextLook time.Time
	}

	attempt struct {
		leaf *pooler.Leaf
		open bool
	}

	// event is the end of one call.
	event struct {
		shard, attempt int
		reply          *exchanger.Reply
		err            error
		took           time.Duration
	}
)

func newRun(g *Gatherer, r Request) *run {
	ctx, cancel := context.WithCancel(context.Background())
	wanted, unwanted := context.WithCancel(ctx)
	n := &run{
		gatherer: g, request: r, ctx: ctx, cancel: cancel, wanted: wanted, unwanted: unwanted,
		events: make(chan event, len(r.Services)*maxSends), shards: make([]shard, len(r.Services)),
		typical: g.typicalOf(r.Route),
	}
	for i, s := range r.Services {
		n.shards[i] = shard{service: s, budget: g.Budget(s)}
	}
	return n
}

// start makes the first call of each shard.
func (n *run) start() {
	nodes := n.gatherer.config.Nodes()
	for i := range n.shards {
		n.shards[i].budget.Earn(nodes)
		n.send(i)
	}
}

// loop handles what comes until the request is decided.
func (n *run) loop(ctx context.Context) Result {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		n.look(now)
		decision, until := answerer.Decide(n.state(now))
		if decision != answerer.Wait {
			return n.conclude(decision, now)
		}
		timer.Reset(n.untilNext(now, until))
		select {
		case e := <-n.events:
			n.handle(e)
		case <-timer.C:
		case <-ctx.Done():
			n.result.Outcome = OutcomeGone
			return n.result
		}
	}
}

func (n *run) state(now time.Time) answerer.State {
	s := answerer.State{
		Elapsed: n.elapsed(now), Target: n.request.Target, Timeout: n.request.Timeout,
		Shards: len(n.shards), Included: len(n.result.Parts), MinCoverage: n.request.Route.MinCoverage,
	}
	for i := range n.shards {
		if !n.shards[i].done {
			s.Pending++
		}
	}
	return s
}

func (n *run) elapsed(now time.Time) time.Duration {
	return n.request.Spent + now.Sub(n.request.ArrivedAt)
}

// untilNext returns the time to the next look.
func (n *run) untilNext(now time.Time, until time.Duration) time.Duration {
	next := until - n.elapsed(now)
	for i := range n.shards {
		s := &n.shards[i]
		if !s.done && !s.nextLook.IsZero() {
			next = min(next, s.nextLook.Sub(now))
		}
	}
	return max(next, time.Millisecond)
}

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
		n.reportLate(s, now)
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
		if s := &n.shards[i]; s.dropped {
			lost++
		}
	}
	have := float64(len(n.shards) - lost - 1)
	return have > 0 && have >= n.request.Route.MinCoverage*float64(len(n.shards)) &&
		n.elapsed(time.Now()) < n.request.Target
}

// targetAt returns when an answer must leave to be in time.
func (n *run) targetAt() time.Time {
	return n.request.ArrivedAt.Add(n.request.Target - n.request.Spent)
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

// call makes one call on a goroutine of its own and reports its end.
func (n *run) call(i, attempt int, leaf *pooler.Leaf, droppable bool) {
	startedAt := time.Now()
	leaf.Scorer().Begin(startedAt)
	sentAt := time.Time{}
	message := n.request.Message
	if droppable {
		message.SendBy = n.targetAt().Add(-leaf.Scorer().Own(startedAt, n.typical))
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
	n.events <- event{shard: i, attempt: attempt, reply: reply, err: err, took: now.Sub(startedAt)}
}

func (n *run) outcome(reply *exchanger.Reply, err error) scorer.Outcome {
	switch {
	case err != nil && n.wanted.Err() != nil:
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

// handle takes note of the end of a call.
func (n *run) handle(e event) {
	s := &n.shards[e.shard]
	s.open--
	n.openCalls--
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
	late := !time.Now().Before(n.targetAt().Add(-s.tried[attempt].leaf.Scorer().Own(time.Now(), n.typical)))
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

// reportLate tells others of leaves whose open calls are late.
func (n *run) reportLate(s *shard, now time.Time) {
	if n.gatherer.config.Stalled == nil {
		return
	}
	for _, t := range s.tried {
		if !t.open {
			continue
		}
		if since, late := t.leaf.Scorer().Late(now, n.typical); late {
			n.gatherer.config.Stalled(t.leaf, since)
		}
	}
}

func (n *run) conclude(d answerer.Decision, now time.Time) Result {
	for i := range n.shards {
		for _, t := range n.shards[i].tried {
			if t.open && !n.shards[i].done {
				n.result.Waiting = append(n.result.Waiting, t.leaf.Entry().ID)
			}
		}
	}
	switch {
	case d == answerer.Answer:
		n.result.Outcome = OutcomeAnswered
	case !n.mayHaveRun():
		n.result.Outcome = OutcomeNotRun
	case n.elapsed(now) >= n.request.Timeout:
		n.result.Outcome = OutcomeTimeout
	default:
		n.result.Outcome = OutcomeFailed
	}
	return n.result
}

// mayHaveRun tells whether any leaf can have run the request, or still can.
func (n *run) mayHaveRun() bool {
	for i := range n.shards {
		if n.shards[i].ran > 0 {
			return true
		}
	}
	return false
}

// finish ends the calls that are still open, after a while.
func (n *run) finish() {
	n.unwanted()
	if n.openCalls == 0 {
		n.cancel()
		return
	}
	time.AfterFunc(lingerTime, n.cancel)
}
