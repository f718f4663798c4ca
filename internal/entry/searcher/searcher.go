// Package searcher answers searches. A checked request flows in; the searcher pins one snapshot, sends
// a call for each partition to the owner of a replica and merges what comes back, with hedges and
// retries within the service's budget, until the answer is complete or waiting on would lose more than
// it brings. The decisions are made by packages of their own; this one runs them, each query on one
// goroutine.
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
	"github.com/magnoliastep/magnoliastep/internal/entry/answerer"
	"github.com/magnoliastep/magnoliastep/internal/entry/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/entry/cataloger"
	"github.com/magnoliastep/magnoliastep/internal/entry/estimator"
	"github.com/magnoliastep/magnoliastep/internal/entry/hedger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/recorder"
	"github.com/magnoliastep/magnoliastep/internal/entry/valuer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	catalogRefresh = 200 * time.Millisecond
	shortestMargin = time.Millisecond
	longestMargin  = 20 * time.Millisecond
	marginDivisor  = 20
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Owners tells which node owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// Statuses tells what is known of a leaf.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Router takes calls to the owners of leaves.
	Router interface {
		NextCallID() uint64
		StartBatch(ctx context.Context, owner *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply))
		Cancel(ctx context.Context, owner *pb.Member, ids []uint64)
	}

	// Hedger says how old an open call is when a second one is made.
	Hedger interface {
		Delay(q hedger.Quantiles, share float64) (time.Duration, bool)
	}

	// Config holds what a Searcher needs.
	Config struct {
		Source   ConfigSource
		Owners   Owners
		Statuses Statuses
		Router   Router
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		// Hedger decides when to hedge; nil means by the measured quantile.
		Hedger Hedger
		// Recorder may be nil.
		Recorder *recorder.Recorder
		// Random returns seeds for the choice of replicas; nil means the runtime's source.
		Random func() uint64
	}

	// Searcher answers searches. It is safe for concurrent use.
	Searcher struct {
		config    Config
		cataloger *cataloger.Cataloger
		mutex     sync.Mutex
		// lines has one line for each service that was asked for.
		lines map[string]*line
	}

	// line is what all queries to one service share.
	line struct {
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
			Statuses: c.Statuses, Clock: c.Clock, Refresh: catalogRefresh,
		}),
		lines: map[string]*line{},
	}
}

// Search answers the request. Rejections come back as coded errors; every other outcome is an answer
// with its true coverage.
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
	if err := q.pin(ctx); err != nil {
		return nil, err
	}
	answer := q.run(ctx)
	q.record(answer)
	return answer, nil
}

func (s *Searcher) newQuery(
	index *indexer.Index, class *pb.Class, r *pb.SearchRequest, timeLeft time.Duration,
) *query {
	now := s.config.Clock.Now()
	answerAfter := timeLeft - margin(timeLeft)
	v := valuer.New(class)
	l := s.line(r.GetService())
	service := index.Service(r.GetService())
	share := service.GetExtraCallBudget()
	if share == 0 {
		share = budgeter.DefaultShare
	}
	q := &query{
		searcher: s, line: l, index: index, request: r, service: service, share: share,
		series: s.config.Recorder.Series(r.GetService(), r.GetClass()),
		valuer: v,
		answerer: answerer.New(answerer.Config{
			Valuer: v, Arrivals: l.estimator, AnswerBy: answerAfter,
		}),
		picker:    picker.New(picker.Config{Random: rand.New(rand.NewPCG(s.config.Random(), 1))}), //nolint:gosec // no secret
		mailbox:   newMailbox(),
		class:     class,
		arrivedAt: now,
		answerBy:  now.Add(answerAfter),
		timer:     s.config.Clock.NewTimer(answerAfter),
	}
	q.hedgeDelay, q.hedging = s.config.Hedger.Delay(l.estimator, share)
	q.typical, _ = l.estimator.Quantile(median)
	return q
}

func (s *Searcher) line(service string) *line {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.lines[service]
	if l == nil {
		l = &line{
			budgeter:  budgeter.New(budgeter.Config{Clock: s.config.Clock}),
			estimator: estimator.New(estimator.Config{Clock: s.config.Clock}),
		}
		s.lines[service] = l
	}
	return l
}

// margin is the part of the time left that is kept for the answer's way back.
func margin(timeLeft time.Duration) time.Duration {
	return min(max(timeLeft/marginDivisor, shortestMargin), longestMargin, timeLeft/2)
}

// choosePartitions returns the asked partitions of a layout in ascending order, each once.
func choosePartitions(asked []uint32, count uint32) ([]uint32, error) {
	if len(asked) == 0 {
		all := make([]uint32, 0, count)
		for p := range count {
			all = append(all, p)
		}
		return all, nil
	}
	chosen := slices.Clone(asked)
	slices.Sort(chosen)
	chosen = slices.Compact(chosen)
	if last := chosen[len(chosen)-1]; last >= count {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION, "partition %d is not below %d", last, count)
	}
	return chosen, nil
}
