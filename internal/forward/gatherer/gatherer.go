// Package gatherer sends one request to a leaf of each of its shards and collects the parts. A request that
// goes to a single service is a gathering of one shard. Requests flow in; the parts, or the reason why there
// are not enough of them, flow out.
//
// For each shard it picks a leaf, sends once more when the answer is late or has failed and the shared budget
// allows it, and ends with the better of both. When to answer is the answerer's decision.
package gatherer

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const (
	// OutcomeAnswered has enough parts for a success, or for one shard the leaf's answer.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun was not run by any leaf and will not be.
	OutcomeNotRun
	// OutcomeFailed may have run; every attempt that was allowed has failed.
	OutcomeFailed
	// OutcomeTimeout had not enough parts when its time was over.
	OutcomeTimeout
	// OutcomeGone was left by its caller.
	OutcomeGone
)

const (
	// typicalLearnRate is the weight of a new observation in the usual time of a route's calls.
	typicalLearnRate = 0.05
	// typicalShare of the target latency is assumed until a route's calls have been seen.
	typicalShare = 0.15
)

type (
	// Outcome says how a request ended.
	Outcome int

	// Pool picks leaves.
	Pool interface {
		Pick(service string, typical time.Duration, tried func(*pooler.Leaf) bool, now time.Time) (*pooler.Leaf,
			time.Duration)
		Usable(service string) int
	}

	// Config holds what a Gatherer needs.
	Config struct {
		Pool Pool
		// Budget returns the bound on second sends, from the settings.
		Budget func() budgeter.Config
		// Nodes returns the number of live nodes, which share the budgets.
		Nodes func() int
		// Misdirected is told of a leaf at whose address another process answered; nil means nobody is.
		Misdirected func(leaf *pooler.Leaf)
	}

	// Request is one request of a caller.
	Request struct {
		Route *matcher.Route
		// Services has the service of each shard, or the one service that answers.
		Services []string
		// Message is the request as leaves see it. Its Deadline bounds every send.
		Message exchanger.Request
		// ArrivedAt is when the request had come.
		ArrivedAt time.Time
		// Spent is the time that the caller had waited before ArrivedAt, as far as is known.
		Spent time.Duration
		// Target is when an answer must leave, counted as Spent and the time since ArrivedAt together.
		Target time.Duration
		// Timeout is when the request must be answered in any case, counted as Target is.
		Timeout time.Duration
	}

	// Result is how a request ended.
	Result struct {
		Outcome Outcome
		// Parts has the answers that are there, in the order in which they came.
		Parts []*exchanger.Reply
		// Failure is the last failure that a leaf answered, if there is any.
		Failure *exchanger.Reply
		// Hedges, Retries and Rejections count what happened on the way.
		Hedges, Retries, Rejections int
		// Waiting names the leaves that had not answered.
		Waiting []string
		// Blocked is the number of second sends that the budget did not allow.
		Blocked int
		// Failed names the leaves whose calls failed, in order.
		Failed []string
		// Queued is the longest time that a call waited for a connection.
		Queued time.Duration
		// NoLeaf names the services that had no leaf to call.
		NoLeaf []string
	}

	// Gatherer runs requests. It is safe for concurrent use.
	Gatherer struct {
		config Config
		mutex  sync.Mutex
		// budgets has one budget for each service.
		budgets map[string]*budgeter.Budgeter
		// typical has the usual time of a leaf's answer for each route.
		typical map[string]time.Duration
	}
)

// New returns a Gatherer.
func New(c Config) *Gatherer {
	return &Gatherer{config: c, budgets: map[string]*budgeter.Budgeter{}, typical: map[string]time.Duration{}}
}

// Run runs one request until it is answered or can't be.
func (g *Gatherer) Run(ctx context.Context, r Request) Result {
	empty := g.withoutLeaves(r)
	if usable := len(r.Services) - len(empty); usable == 0 ||
		float64(usable) < r.Route.MinCoverage*float64(len(r.Services)) {
		return Result{Outcome: OutcomeNotRun, NoLeaf: empty}
	}
	run := newRun(g, r)
	run.result.NoLeaf = empty
	defer run.finish()
	run.start()
	return run.loop(ctx)
}

// withoutLeaves returns the services of the request that have no leaf to call.
func (g *Gatherer) withoutLeaves(r Request) []string {
	var empty []string
	for _, s := range r.Services {
		if g.config.Pool.Usable(s) == 0 {
			empty = append(empty, s)
		}
	}
	return empty
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

func (g *Gatherer) typicalOf(r *matcher.Route) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if t := g.typical[r.Name]; t > 0 {
		return t
	}
	return time.Duration(typicalShare * float64(r.TargetLatency))
}

func (g *Gatherer) learnTypical(r *matcher.Route, took time.Duration) {
	before := g.typicalOf(r)
	// One slow leaf among many must not move what is usual.
	took = min(took, 3*before)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.typical[r.Name] = before + time.Duration(typicalLearnRate*float64(took-before))
}
