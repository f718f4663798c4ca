// Package submitter runs non-idempotent requests at most once. A request flows in at any entry node,
// which claims its id from the id's witnesses, sends it to the owner of one leaf and tells the witnesses
// the outcome. Repeats through any entry meet at the same witnesses and get the outcome that is known.
// "Not run" is answered only when no attempt can have reached a leaf or the leaf said so; what nobody
// can know is answered as "outcome unknown" and does not run.
package submitter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/booking/claimer"
	"github.com/magnoliastep/magnoliastep/internal/booking/identifier"
	"github.com/magnoliastep/magnoliastep/internal/booking/recorder"
	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/cataloger"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	catalogRefresh = 200 * time.Millisecond
	shortestPause  = 10 * time.Millisecond
	longestPause   = 50 * time.Millisecond
	marginDivisor  = 20
	longestMargin  = 50 * time.Millisecond
	settleTimeout  = 2 * time.Second
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

	// Router takes a call to the owner of its leaf.
	Router interface {
		Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error)
	}

	// Claimer claims request ids.
	Claimer interface {
		Claim(ctx context.Context, c *pb.SubmitClaim) claimer.Result
		Settle(ctx context.Context, s *pb.SubmitSettle)
	}

	// Config holds what a Submitter needs.
	Config struct {
		Source   ConfigSource
		Owners   Owners
		Statuses Statuses
		Router   Router
		Claimer  Claimer
		Clock    quartz.Clock
		// Recorder may be nil.
		Recorder *recorder.Recorder
		// ClockAllowance is the largest difference between the clocks of callers and nodes.
		ClockAllowance time.Duration
		// NewToken returns a name for an attempt that no other attempt on any node has.
		NewToken func() string
	}

	// Submitter runs non-idempotent requests. It is safe for concurrent use.
	Submitter struct {
		config    Config
		cataloger *cataloger.Cataloger
	}
)

// New returns a Submitter.
func New(c Config) *Submitter {
	if c.Recorder == nil {
		c.Recorder = recorder.New(recorder.Config{})
	}
	return &Submitter{config: c, cataloger: cataloger.New(cataloger.Config{
		Statuses: c.Statuses, Clock: c.Clock, Refresh: catalogRefresh,
	})}
}

// Submit answers the request of a caller. Rejections come back as coded errors.
func (s *Submitter) Submit(ctx context.Context, caller *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitAnswer, error) {
	startedAt := s.config.Clock.Now()
	timeLeft, err := s.check(caller, r)
	if err != nil {
		return nil, err
	}
	// The attempt does not end with the caller's connection: its outcome must reach the witnesses.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft)
	defer cancel()
	reply := s.attempt(ctx, r, startedAt.Add(timeLeft))
	s.config.Recorder.Answered(r.GetService(), r.GetClass(), reply.GetCode(), s.config.Clock.Since(startedAt))
	return &pb.SubmitAnswer{
		Code: reply.GetCode(), Message: reply.GetMessage(), RequestId: r.GetRequestId(), Payload: reply.GetPayload(),
	}, nil
}

// check returns the time for the attempt.
func (s *Submitter) check(caller *pb.Caller, r *pb.SubmitRequest) (time.Duration, error) {
	kind := pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT
	index := s.config.Source.Index()
	class, err := index.CheckClass(caller, r.GetService(), r.GetClass(), kind)
	if err != nil {
		return 0, err
	}
	created, err := identifier.CreatedAt(r.GetRequestId())
	if err != nil {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "request_id: %v", err)
	}
	if ahead := created.Sub(s.config.Clock.Now()); ahead > s.config.ClockAllowance {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_MALFORMED, "request_id: created %v in the future", ahead)
	}
	count := index.Service(r.GetService()).GetPartitionCount()
	if l := s.layout(r.GetService()); l != nil {
		count = l.PartitionCount()
	}
	if r.GetPartition() >= count {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_PARTITION,
			"partition %d is not below %d", r.GetPartition(), count)
	}
	timeLeft := class.GetLateness().AsDuration()
	if r.GetTimeLeft() != nil {
		timeLeft = min(timeLeft, r.GetTimeLeft().AsDuration())
	}
	if timeLeft <= 0 {
		return 0, coder.New(pb.ResultCode_RESULT_CODE_DEADLINE_EXPIRED, "no time left on arrival")
	}
	return timeLeft - min(timeLeft/marginDivisor, longestMargin), nil
}

// attempt claims the id until it wins, learns the outcome or runs out of time. A claim that met another
// one is withdrawn for good before the next, so that neither stands in the other's way; its token is
// never used again.
func (s *Submitter) attempt(ctx context.Context, r *pb.SubmitRequest, deadline time.Time) *pb.SubmitReply {
	claim := s.newClaim(r, deadline)
	for {
		result := s.config.Claimer.Claim(ctx, claim)
		s.config.Recorder.Claimed(result.Verdict.String())
		if result.Verdict == claimer.VerdictWon {
			return s.runClaimed(ctx, r, claim, deadline)
		}
		claim.Groups = result.Groups
		reply := final(result)
		if reply == nil && !s.pause(ctx) {
			reply = timedOut(result.Verdict)
		}
		if reply != nil || result.Verdict == claimer.VerdictHeld {
			s.settle(ctx, &pb.SubmitSettle{RequestId: r.GetRequestId(), Token: claim.GetToken(), Abandoned: true})
			claim = s.newClaim(r, deadline)
		}
		if reply != nil {
			return reply
		}
	}
}

func (s *Submitter) newClaim(r *pb.SubmitRequest, deadline time.Time) *pb.SubmitClaim {
	return &pb.SubmitClaim{
		RequestId: r.GetRequestId(), Fingerprint: fingerprint(r), Token: s.config.NewToken(),
		NotAfter: timestamppb.New(deadline),
	}
}

// runClaimed makes the one run and settles the claim.
func (s *Submitter) runClaimed(
	ctx context.Context, r *pb.SubmitRequest, claim *pb.SubmitClaim, deadline time.Time,
) *pb.SubmitReply {
	reply := s.run(ctx, r, deadline)
	s.settle(ctx, &pb.SubmitSettle{
		RequestId: r.GetRequestId(), Token: claim.GetToken(),
		Abandoned: reply.GetCode() == pb.ResultCode_RESULT_CODE_NOT_RUN, Outcome: reply,
	})
	return reply
}

func (s *Submitter) settle(ctx context.Context, settle *pb.SubmitSettle) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	context.AfterFunc(ctx, cancel)
	s.config.Claimer.Settle(ctx, settle)
}

// pause waits for a random time and returns false when the attempt's time is over.
func (s *Submitter) pause(ctx context.Context) bool {
	d := shortestPause + rand.N(longestPause-shortestPause) //nolint:gosec // no secret
	timer := s.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (s *Submitter) layout(service string) *pinner.Layout {
	return pinner.Pin(s.cataloger.Layouts(s.config.Source.Index(), service))
}

// final returns the reply to a verdict that more time does not change, or nil.
func final(r claimer.Result) *pb.SubmitReply {
	switch r.Verdict {
	case claimer.VerdictKnown:
		return r.Outcome
	case claimer.VerdictDuplicate:
		return replyOf(pb.ResultCode_RESULT_CODE_DUPLICATE_REQUEST_ID, "the id belongs to another request")
	case claimer.VerdictLapsed:
		return replyOf(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "an earlier attempt ended without a known outcome")
	case claimer.VerdictTooOld:
		return replyOf(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the id is older than the records of its witnesses")
	default:
		return nil
	}
}

// timedOut returns the reply when the time is over. This attempt has sent nothing.
func timedOut(v claimer.Verdict) *pb.SubmitReply {
	switch v {
	case claimer.VerdictHeld:
		return replyOf(pb.ResultCode_RESULT_CODE_IN_PROGRESS, "another attempt is running the request")
	case claimer.VerdictShort:
		return replyOf(pb.ResultCode_RESULT_CODE_NOT_RUN, "too few witnesses answered")
	default:
		return replyOf(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
			"not sent by this attempt; too few witnesses answered to know of earlier ones")
	}
}

func replyOf(code pb.ResultCode, message string) *pb.SubmitReply {
	return &pb.SubmitReply{Code: code, Message: message}
}

// fingerprint tells requests with the same id and other content apart.
func fingerprint(r *pb.SubmitRequest) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.GetService(), r.GetClass(), r.GetPayload()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64() + uint64(r.GetPartition())
}

// callOf returns the call to the leaf.
func (s *Submitter) callOf(
	r *pb.SubmitRequest, leaf string, timeLeft time.Duration, notAfter time.Time,
) *pb.SubmitCall {
	return &pb.SubmitCall{
		Service: r.GetService(), Class: r.GetClass(), RequestId: r.GetRequestId(), Partition: r.GetPartition(),
		Payload: r.GetPayload(), TimeLeft: router.TimeLeft(timeLeft), Leaf: leaf, NotAfter: timestamppb.New(notAfter),
		Worth: s.config.Source.Index().Class(r.GetService(), r.GetClass()).GetWorth(),
	}
}
