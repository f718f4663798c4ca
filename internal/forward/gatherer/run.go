package gatherer

import (
	"context"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/answerer"
	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const (
	// lingerTime is how long a call whose answer is not needed may go on before its connection is closed. A
	// new connection costs the leaf more than the rest of most calls.
	lingerTime = 250 * time.Millisecond
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
		// queued is the part of took that the call waited for a connection.
		queued time.Duration
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
