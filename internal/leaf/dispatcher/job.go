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
	// job is one call that waits or runs.
	job struct {
		context        context.Context //nolint:containedctx // the job outlives the call that queued it
		leaf           string
		class          string
		worth          float64
		call           sender.Call
		deadline       time.Time
		fullWorthUntil time.Time
		enqueuedAt     time.Time
		// notAfter is the wall time after which the job must not be sent; zero means none. It holds also
		// for a process that was paused, whose own deadlines may have stood still.
		notAfter time.Time
		// handle is set while the job waits.
		handle *queuer.Handle[*job]
		// unwatch stops the watch on the context while the job waits.
		unwatch func() bool
		// finish is called exactly once, unless passOn is.
		finish func(o outcome)
		// passOn takes the job to another owner; nil when it has been passed on before.
		passOn func(owner *pb.Member)
	}

	// outcome is how a job ended at this node.
	outcome struct {
		code    pb.ResultCode
		message string
		answer  sender.Answer
		// latency is the time at the leaf; zero when the job was not sent.
		latency time.Duration
		sent    bool
		// wait and expected are the owner's estimate for the next call.
		wait     time.Duration
		expected time.Duration
	}
)

// searchJob makes the job of one call of a batch.
func (d *Dispatcher) searchJob(
	ctx context.Context, origin string, b *pb.LeafBatch, c *pb.LeafCall, done func(*pb.LeafReply),
) *job {
	ctx, cancel := context.WithCancel(ctx)
	key := callKey{origin, c.GetCallId()}
	d.mutex.Lock()
	d.cancels[key] = cancel
	d.mutex.Unlock()
	end := func(r *pb.LeafReply) {
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
	j.finish = func(o outcome) { end(leafReply(b, c, o)) }
	if !b.GetForwarded() {
		j.passOn = func(owner *pb.Member) { d.passCallOn(j, owner, b, c, end) }
	}
	return j
}

// passCallOn sends one call to its owner and gives the owner's reply the id of the original call.
func (d *Dispatcher) passCallOn(
	j *job, owner *pb.Member, b *pb.LeafBatch, c *pb.LeafCall, end func(*pb.LeafReply),
) {
	now := d.config.Clock.Now()
	id := d.config.Forwarder.NextCallID()
	passed := &pb.LeafBatch{
		RequestId: b.GetRequestId(), Service: b.GetService(), Class: b.GetClass(), Query: b.GetQuery(),
		Snapshot: b.GetSnapshot(), Worth: b.GetWorth(), Forwarded: true,
		TimeLeft:      router.TimeLeft(j.deadline.Sub(now)),
		FullWorthLeft: router.TimeLeft(j.fullWorthUntil.Sub(now)),
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
		end(leafReply(b, c, outcome{code: code}))
	})
	d.config.Forwarder.StartBatch(ctx, owner, passed, func(r *pb.LeafReply) {
		if !stop() {
			return // the cancellation has ended the call
		}
		cancel()
		r.CallId = c.GetCallId()
		end(r)
	})
}

func leafReply(b *pb.LeafBatch, c *pb.LeafCall, o outcome) *pb.LeafReply {
	return &pb.LeafReply{
		CallId: c.GetCallId(), Code: o.code, Snapshot: b.GetSnapshot(), Partition: c.GetPartition(),
		Payload: o.answer.Payload, RequestId: b.GetRequestId(), LeafLatency: durationpb.New(o.latency),
		ExpectedWait: durationpb.New(o.wait), ExpectedLatency: durationpb.New(o.expected),
		// A refused connection costs the leaf nothing; a call that was not sent for want of capacity is no such case.
		NotSent: o.code == pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE && o.answer.NotRun,
	}
}

// submitJob makes the job of a non-idempotent request.
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
		j.passOn = func(owner *pb.Member) { go d.passSubmitOn(j, owner, c, done) }
	}
	return j
}

func (d *Dispatcher) passSubmitOn(j *job, owner *pb.Member, c *pb.SubmitCall, done func(*pb.SubmitReply)) {
	passed := &pb.SubmitCall{
		Service: c.GetService(), Class: c.GetClass(), RequestId: c.GetRequestId(), Partition: c.GetPartition(),
		Payload: c.GetPayload(), Leaf: c.GetLeaf(), Worth: c.GetWorth(), Forwarded: true,
		NotAfter: c.GetNotAfter(),
		TimeLeft: router.TimeLeft(d.config.Clock.Until(j.deadline)),
	}
	ctx, cancel := context.WithDeadline(j.context, j.deadline)
	defer cancel()
	reply, err := d.config.Forwarder.Submit(ctx, owner, passed)
	done(passedReply(c, reply, err))
}

// heldUp tells whether the job must not be sent any more, by the wall clock.
func (j *job) heldUp(now time.Time) bool {
	return !j.notAfter.IsZero() && now.Round(0).After(j.notAfter)
}

func heldUpOutcome() outcome {
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

// passedReply turns the outcome of a passed-on submit into a reply: not run only when it was not sent.
func passedReply(c *pb.SubmitCall, reply *pb.SubmitReply, err error) *pb.SubmitReply {
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
