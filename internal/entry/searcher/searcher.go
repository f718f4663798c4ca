// Package searcher answers searches. A checked request flows in; the searcher pins one snapshot, picks
// a replica for each partition, sends the calls to the owners of the replicas and merges what comes back
// until the answer is complete or its time is over. Coverage states exactly what was merged.
package searcher

import (
	"context"
	"time"

	"github.com/coder/quartz"
	"github.com/google/uuid"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
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

	// Config holds what a Searcher needs.
	Config struct {
		Source   ConfigSource
		Owners   Owners
		Statuses Statuses
		Router   Router
		Clock    quartz.Clock
		Asserter *asserter.Asserter
	}

	// Searcher answers searches. It is safe for concurrent use.
	Searcher struct {
		config Config
	}

	// plan is what one search will do.
	plan struct {
		request  *pb.SearchRequest
		class    *pb.Class
		service  *pb.Service
		index    *indexer.Index
		snapshot uint64
		// partitions are those asked for, in ascending order, each once.
		partitions []uint32
		deadline   time.Time
	}
)

// New returns a Searcher.
func New(c Config) *Searcher {
	return &Searcher{config: c}
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
	p := &plan{
		request:  r,
		class:    class,
		service:  index.Service(r.GetService()),
		index:    index,
		deadline: s.config.Clock.Now().Add(timeLeft),
	}
	if err := s.pin(p); err != nil {
		return nil, err
	}
	return s.run(ctx, p), nil
}

// pin chooses the newest snapshot that the leaves hold completely, or else the one held most, and
// lists the partitions of its layout.
func (s *Searcher) pin(p *plan) error {
	held := map[uint64]map[uint32]bool{}
	counts := map[uint64]uint32{}
	for _, l := range p.service.GetLeaves() {
		for _, h := range s.config.Statuses.Status(l.GetName()).GetSnapshots() {
			if held[h.GetSnapshot()] == nil {
				held[h.GetSnapshot()] = map[uint32]bool{}
			}
			counts[h.GetSnapshot()] = h.GetPartitionCount()
			for _, q := range h.GetPartitions() {
				held[h.GetSnapshot()][q] = true
			}
		}
	}
	var best uint64
	for snapshot, partitions := range held {
		share := float64(len(partitions)) / float64(max(1, counts[snapshot]))
		bestShare := float64(len(held[best])) / float64(max(1, counts[best]))
		if share > bestShare || (share == bestShare && snapshot > best) {
			best = snapshot
		}
	}
	p.snapshot = best
	count := counts[best]
	if best == 0 {
		count = p.service.GetPartitionCount()
	}
	return p.choosePartitions(count)
}

func (p *plan) choosePartitions(count uint32) error {
	if len(p.request.GetPartitions()) == 0 {
		for q := range count {
			p.partitions = append(p.partitions, q)
		}
		return nil
	}
	seen := map[uint32]bool{}
	for _, q := range p.request.GetPartitions() {
		if q >= count {
			return coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION, "partition %d is not below %d", q, count)
		}
		if !seen[q] {
			seen[q] = true
			p.partitions = append(p.partitions, q)
		}
	}
	return nil
}

// run sends the calls and gathers the replies.
func (s *Searcher) run(ctx context.Context, p *plan) *pb.SearchAnswer {
	timeLeft := s.config.Clock.Until(p.deadline)
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	g := newGathering(p)
	replies := make(chan *pb.LeafReply, len(p.partitions))
	batches := s.batches(p, g, timeLeft)
	for owner, b := range batches {
		s.config.Router.StartBatch(ctx, owner, b, func(r *pb.LeafReply) { replies <- r })
	}
	for g.open() > 0 {
		select {
		case r := <-replies:
			g.add(r)
		case <-ctx.Done():
			s.cancel(batches)
			return s.finish(g)
		}
	}
	return s.finish(g)
}

// batches picks a replica for each partition and groups the calls by owner.
func (s *Searcher) batches(p *plan, g *gathering, timeLeft time.Duration) map[*pb.Member]*pb.LeafBatch {
	batches := map[*pb.Member]*pb.LeafBatch{}
	for _, q := range p.partitions {
		leaf := s.pick(p, q)
		if leaf == nil {
			g.lack(q, pb.ResultCode_RESULT_CODE_NO_REPLICA)
			continue
		}
		owner := s.config.Owners.Owner(leaf.GetName())
		if owner == nil {
			g.lack(q, pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE)
			continue
		}
		b := batches[owner]
		if b == nil {
			b = &pb.LeafBatch{
				RequestId: p.request.GetRequestId(),
				Service:   p.request.GetService(),
				Class:     p.request.GetClass(),
				Query:     p.request.GetQuery(),
				Snapshot:  p.snapshot,
				TimeLeft:  router.TimeLeft(timeLeft),
				Worth:     p.class.GetWorth(),
			}
			batches[owner] = b
		}
		id := s.config.Router.NextCallID()
		g.expect(id, q)
		b.Calls = append(b.Calls, &pb.LeafCall{CallId: id, Leaf: leaf.GetName(), Partition: q, Attempt: 1})
	}
	return batches
}

// pick returns the replica that is expected to answer first, or nil.
func (s *Searcher) pick(p *plan, partition uint32) *pb.Leaf {
	var best *pb.Leaf
	var bestExpected time.Duration
	for _, l := range p.service.GetLeaves() {
		status := s.config.Statuses.Status(l.GetName())
		if !usable(p, l, status, partition) {
			continue
		}
		expected := status.GetExpectedWait().AsDuration() + status.GetExpectedLatency().AsDuration()
		if best == nil || expected < bestExpected {
			best, bestExpected = l, expected
		}
	}
	return best
}

func usable(p *plan, l *pb.Leaf, status *pb.LeafStatus, partition uint32) bool {
	if status == nil || status.GetDraining() || !status.GetReachable() {
		return false
	}
	return p.index.ZoneInService(l.GetAvailabilityZone()) && holds(status, p.snapshot, partition)
}

func holds(status *pb.LeafStatus, snapshot uint64, partition uint32) bool {
	for _, h := range status.GetSnapshots() {
		if h.GetSnapshot() != snapshot {
			continue
		}
		for _, q := range h.GetPartitions() {
			if q == partition {
				return true
			}
		}
	}
	return false
}

func (s *Searcher) cancel(batches map[*pb.Member]*pb.LeafBatch) {
	for owner, b := range batches {
		ids := make([]uint64, 0, len(b.GetCalls()))
		for _, c := range b.GetCalls() {
			ids = append(ids, c.GetCallId())
		}
		s.config.Router.Cancel(context.Background(), owner, ids)
	}
}

func (s *Searcher) finish(g *gathering) *pb.SearchAnswer {
	answer := g.answer()
	covered := answer.GetCoverage()
	s.config.Asserter.Check(
		len(covered.GetIncluded())+len(covered.GetLacking()) == int(covered.GetAsked()),
		"coverage_names_every_asked_partition", "request_id", answer.GetRequestId())
	s.config.Asserter.Check(
		len(covered.GetIncluded()) == len(answer.GetParts()),
		"coverage_equals_merged_parts", "request_id", answer.GetRequestId())
	return answer
}
