// Package submitter runs non-idempotent requests at most once. A request flows in at any entry node and
// is taken to its home, the node that rendezvous hashing of the request id names; repeats meet there.
// The home sends it to the owner of one leaf, once, and remembers the outcome. A home that cannot know
// whether an id has run answers "outcome unknown" and does not run it.
package submitter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/google/uuid"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// Owners tells which node owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// Statuses tells what is known of a leaf.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Router takes a call to the owner of its leaf.
	Router interface {
		Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error)
	}

	// Config holds what a Submitter needs.
	Config struct {
		NodeName string
		Source   ConfigSource
		View     View
		Owners   Owners
		Statuses Statuses
		Router   Router
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		// KeepFor is how long an outcome is remembered.
		KeepFor time.Duration
	}

	// Submitter runs non-idempotent requests. It is safe for concurrent use.
	Submitter struct {
		config Config
		// startedAt is when this node began to remember outcomes.
		startedAt time.Time
		mutex     sync.Mutex
		// records has one record for each request id that came to this home; a record is made before
		// the request is sent and is not removed before its id is too old to be run.
		records map[string]*record
	}

	record struct {
		fingerprint uint64
		createdAt   time.Time
		// reply is nil while the request runs.
		reply *pb.SubmitReply
	}
)

// New returns a Submitter without records.
func New(c Config) *Submitter {
	return &Submitter{config: c, startedAt: c.Clock.Now(), records: map[string]*record{}}
}

// Submit answers the request of a caller. Rejections come back as coded errors.
func (s *Submitter) Submit(ctx context.Context, caller *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitAnswer, error) {
	call, err := s.check(caller, r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.GetTimeLeft().AsDuration())
	defer cancel()
	home := ranker.First(ranker.Key{Name: r.GetRequestId()}, s.config.View.Members())
	reply, err := s.askHome(ctx, home, call)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		reply = &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, Message: "home node cannot be reached"}
	case err != nil || reply.GetRequestId() != r.GetRequestId():
		reply = &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, Message: "home node did not answer"}
	}
	return &pb.SubmitAnswer{
		Code: reply.GetCode(), Message: reply.GetMessage(), RequestId: r.GetRequestId(), Payload: reply.GetPayload(),
	}, nil
}

// HandleAtHome answers a call that another entry node, or this one, brought to its home.
func (s *Submitter) HandleAtHome(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	known := s.begin(c)
	if known != nil {
		known.RequestId = c.GetRequestId()
		return known
	}
	// The run does not end with the caller's connection: the outcome must be recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.GetTimeLeft().AsDuration())
	defer cancel()
	reply := s.run(ctx, c)
	reply.RequestId = c.GetRequestId()
	s.finish(c, reply)
	return reply
}

func (s *Submitter) check(caller *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitCall, error) {
	kind := pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT
	index := s.config.Source.Index()
	class, err := index.CheckClass(caller, r.GetService(), r.GetClass(), kind)
	if err != nil {
		return nil, err
	}
	if _, err := createdAt(r.GetRequestId()); err != nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "request_id: %v", err)
	}
	if count := index.Service(r.GetService()).GetPartitionCount(); r.GetPartition() >= count {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION,
			"partition %d is not below %d", r.GetPartition(), count)
	}
	timeLeft := class.GetLateness().AsDuration()
	if r.GetTimeLeft() != nil {
		timeLeft = min(timeLeft, r.GetTimeLeft().AsDuration())
	}
	if timeLeft <= 0 {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED, "no time left on arrival")
	}
	return &pb.SubmitCall{
		Service: r.GetService(), Class: r.GetClass(), RequestId: r.GetRequestId(),
		Partition: r.GetPartition(), Payload: r.GetPayload(), TimeLeft: router.TimeLeft(timeLeft),
	}, nil
}

func (s *Submitter) askHome(ctx context.Context, home *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error) {
	if home == nil || home.GetName() == s.config.NodeName {
		return s.HandleAtHome(ctx, c), nil
	}
	return s.config.Router.Submit(ctx, home, c)
}

// begin makes the record of a new id, or returns what is known of the id.
func (s *Submitter) begin(c *pb.SubmitCall) *pb.SubmitReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	fingerprint := fingerprintOf(c)
	known := s.records[c.GetRequestId()]
	switch {
	case known != nil && known.fingerprint != fingerprint:
		return &pb.SubmitReply{
			Code: pb.ResultCode_RESULT_CODE_DUPLICATE_REQUEST_ID, Message: "the id belongs to another request",
		}
	case known != nil && known.reply == nil:
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_IN_PROGRESS, Message: "the request is running"}
	case known != nil:
		return &pb.SubmitReply{
			Code: known.reply.GetCode(), Message: known.reply.GetMessage(), Payload: known.reply.GetPayload(),
		}
	}
	created, err := createdAt(c.GetRequestId())
	if err != nil || created.Before(s.startedAt) || s.config.Clock.Since(created) > s.config.KeepFor {
		return &pb.SubmitReply{
			Code: pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, Message: "the id is older than this node's records",
		}
	}
	s.records[c.GetRequestId()] = &record{fingerprint: fingerprint, createdAt: created}
	return nil
}

func (s *Submitter) finish(c *pb.SubmitCall, reply *pb.SubmitReply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if reply.GetCode() == pb.ResultCode_RESULT_CODE_NOT_RUN {
		delete(s.records, c.GetRequestId()) // it did not run, so a repeat may
		return
	}
	s.records[c.GetRequestId()].reply = reply
}

// expireLocked removes records whose id is too old to be run again.
func (s *Submitter) expireLocked() {
	for id, r := range s.records {
		if r.reply != nil && s.config.Clock.Since(r.createdAt) > 2*s.config.KeepFor {
			delete(s.records, id)
		}
	}
}

// run makes the one send.
func (s *Submitter) run(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	leaf := s.pick(c)
	if leaf == nil {
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, Message: "no leaf of the partition is in service"}
	}
	sent := &pb.SubmitCall{
		Service: c.GetService(), Class: c.GetClass(), RequestId: c.GetRequestId(), Partition: c.GetPartition(),
		Payload: c.GetPayload(), TimeLeft: c.GetTimeLeft(), Leaf: leaf.GetName(),
	}
	reply, err := s.config.Router.Submit(ctx, s.config.Owners.Owner(leaf.GetName()), sent)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, Message: "owner cannot be reached"}
	case err != nil || reply.GetRequestId() != c.GetRequestId():
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, Message: "owner did not answer"}
	}
	return reply
}

// pick returns the first usable leaf of the partition in the order of the configuration.
func (s *Submitter) pick(c *pb.SubmitCall) *pb.Leaf {
	index := s.config.Source.Index()
	for _, l := range index.Service(c.GetService()).GetLeaves() {
		status := s.config.Statuses.Status(l.GetName())
		if status == nil || status.GetDraining() || !status.GetReachable() || !index.ZoneInService(l.GetAvailabilityZone()) {
			continue
		}
		for _, q := range l.GetPartitions() {
			if q == c.GetPartition() {
				return l
			}
		}
	}
	return nil
}

func fingerprintOf(c *pb.SubmitCall) uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.GetService(), c.GetClass(), c.GetPayload()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64() + uint64(c.GetPartition())
}

// createdAt reads the creation time out of a UUIDv7.
func createdAt(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "not a UUID")
	}
	if parsed.Version() != 7 {
		return time.Time{}, errors.Newf("UUID has version %d instead of 7", parsed.Version())
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}
