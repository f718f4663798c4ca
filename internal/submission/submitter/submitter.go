// Package submitter runs the non-idempotent requests of callers at most once. The node that receives a request claims
// its id from the id's witnesses, sends the request to the owner of one leaf and reports the outcome to the
// witnesses. A request that is repeated through another node goes to the same witnesses and gets the known outcome.
// The answer is "not run" only when no attempt can have reached a leaf or the leaf said that it did not run the
// request. When this cannot be determined, the answer is "outcome unknown" and the request is not run again.
package submitter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/cataloger"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
	"github.com/magnoliastep/magnoliastep/internal/submission/claimer"
	"github.com/magnoliastep/magnoliastep/internal/submission/identifier"
	"github.com/magnoliastep/magnoliastep/internal/submission/recorder"
)

const (
	catalogRefreshPeriod  = 200 * time.Millisecond
	minRetryDelay         = 10 * time.Millisecond
	maxRetryDelay         = 50 * time.Millisecond
	deadlineMarginDivisor = 20
	maxDeadlineMargin     = 50 * time.Millisecond
	settleTimeout         = 2 * time.Second
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Owners returns the node that owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// Statuses returns the last known status of a leaf.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Router sends a call to the owner of its leaf.
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
		// MaxClockSkew is the largest difference between the clocks of callers and nodes.
		MaxClockSkew time.Duration
		// NewToken returns a token for an attempt that is unique among all attempts of all nodes.
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
		Statuses: c.Statuses, Clock: c.Clock, Refresh: catalogRefreshPeriod,
	})}
}

// Submit runs the request of a caller and returns the answer. A request that it rejects yields a coded error.
func (s *Submitter) Submit(ctx context.Context, caller *pb.Caller, r *pb.SubmitRequest) (*pb.SubmitAnswer, error) {
	startedAt := s.config.Clock.Now()
	timeLeft, err := s.validate(caller, r)
	if err != nil {
		return nil, err
	}
	// The attempt continues when the caller's connection closes, because its outcome must reach the witnesses.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft)
	defer cancel()
	reply := s.claimAndRun(ctx, r, startedAt.Add(timeLeft))
	s.config.Recorder.RecordAnswer(r.GetService(), r.GetClass(), reply.GetCode(), s.config.Clock.Since(startedAt))
	return &pb.SubmitAnswer{
		Code: reply.GetCode(), Message: reply.GetMessage(), RequestId: r.GetRequestId(), Payload: reply.GetPayload(),
	}, nil
}

// validate checks the request and returns the time for the attempt, which ends a margin before the caller's deadline:
// the time left divided by deadlineMarginDivisor, at most maxDeadlineMargin.
func (s *Submitter) validate(caller *pb.Caller, r *pb.SubmitRequest) (time.Duration, error) {
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
	if ahead := created.Sub(s.config.Clock.Now()); ahead > s.config.MaxClockSkew {
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
	return timeLeft - min(timeLeft/deadlineMarginDivisor, maxDeadlineMargin), nil
}

// claimAndRun repeats the claim until it wins, the outcome is known or the time is over. A claim that conflicted with
// the claim of another attempt is abandoned before the next one, so that the two do not block each other; its token is
// not used again.
func (s *Submitter) claimAndRun(ctx context.Context, r *pb.SubmitRequest, deadline time.Time) *pb.SubmitReply {
	claim := s.newClaim(r, deadline)
	for {
		result := s.config.Claimer.Claim(ctx, claim)
		s.config.Recorder.RecordClaim(result.Verdict.String())
		if result.Verdict == claimer.VerdictWon {
			return s.runClaimed(ctx, r, claim, deadline)
		}
		claim.Groups = result.Groups
		reply := finalReply(result)
		if reply == nil && !s.waitToRetry(ctx) {
			reply = timeoutReply(result.Verdict)
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

// runClaimed runs the request for which the claim was won and settles the claim.
func (s *Submitter) runClaimed(
	ctx context.Context, r *pb.SubmitRequest, claim *pb.SubmitClaim, deadline time.Time,
) *pb.SubmitReply {
	reply := s.sendToLeaves(ctx, r, deadline)
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

// waitToRetry waits for a random delay and returns false when the attempt's time is over.
func (s *Submitter) waitToRetry(ctx context.Context) bool {
	delay := minRetryDelay + rand.N(maxRetryDelay-minRetryDelay) //nolint:gosec // not used for security
	timer := s.config.Clock.NewTimer(delay)
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

// finalReply returns the reply to a verdict that a further claim would not change, or nil for other verdicts.
func finalReply(r claimer.Result) *pb.SubmitReply {
	switch r.Verdict {
	case claimer.VerdictKnown:
		return r.Outcome
	case claimer.VerdictDuplicate:
		return newReply(pb.ResultCode_RESULT_CODE_DUPLICATE_REQUEST_ID, "the id belongs to another request")
	case claimer.VerdictLapsed:
		return newReply(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "an earlier attempt ended without a known outcome")
	case claimer.VerdictTooOld:
		return newReply(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the id is older than the records of its witnesses")
	default:
		return nil
	}
}

// timeoutReply returns the reply for an attempt whose time is over and which has sent nothing to a leaf.
func timeoutReply(v claimer.Verdict) *pb.SubmitReply {
	switch v {
	case claimer.VerdictHeld:
		return newReply(pb.ResultCode_RESULT_CODE_IN_PROGRESS, "another attempt is running the request")
	case claimer.VerdictNoQuorum:
		return newReply(pb.ResultCode_RESULT_CODE_NOT_RUN, "too few witnesses answered")
	default:
		return newReply(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
			"not sent by this attempt; too few witnesses answered to know of earlier ones")
	}
}

func newReply(code pb.ResultCode, message string) *pb.SubmitReply {
	return &pb.SubmitReply{Code: code, Message: message}
}

// fingerprint returns a hash of the request's content, by which witnesses detect another request with the same id.
func fingerprint(r *pb.SubmitRequest) uint64 {
	digest := xxhash.New()
	for _, field := range []string{r.GetService(), r.GetClass(), r.GetPayload()} {
		_, _ = digest.WriteString(field)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64() + uint64(r.GetPartition())
}

// newCall returns the call that runs the request at the leaf.
func (s *Submitter) newCall(
	r *pb.SubmitRequest, leaf string, timeLeft time.Duration, notAfter time.Time,
) *pb.SubmitCall {
	return &pb.SubmitCall{
		Service: r.GetService(), Class: r.GetClass(), RequestId: r.GetRequestId(), Partition: r.GetPartition(),
		Payload: r.GetPayload(), TimeLeft: router.DurationProto(timeLeft), Leaf: leaf, NotAfter: timestamppb.New(notAfter),
		Worth: s.config.Source.Index().Class(r.GetService(), r.GetClass()).GetWorth(),
	}
}
