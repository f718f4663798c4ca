package assembler

import (
	"context"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// HandleFrame takes a frame from another node to the part that answers it.
func (n *Node) HandleFrame(ctx context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	switch body := f.GetBody().(type) {
	case *pb.Frame_LeafBatch:
		n.dispatcher.StartBatch(ctx, f.GetFrom(), body.LeafBatch, func(r *pb.LeafReply) {
			reply(&pb.Frame{Id: r.GetCallId(), Body: &pb.Frame_LeafReply{LeafReply: r}})
		})
	case *pb.Frame_CancelCalls:
		n.dispatcher.Cancel(f.GetFrom(), body.CancelCalls.GetCallIds())
	case *pb.Frame_SubmitCall:
		r := n.handleSubmit(ctx, body.SubmitCall)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_SubmitReply{SubmitReply: r}})
	case *pb.Frame_Probe:
		r := n.prober.HandleProbe(body.Probe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: r}})
	case *pb.Frame_IndirectProbe:
		r := n.prober.HandleIndirect(ctx, body.IndirectProbe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: r}})
	case *pb.Frame_ConfigPull:
		delta := n.relayer.HandlePull(ctx, body.ConfigPull, f.GetConfigDigest())
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ConfigDelta{ConfigDelta: delta}})
	case *pb.Frame_LeafStatusPull:
		statuses := n.publisher.Pull(ctx, body.LeafStatusPull)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_LeafStatuses{LeafStatuses: statuses}})
	}
}

// handleSubmit answers as the owner of the leaf that the call names, or else as the home of its id.
func (n *Node) handleSubmit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	if c.GetLeaf() != "" {
		return n.dispatcher.Submit(ctx, c)
	}
	return n.submitter.HandleAtHome(ctx, c)
}
