// Package router sends calls to the node that must handle them: leaf calls to the owner of the leaf, claims to
// a witness. If that is this node it calls the local component directly, otherwise it sends a frame over the
// link to the peer, so that the code that serves requests need not distinguish the two cases.
package router

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

type (
	// Messenger sends frames to other nodes.
	Messenger interface {
		NextID() uint64
		StartCalls(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame,
			ids []uint64, deliver messenger.ReplyFunc) error
		Send(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) error
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
		ForgetCalls(address string, ids ...uint64)
	}

	// LocalDispatcher runs the calls to leaves that this node owns.
	LocalDispatcher interface {
		StartBatch(ctx context.Context, origin string, b *pb.LeafBatch, done func(*pb.LeafReply))
		Cancel(origin string, ids []uint64)
		Submit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply
	}

	// LocalWitness records the claims of non-idempotent requests on this node.
	LocalWitness interface {
		Claim(c *pb.SubmitClaim) *pb.SubmitClaimReply
		Settle(s *pb.SubmitSettle)
	}

	// Config holds what a Router needs.
	Config struct {
		NodeName   string
		Messenger  Messenger
		Dispatcher LocalDispatcher
		Witness    LocalWitness
	}

	// Router sends calls to owners of leaves and to witnesses. It is safe for concurrent use.
	Router struct {
		config Config
	}
)

// New returns a Router.
func New(c Config) *Router {
	return &Router{config: c}
}

// NextCallID returns an id for a leaf call that is unique in this process.
func (r *Router) NextCallID() uint64 {
	return r.config.Messenger.NextID()
}

// StartBatch sends the calls to the owner of their leaves. deliver is called at most once for each call; if the
// owner was lost, the reply has the code OWNER_UNREACHABLE.
func (r *Router) StartBatch(ctx context.Context, owner *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply)) {
	if owner.GetName() == r.config.NodeName {
		r.config.Dispatcher.StartBatch(ctx, r.config.NodeName, b, deliver)
		return
	}
	partitions := make(map[uint64]uint32, len(b.GetCalls()))
	ids := make([]uint64, 0, len(b.GetCalls()))
	for _, c := range b.GetCalls() {
		partitions[c.GetCallId()] = c.GetPartition()
		ids = append(ids, c.GetCallId())
	}
	receive := func(id uint64, reply *pb.Frame, err error) {
		if err != nil || reply.GetLeafReply() == nil {
			deliver(unreachableReply(b, id, partitions[id]))
			return
		}
		deliver(reply.GetLeafReply())
	}
	frame := &pb.Frame{Body: &pb.Frame_LeafBatch{LeafBatch: b}}
	err := r.config.Messenger.StartCalls(ctx, owner.GetPeerAddress(), messenger.PlaneData, frame, ids, receive)
	if err == nil {
		return
	}
	for _, id := range ids {
		reply := unreachableReply(b, id, partitions[id])
		reply.NotSent = true
		deliver(reply)
	}
}

// Cancel tells the owner that the replies are no longer wanted.
func (r *Router) Cancel(ctx context.Context, owner *pb.Member, ids []uint64) {
	if owner.GetName() == r.config.NodeName {
		r.config.Dispatcher.Cancel(r.config.NodeName, ids)
		return
	}
	r.config.Messenger.ForgetCalls(owner.GetPeerAddress(), ids...)
	frame := &pb.Frame{Body: &pb.Frame_CancelCalls{CancelCalls: &pb.CancelCalls{CallIds: ids}}}
	_ = r.config.Messenger.Send(ctx, owner.GetPeerAddress(), messenger.PlaneData, frame)
}

// Submit sends a non-idempotent call to the owner of its leaf and waits for the outcome.
func (r *Router) Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error) {
	if owner.GetName() == r.config.NodeName {
		return r.config.Dispatcher.Submit(ctx, c), nil
	}
	frame := &pb.Frame{Body: &pb.Frame_SubmitCall{SubmitCall: c}}
	reply, err := r.config.Messenger.Call(ctx, owner.GetPeerAddress(), messenger.PlaneData, frame)
	if err != nil {
		return nil, err
	}
	return reply.GetSubmitReply(), nil
}

// Claim sends the claim to the witness and waits for its reply.
func (r *Router) Claim(ctx context.Context, witness *pb.Member, c *pb.SubmitClaim) (*pb.SubmitClaimReply, error) {
	if witness.GetName() == r.config.NodeName {
		return r.config.Witness.Claim(c), nil
	}
	frame := &pb.Frame{Body: &pb.Frame_SubmitClaim{SubmitClaim: c}}
	reply, err := r.config.Messenger.Call(ctx, witness.GetPeerAddress(), messenger.PlaneData, frame)
	if err != nil {
		return nil, err
	}
	return reply.GetSubmitClaimReply(), nil
}

// Settle tells the witness the outcome of an attempt. The message may be lost.
func (r *Router) Settle(ctx context.Context, witness *pb.Member, s *pb.SubmitSettle) {
	if witness.GetName() == r.config.NodeName {
		r.config.Witness.Settle(s)
		return
	}
	frame := &pb.Frame{Body: &pb.Frame_SubmitSettle{SubmitSettle: s}}
	_ = r.config.Messenger.Send(ctx, witness.GetPeerAddress(), messenger.PlaneData, frame)
}

// DurationProto returns the duration in its protobuf form; a negative duration becomes zero.
func DurationProto(d time.Duration) *durationpb.Duration {
	return durationpb.New(max(0, d))
}

func unreachableReply(b *pb.LeafBatch, id uint64, partition uint32) *pb.LeafReply {
	return &pb.LeafReply{
		CallId:    id,
		Code:      pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE,
		Partition: partition,
		RequestId: b.GetRequestId(),
	}
}
