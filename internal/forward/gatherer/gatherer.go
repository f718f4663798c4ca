// Package gatherer sends a request to one leaf of each of its shards and collects the parts. A request for a
// single service is handled as a request with one shard. The result has the parts, or the reason why there are
// not enough of them.
//
// For each shard it picks a leaf. If the answer is late or the call has failed, it sends the request to another
// leaf, within the shared budget, and takes the first good answer. Package decider decides when to answer.
package gatherer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// OutcomeAnswered means that there are enough parts for a success or, with one shard, the leaf's answer.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that no leaf has run the request or will run it.
	OutcomeNotRun
	// OutcomeFailed means that the request may have run, and that every permitted attempt has failed.
	OutcomeFailed
	// OutcomeTimeout means that there were too few parts when the timeout expired.
	OutcomeTimeout
	// OutcomeCallerGone means that the caller has disconnected.
	OutcomeCallerGone
)

const (
	// typicalLatencyWeight is the weight of a new sample in the moving average of a route's call latency.
	typicalLatencyWeight = 0.05
	// initialLatencyShare is the share of the target latency that is assumed as a route's typical latency before
	// the first sample.
	initialLatencyShare = 0.15
)

type (
	// Outcome says how a request ended.
	Outcome int

	// Pool picks leaves.
	Pool interface {
		Pick(service string, call balancer.Call, tried func(*balancer.Leaf) bool, now time.Time) (*balancer.Leaf,
			time.Duration)
		Usable(service string) int
		// PausedFor returns after what time a usable leaf of the service may be called if all have asked for a pause, else 0.
		PausedFor(service string, now time.Time) time.Duration
	}

	// Use weighs a client account's use of the leaves.
	Use interface {
		// Use returns how much the account has used of its share lately, at least 0.
		Use(now time.Time) float64
		// Charge adds the time that a leaf works for the account.
		Charge(work time.Duration, now time.Time)
	}

	// Config holds what a Gatherer needs.
	Config struct {
		Pool Pool
		// Budget returns the limits of second sends from the settings.
		Budget func() budgeter.Config
		// Nodes returns the number of live nodes that share the budgets.
		Nodes func() int
		// Misdirected, if not nil, is called with a leaf when another process has answered at its address.
		Misdirected func(leaf *balancer.Leaf)
		// OnCall, if not nil, is called at the end of each call that was sent.
		OnCall func(Call)
		// OnPanic, if not nil, is called when a call has panicked, on its goroutine, with the request's ID and the value of
		// the panic.
		OnPanic func(requestID string, leaf *balancer.Leaf, value any)
	}

	// Call is the end of a call that was sent to a leaf.
	Call struct {
		Route   string
		Leaf    *balancer.Leaf
		Outcome scorer.Outcome
		// Took is the time since the call was sent.
		Took time.Duration
		// Typical is the usual latency of calls of the route.
		Typical time.Duration
		// NoConnection is set if the call failed because there was no connection to the leaf.
		NoConnection bool
	}

	// Request is one request of a caller.
	Request struct {
		Route *matcher.Route
		// Services has the service of each shard, or the single service of a request without shards.
		Services []string
		// Account is the name of the client account, or "" if the configuration has none.
		Account string
		// Priority is the rank of the request: that of its account, or else of its route; 0 is the highest.
		Priority int
		// Use weighs the account's use of the leaves; nil without accounts.
		Use Use
		// Message is the request as it is sent to leaves. Its Deadline applies to every send.
		Message exchanger.Request
		// ArrivedAt is when the request arrived at this node.
		ArrivedAt time.Time
		// TimeSpent is the time that the caller had waited before ArrivedAt, as far as known.
		TimeSpent time.Duration
		// Target is when an answer must be sent to arrive within the target latency, measured from the time the
		// caller sent the request (TimeSpent before ArrivedAt).
		Target time.Duration
		// Timeout is when the request must be answered in any case, measured like Target.
		Timeout time.Duration
		// MaySend, if not nil, reports whether the request may still be sent to leaves. It is asked before each send, also
		// by several goroutines at once. Once it has returned false it does not return true any more.
		MaySend func() bool
	}

	// Result is how a request ended.
	Result struct {
		Outcome Outcome
		// Parts has the answers received, in order of arrival.
		Parts []*exchanger.Reply
		// LeafFailure is the last failure answer of a leaf, or nil.
		LeafFailure *exchanger.Reply
		// Hedges, Retries and Rejections count the hedges and retries sent and the calls that leaves rejected.
		Hedges, Retries, Rejections int
		// WaitingLeaves has the IDs of the leaves that had not answered.
		WaitingLeaves []string
		// BudgetBlocked is the number of times that the budget denied a second send.
		BudgetBlocked int
		// FailedLeaves has, in order, the IDs of the leaves whose calls failed, each with a colon and the reason.
		FailedLeaves []string
		// ConnectionWait is the longest time that a call waited for a connection.
		ConnectionWait time.Duration
		// Withdrawn is the number of calls that got no connection before the request ended.
		Withdrawn int
		// OutOfTime is set when no time was left to send the request.
		OutOfTime bool
		// Stopping is set when the request was refused or ended early because this node stops.
		Stopping bool
		// Forbidden is set when the request could not be sent, or not once more, because MaySend forbade it.
		Forbidden bool
		// ServicesWithoutLeaf has the services without a usable leaf, those included whose leaves all ask for a pause.
		ServicesWithoutLeaf []string
		// RetryIn is after what time leaves may be called that ask for a pause, if a request that has not run lacked them;
		// 0 if that is not known.
		RetryIn time.Duration
	}

	// Gatherer runs requests. It is safe for concurrent use.
	Gatherer struct {
		config Config
		mutex  sync.Mutex
		// budgets has one budget for each service.
		budgets map[string]*budgeter.Budgeter
		// typicalLatency has the moving average of the call latency of each route.
		typicalLatency map[string]time.Duration
		// rechecks is closed and replaced by Recheck.
		rechecks chan struct{}
		// answerBytes has the moving average of the size of a leaf's answer to the requests of each route.
		answerBytes map[string]float64
		// stopping is closed by Stop. endAt is set before, and not changed afterwards.
		stopping chan struct{}
		endAt    time.Time
	}
)

// New returns a Gatherer.
func New(c Config) *Gatherer {
	return &Gatherer{
		config: c, budgets: map[string]*budgeter.Budgeter{}, typicalLatency: map[string]time.Duration{},
		answerBytes: map[string]float64{}, rechecks: make(chan struct{}), stopping: make(chan struct{}),
	}
}

// Stop makes all requests end within a time, with the answer that is possible then. Requests that can't be expected to
// be answered within that time are refused from now on. Stop must be called only once.
func (g *Gatherer) Stop(within time.Duration) {
	g.endAt = time.Now().Add(within)
	close(g.stopping)
}

// Release releases the memory of the answers, whose bodies must not be used afterwards.
func (r Result) Release() {
	for _, p := range r.Parts {
		p.Release()
	}
	r.LeafFailure.Release()
}

// Run runs one request until it is answered, has failed or its caller has disconnected. The result must be released.
func (g *Gatherer) Run(ctx context.Context, r Request) Result {
	if r.TimeSpent+time.Since(r.ArrivedAt) >= r.Timeout {
		return Result{Outcome: OutcomeNotRun, OutOfTime: true}
	}
	if r.MaySend != nil && !r.MaySend() {
		return Result{Outcome: OutcomeNotRun, Forbidden: true}
	}
	noLeaf := g.servicesWithoutLeaf(r)
	if usable := len(r.Services) - len(noLeaf); usable == 0 ||
		float64(usable) < r.Route.MinCoverage*float64(len(r.Services)) {
		return Result{Outcome: OutcomeNotRun, ServicesWithoutLeaf: noLeaf, RetryIn: g.retryIn(r)}
	}
	run := newRun(g, r)
	run.result.ServicesWithoutLeaf = noLeaf
	defer run.finish()
	select {
	case <-g.stopping:
		run.beginStop()
		if !time.Now().Before(run.sendUntil) {
			return Result{Outcome: OutcomeNotRun, Stopping: true}
		}
	default:
	}
	run.start()
	return run.loop(ctx)
}

// servicesWithoutLeaf returns the services of the request that have no usable leaf.
func (g *Gatherer) servicesWithoutLeaf(r Request) []string {
	var noLeaf []string
	now := time.Now()
	for _, s := range r.Services {
		if g.config.Pool.Usable(s) == 0 || g.config.Pool.PausedFor(s, now) > 0 {
			noLeaf = append(noLeaf, s)
		}
	}
	return noLeaf
}

// retryIn returns after what time enough services can be called, as far as only pauses of their leaves prevent that; 0
// if that is not known.
func (g *Gatherer) retryIn(r Request) time.Duration {
	var pauses []time.Duration
	now, callable := time.Now(), 0
	for _, s := range r.Services {
		switch d := g.config.Pool.PausedFor(s, now); {
		case d > 0:
			pauses = append(pauses, d)
		case g.config.Pool.Usable(s) > 0:
			callable++
		}
	}
	slices.Sort(pauses)
	for _, d := range pauses {
		callable++
		if float64(callable) >= max(1, r.Route.MinCoverage*float64(len(r.Services))) {
			return d
		}
	}
	return 0
}

// Budget returns the budget of a service.
func (g *Gatherer) Budget(service string) *budgeter.Budgeter {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = budgeter.New(g.config.Budget)
		g.budgets[service] = b
	}
	return b
}

// typicalLatencyOf returns the typical call latency of a route.
func (g *Gatherer) typicalLatencyOf(r *matcher.Route) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if t := g.typicalLatency[r.Name]; t > 0 {
		return t
	}
	return time.Duration(initialLatencyShare * float64(r.TargetLatency))
}

// addLatencySample adds a call's latency to the route's moving average.
func (g *Gatherer) addLatencySample(r *matcher.Route, took time.Duration) {
	previous := g.typicalLatencyOf(r)
	// Clamps outliers, so that one slow leaf among many does not shift the average.
	took = min(took, 3*previous)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.typicalLatency[r.Name] = previous + time.Duration(typicalLatencyWeight*float64(took-previous))
}
