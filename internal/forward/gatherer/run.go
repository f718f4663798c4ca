package gatherer

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/decider"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

const (
	// abandonedCallTimeout is how long a call whose answer is no longer needed may continue before its connection is
	// closed. A new connection costs the leaf more than completing most calls.
	abandonedCallTimeout = 250 * time.Millisecond
	// maxSendsPerShard limits the sends of one shard, including rejected ones.
	maxSendsPerShard = 6
	// maxAttemptsPerShard limits the calls of one shard, including those that got no connection.
	maxAttemptsPerShard = 4 * maxSendsPerShard
)

type (
	// run is one request in progress. Its state is used by one goroutine; calls report their end through events.
	run struct {
		gatherer *Gatherer
		request  Request
		// callContext bounds the calls. It is cancelled at the latest abandonedCallTimeout after the end of the request.
		callContext context.Context //nolint:containedctx // lives exactly as long as the run and its calls
		cancelCalls context.CancelFunc
		// sendContext ends with the request: calls that still wait for a connection are not sent.
		sendContext context.Context //nolint:containedctx // as callContext
		stopSending context.CancelFunc
		events      chan event
		shards      []shard
		// openCalls is the number of calls whose event has not been handled.
		openCalls int
		// typicalLatency is the typical call latency of the route at the start of the request.
		typicalLatency time.Duration
		// answerBytes is the usual size of a leaf's answer to such requests.
		answerBytes int
		result      Result
		// stopping is closed when this node stops; nil once that has been handled.
		stopping <-chan struct{}
		// recheck is closed when MaySend is to be asked again; nil without MaySend.
		recheck <-chan struct{}
		// sendUntil is until when the request may be sent for the first time if this node stops.
		sendUntil time.Time
		mutex     sync.Mutex
		// ended is set when no event is handled any more; answers are released then.
		ended bool
	}

	// shard is the state of one shard of the request.
	shard struct {
		service string
		budget  *budgeter.Budgeter
		done    bool
		// answered is set when the shard is done with a part.
		answered bool
		// attempts has the calls made, in order.
		attempts []attempt
		// possibleRuns is the number of calls that a leaf may have run.
		possibleRuns int
		// rejected is the number of calls that leaves rejected.
		rejected int
		// openCalls is the number of calls that have not ended.
		openCalls int
		// retryDue is set when a call has failed and is to be retried.
		retryDue bool
		// excess is set when an answer was too long or malformed.
		excess bool
		// nextSendAt is when the next second send of the shard is due; zero for never.
		nextSendAt time.Time
	}

	// attempt is one call to a leaf. leaf is nil if the call was not sent in time, so that the leaf may be called
	// again.
	attempt struct {
		leaf *balancer.Leaf
		open bool
		send *sendState
		// withdrawn is set once the call has been withdrawn and does not count as a possible run any more.
		withdrawn bool
	}

	// event is the end of one call.
	event struct {
		shard, attempt int
		reply          *exchanger.Reply
		err            error
		took           time.Duration
		// queued is the part of took spent waiting for a connection.
		queued time.Duration
	}
)

func newRun(g *Gatherer, r Request) *run {
	callContext, cancelCalls := context.WithCancel(context.Background())
	sendContext, stopSending := context.WithCancel(callContext)
	n := &run{
		gatherer: g, request: r, callContext: callContext, cancelCalls: cancelCalls, sendContext: sendContext,
		stopSending: stopSending, events: make(chan event, len(r.Services)*maxAttemptsPerShard),
		shards: make([]shard, len(r.Services)), typicalLatency: g.typicalLatencyOf(r.Route),
		answerBytes: g.answerBytesOf(r.Route.Name), stopping: g.stopping,
	}
	n.awaitRecheck()
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

// loop handles call results, timers and a disconnect of the caller until the request has ended.
func (n *run) loop(ctx context.Context) Result {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		if n.refuseUnsent(now) || n.refuseForbidden() {
			return n.conclude(decider.GiveUp, now)
		}
		n.sendDue(now)
		decision, decideAt := decider.Decide(n.state(now))
		if decision != decider.Wait {
			return n.conclude(decision, now)
		}
		timer.Reset(n.timeToNextDecision(now, decideAt))
		select {
		case e := <-n.events:
			n.handle(e)
		case <-timer.C:
		case <-n.stopping:
			n.beginStop()
		case <-n.recheck:
			n.awaitRecheck()
		case <-ctx.Done():
			n.result.Outcome = OutcomeCallerGone
			return n.result
		}
	}
}

// state returns the input of the decider's decision.
func (n *run) state(now time.Time) decider.State {
	s := decider.State{
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

// elapsed returns the time since the caller sent the request, as far as known.
func (n *run) elapsed(now time.Time) time.Duration {
	return n.request.TimeSpent + now.Sub(n.request.ArrivedAt)
}

// timeToNextDecision returns the time to the next decision or second send. decideAt is the elapsed time at which to
// decide at the latest.
func (n *run) timeToNextDecision(now time.Time, decideAt time.Duration) time.Duration {
	next := decideAt - n.elapsed(now)
	for i := range n.shards {
		s := &n.shards[i]
		if !s.done && !s.nextSendAt.IsZero() {
			next = min(next, s.nextSendAt.Sub(now))
		}
	}
	if n.stopping == nil && now.Before(n.sendUntil) {
		next = min(next, n.sendUntil.Sub(now))
	}
	return max(next, time.Millisecond)
}

// conclude returns the result for a decision to answer or give up.
func (n *run) conclude(d decider.Decision, now time.Time) Result {
	for i := range n.shards {
		for _, a := range n.shards[i].attempts {
			if a.open && !n.shards[i].done {
				n.result.WaitingLeaves = append(n.result.WaitingLeaves, a.leaf.Entry().ID)
			}
		}
	}
	if d != decider.Answer {
		n.withdrawUnsent()
	}
	switch {
	case d == decider.Answer:
		n.result.Outcome = OutcomeAnswered
	case !n.mayHaveRun():
		n.result.Outcome = OutcomeNotRun
		n.result.RetryIn = n.gatherer.retryIn(n.request)
	case n.elapsed(now) >= n.request.Timeout:
		n.result.Outcome = OutcomeTimeout
	default:
		n.result.Outcome = OutcomeFailed
	}
	return n.result
}

// withdrawUnsent withdraws the calls that still wait for a connection, so that they no longer count as possible runs.
func (n *run) withdrawUnsent() {
	for i := range n.shards {
		s := &n.shards[i]
		for j := range s.attempts {
			a := &s.attempts[j]
			if a.open && a.send.withdraw() {
				a.withdrawn = true
				s.possibleRuns--
				n.result.Withdrawn++
			}
		}
	}
}

// mayHaveRun reports whether any leaf may have run the request or may still run it.
func (n *run) mayHaveRun() bool {
	for i := range n.shards {
		if n.shards[i].possibleRuns > 0 {
			return true
		}
	}
	return false
}

// finish stops further sends, releases the answers that come too late, and cancels the calls that are still open after
// abandonedCallTimeout.
func (n *run) finish() {
	n.stopSending()
	n.mutex.Lock()
	n.ended = true
	n.mutex.Unlock()
	for range len(n.events) {
		(<-n.events).reply.Release()
		n.openCalls--
	}
	if n.openCalls == 0 {
		n.cancelCalls()
		return
	}
	time.AfterFunc(abandonedCallTimeout, n.cancelCalls)
}

// report reports the end of a call to the run, or drops its answer if the run has ended.
func (n *run) report(e event) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ended {
		e.reply.Release()
		return
	}
	n.events <- e
}
