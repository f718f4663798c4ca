package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/queuer"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
)

type (
	// job is one call that is queued or in flight.
	job struct {
		context        context.Context //nolint:containedctx // the job outlives the function call that queued it
		leaf           string
		class          string
		worth          float64
		call           sender.Call
		deadline       time.Time
		fullWorthUntil time.Time
		enqueuedAt     time.Time
		// notAfter is the wall-clock time after which the job must not be sent; zero means no limit. Wall
		// time also covers a paused process, whose monotonic clock, and so its deadlines, may have stopped.
		notAfter time.Time
		// handle identifies the job in the queue; it is set when the job is queued.
		handle *queuer.Handle[*job]
		// stopCancelWatch stops watching the context for cancellation; the watch runs while the job is queued.
		stopCancelWatch func() bool
		// finish is called exactly once, unless the job is forwarded.
		finish func(o outcome)
		// forward sends the job to another owner; nil for a job that was already forwarded to this node.
		forward func(owner *pb.Member)
	}

	// outcome is the result of a job at this node.
	outcome struct {
		code    pb.ResultCode
		message string
		answer  sender.Answer
		// latency is the duration of the call to the leaf; zero when the job was not sent.
		latency time.Duration
		sent    bool
		// expectedWait and expectedLatency are the owner's estimates for the next call to the leaf.
		expectedWait    time.Duration
		expectedLatency time.Duration
	}
)

// searchJob returns the job for one call of a batch.
func (d *Dispatcher) searchJob(
	ctx context.Context, origin string, b *pb.LeafBatch, c *pb.LeafCall, done func(*pb.LeafReply),
) *job {
	ctx, cancel := context.WithCancel(ctx)
	key := callKey{origin, c.GetCallId()}
	d.mutex.Lock()
	d.cancels[key] = cancel
	d.mutex.Unlock()
	complete := func(r *pb.LeafReply) {
		d.mutex.Lock()
		delete(d.cancels, key)
		d.mutex.Unlock()
		cancel()
		done(r)
	}
	j := &job{
		context: ctx, leaf: c.GetLeaf(), class: b.GetClass(), worth: b.GetWorth(),
		call: sender.Call{
			Path: sender.PathSearch, RequestID: b.GetRequestId(), Snapshot: b.GetSnapshot(),
			Partition: c.GetPartition(), Attempt: c.GetAttempt(), Body: b.GetQuery(),
		},
	}
	j.finish = func(o outcome) { complete(leafReply(b, c, o)) }
	if !b.GetForwarded() {
		j.forward = func(owner *pb.Member) { d.forwardCall(j, owner, b, c, complete) }
	}
	return j
}

// forwardCall sends one call to its owner and sets the id of the original call in the owner's reply.
func (d *Dispatcher) forwardCall(
	j *job, owner *pb.Member, b *pb.LeafBatch, c *pb.LeafCall, complete func(*pb.LeafReply),
) {
	now := d.config.Clock.Now()
	id := d.config.Forwarder.NextCallID()
	forwarded := &pb.LeafBatch{
		RequestId: b.GetRequestId(), Service: b.GetService(), Class: b.GetClass(), Query: b.GetQuery(),
		Snapshot: b.GetSnapshot(), Worth: b.GetWorth(), Forwarded: true,
		TimeLeft:      router.DurationProto(j.deadline.Sub(now)),
		FullWorthLeft: router.DurationProto(j.fullWorthUntil.Sub(now)),
		Calls: []*pb.LeafCall{{
			CallId: id, Leaf: c.GetLeaf(), Partition: c.GetPartition(), Attempt: c.GetAttempt(),
		}},
	}
	ctx, cancel := context.WithDeadline(j.context, j.deadline)
	detached := context.WithoutCancel(ctx)
	stop := context.AfterFunc(ctx, func() {
		cancel()
		d.config.Forwarder.Cancel(detached, owner, []uint64{id})
		code := pb.ResultCode_RESULT_CODE_CANCELLED
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			code = pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE
		}
		complete(leafReply(b, c, outcome{code: code}))
	})
	d.config.Forwarder.StartBatch(ctx, owner, forwarded, func(r *pb.LeafReply) {
		if !stop() {
			return // the context ended first and the call has been answered
		}
		cancel()
		r.CallId = c.GetCallId()
		complete(r)
	})
}

func leafReply(b *pb.LeafBatch, c *pb.LeafCall, o outcome) *pb.LeafReply {
	return &pb.LeafReply{
		CallId: c.GetCallId(), Code: o.code, Snapshot: b.GetSnapshot(), Partition: c.GetPartition(),
		Payload: o.answer.Payload, RequestId: b.GetRequestId(), LeafLatency: durationpb.New(o.latency),
		ExpectedWait: durationpb.New(o.expectedWait), ExpectedLatency: durationpb.New(o.expectedLatency),
		// Only a refused connection counts as not sent, because it costs the leaf nothing. A call that was not
		// sent because the leaf lacks capacity does not count.
		NotSent: o.code == pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE && o.answer.NotRun,
	}
}

// submitJob returns the job for a non-idempotent request.
func (d *Dispatcher) submitJob(ctx context.Context, c *pb.SubmitCall, done func(*pb.SubmitReply)) *job {
	j := &job{
		context: ctx, leaf: c.GetLeaf(), class: c.GetClass(), worth: c.GetWorth(),
		call: sender.Call{
			Path: sender.PathSubmit, RequestID: c.GetRequestId(), Partition: c.GetPartition(), Attempt: 1,
			Body: c.GetPayload(),
		},
	}
	j.finish = func(o outcome) { done(submitReply(c, o)) }
	if !c.GetForwarded() {
		j.forward = func(owner *pb.Member) { go d.forwardSubmit(j, owner, c, done) }
	}
	return j
}

func (d *Dispatcher) forwardSubmit(j *job, owner *pb.Member, c *pb.SubmitCall, done func(*pb.SubmitReply)) {
	forwarded := &pb.SubmitCall{
		Service: c.GetService(), Class: c.GetClass(), RequestId: c.GetRequestId(), Partition: c.GetPartition(),
		Payload: c.GetPayload(), Leaf: c.GetLeaf(), Worth: c.GetWorth(), Forwarded: true,
		NotAfter: c.GetNotAfter(),
		TimeLeft: router.DurationProto(d.config.Clock.Until(j.deadline)),
	}
	ctx, cancel := context.WithDeadline(j.context, j.deadline)
	defer cancel()
	reply, err := d.config.Forwarder.Submit(ctx, owner, forwarded)
	done(forwardedReply(c, reply, err))
}

// pastNotAfter tells whether the wall-clock time notAfter has passed, so that the job must not be sent.
func (j *job) pastNotAfter(now time.Time) bool {
	return !j.notAfter.IsZero() && now.Round(0).After(j.notAfter)
}

func pastNotAfterOutcome() outcome {
	return outcome{code: pb.ResultCode_RESULT_CODE_CANCELLED, message: "held up until its time was over"}
}

func submitReply(c *pb.SubmitCall, o outcome) *pb.SubmitReply {
	r := &pb.SubmitReply{RequestId: c.GetRequestId(), Message: o.message}
	switch {
	case o.code == pb.ResultCode_RESULT_CODE_OK:
		r.Code = pb.ResultCode_RESULT_CODE_OK
		r.Payload = o.answer.Payload
	case !o.sent || o.answer.NotRun:
		r.Code = pb.ResultCode_RESULT_CODE_NOT_RUN
	default:
		r.Code = pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN
	}
	if r.GetMessage() == "" && r.GetCode() != pb.ResultCode_RESULT_CODE_OK {
		r.Message = o.code.String()
	}
	return r
}

// forwardedReply returns the owner's reply to a forwarded submit. Without a valid reply the code is NOT_RUN only
// when the call was not sent to the owner; otherwise the outcome is unknown.
func forwardedReply(c *pb.SubmitCall, reply *pb.SubmitReply, err error) *pb.SubmitReply {
	switch {
	case err == nil && reply.GetRequestId() == c.GetRequestId():
		return reply
	case errors.Is(err, messenger.ErrNotSent):
		return &pb.SubmitReply{
			Code: pb.ResultCode_RESULT_CODE_NOT_RUN, RequestId: c.GetRequestId(), Message: "owner cannot be reached",
		}
	}
	return &pb.SubmitReply{
		Code: pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, RequestId: c.GetRequestId(), Message: "owner did not answer",
	}
}
