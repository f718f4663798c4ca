// Package searcher runs search requests. For each request it pins one snapshot, sends one call per
// partition to the node that owns a replica, and merges the replies. Late calls are hedged and failed
// calls retried within the service's budget of extra calls. A query ends when the answer is complete or
// when waiting longer would lower its expected worth. Other packages make the individual decisions;
// this package coordinates them, with one goroutine per query.
package searcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/google/uuid"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/entry/cataloger"
	"github.com/magnoliastep/magnoliastep/internal/entry/decider"
	"github.com/magnoliastep/magnoliastep/internal/entry/estimator"
	"github.com/magnoliastep/magnoliastep/internal/entry/evaluator"
	"github.com/magnoliastep/magnoliastep/internal/entry/hedger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	catalogRefreshPeriod = 200 * time.Millisecond
	minReplyMargin       = time.Millisecond
	maxReplyMargin       = 20 * time.Millisecond
	replyMarginDivisor   = 20
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Owners looks up the node that owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// Statuses returns the last known status of a leaf.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Router sends calls to the nodes that own the leaves.
	Router interface {
		NextCallID() uint64
		StartBatch(ctx context.Context, owner *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply))
		Cancel(ctx context.Context, owner *pb.Member, ids []uint64)
	}

	// Hedger returns the age at which an open call is hedged.
	Hedger interface {
		Delay(q hedger.Quantiles, share float64) (time.Duration, bool)
	}

	// Config holds the dependencies of a Searcher.
	Config struct {
		Source   ConfigSource
		Owners   Owners
		Statuses Statuses
		Router   Router
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		// Hedger decides when to hedge; nil selects the quantile-based hedger.Hedger.
		Hedger Hedger
		// Recorder may be nil.
		Recorder *recorder.Recorder
		// Random returns seeds for the choice of replicas; nil selects the runtime's random source.
		Random func() uint64
	}

	// Searcher runs search requests. It is safe for concurrent use.
	Searcher struct {
		config    Config
		cataloger *cataloger.Cataloger
		mutex     sync.Mutex
		// serviceStates is keyed by service name; an entry is created with the first request to a service.
		serviceStates map[string]*serviceState
	}

	// serviceState is shared by all queries to one service.
	serviceState struct {
		budgeter  *budgeter.Budgeter
		estimator *estimator.Estimator
	}
)

// New returns a Searcher.
func New(c Config) *Searcher {
	if c.Hedger == nil {
		c.Hedger = hedger.New(hedger.Config{})
	}
	if c.Recorder == nil {
		c.Recorder = recorder.New(recorder.Config{})
	}
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	return &Searcher{
		config: c,
		cataloger: cataloger.New(cataloger.Config{
			Statuses: c.Statuses, Clock: c.Clock, Refresh: catalogRefreshPeriod,
		}),
		serviceStates: map[string]*serviceState{},
	}
}

// Search answers the request. A rejected request returns a coded error; every other outcome is an answer
// that states which partitions it covers.
func (s *Searcher) Search(ctx context.Context, caller *pb.Caller, r *pb.SearchRequest) (*pb.SearchAnswer, error) {
	index := s.config.Source.Index()
	class, err := index.CheckClass(caller, r.GetService(), r.GetClass(), pb.RequestKind_REQUEST_KIND_IDEMPOTENT)
	if err != nil {
		return nil, err
	}
	if r.GetRequestId() == "" {
		r.RequestId = uuid.Must(uuid.NewV7()).String()
	}
	timeLeft := class.GetLateness().AsDuration()
	if r.GetTimeLeft() != nil {
		timeLeft = min(timeLeft, r.GetTimeLeft().AsDuration())
	}
	if timeLeft <= 0 {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED, "no time left on arrival")
	}
	q := s.newQuery(index, class, r, timeLeft)
	defer q.close()
	if err := q.pinSnapshot(ctx); err != nil {
		return nil, err
	}
	answer := q.run(ctx)
	q.recordMetrics(answer)
	return answer, nil
}

func (s *Searcher) newQuery(
	index *indexer.Index, class *pb.Class, r *pb.SearchRequest, timeLeft time.Duration,
) *query {
	now := s.config.Clock.Now()
	answerWithin := timeLeft - replyMargin(timeLeft)
	v := evaluator.New(class)
	state := s.serviceState(r.GetService())
	service := index.Service(r.GetService())
	extraCallShare := service.GetExtraCallBudget()
	if extraCallShare == 0 {
		extraCallShare = budgeter.DefaultExtraCallShare
	}
	q := &query{
		searcher: s, serviceState: state, index: index, request: r, service: service, extraCallShare: extraCallShare,
		series:    s.config.Recorder.Series(r.GetService(), r.GetClass()),
		evaluator: v,
		decider: decider.New(decider.Config{
			Evaluator: v, Arrivals: state.estimator, AnswerBy: answerWithin,
		}),
		picker:    picker.New(picker.Config{Random: rand.New(rand.NewPCG(s.config.Random(), 1))}), //nolint:gosec // no secret
		mailbox:   newMailbox(),
		class:     class,
		arrivedAt: now,
		answerBy:  now.Add(answerWithin),
		timer:     s.config.Clock.NewTimer(answerWithin),
	}
	q.hedgeDelay, q.hedgingEnabled = s.config.Hedger.Delay(state.estimator, extraCallShare)
	q.medianTime, _ = state.estimator.Quantile(medianQuantile)
	return q
}

func (s *Searcher) serviceState(service string) *serviceState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.serviceStates[service]
	if state == nil {
		state = &serviceState{
			budgeter:  budgeter.New(budgeter.Config{Clock: s.config.Clock}),
			estimator: estimator.New(estimator.Config{Clock: s.config.Clock}),
		}
		s.serviceStates[service] = state
	}
	return state
}

// replyMargin returns the part of timeLeft that is reserved for returning the answer to the caller.
func replyMargin(timeLeft time.Duration) time.Duration {
	return min(max(timeLeft/replyMarginDivisor, minReplyMargin), maxReplyMargin, timeLeft/2)
}

// resolvePartitions returns the asked partitions in ascending order without duplicates, or all count
// partitions when none are named.
func resolvePartitions(asked []uint32, count uint32) ([]uint32, error) {
	if len(asked) == 0 {
		all := make([]uint32, 0, count)
		for p := range count {
			all = append(all, p)
		}
		return all, nil
	}
	resolved := slices.Clone(asked)
	slices.Sort(resolved)
	resolved = slices.Compact(resolved)
	if last := resolved[len(resolved)-1]; last >= count {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION, "partition %d is not below %d", last, count)
	}
	return resolved, nil
}
