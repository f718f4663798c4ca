package assembler

import (
	"context"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// HandleFrame routes a frame from another node to the component that handles it. It implements messenger.Handler.
func (n *Node) HandleFrame(ctx context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	switch body := f.GetBody().(type) {
	case *pb.Frame_LeafBatch:
		n.peerCallsInFlight.Add(int64(len(body.LeafBatch.GetCalls())))
		n.dispatcher.StartBatch(ctx, f.GetFrom(), body.LeafBatch, func(r *pb.LeafReply) {
			reply(&pb.Frame{Id: r.GetCallId(), Body: &pb.Frame_LeafReply{LeafReply: r}})
			n.peerCallsInFlight.Add(-1)
		})
	case *pb.Frame_CancelCalls:
		n.dispatcher.Cancel(f.GetFrom(), body.CancelCalls.GetCallIds())
	case *pb.Frame_SubmitClaim:
		r := n.registrar.Claim(body.SubmitClaim)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_SubmitClaimReply{SubmitClaimReply: r}})
	case *pb.Frame_WitnessRosterPull:
		r := n.grouper.Roster()
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_WitnessRoster{WitnessRoster: r}})
	case *pb.Frame_SubmitSettle:
		n.registrar.Settle(body.SubmitSettle)
	case *pb.Frame_SubmitCall:
		n.peerCallsInFlight.Add(1)
		r := n.dispatcher.Submit(ctx, body.SubmitCall)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_SubmitReply{SubmitReply: r}})
		n.peerCallsInFlight.Add(-1)
	case *pb.Frame_Probe:
		r := n.prober.HandleProbe(body.Probe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: r}})
	case *pb.Frame_IndirectProbe:
		r := n.prober.HandleIndirectProbe(ctx, body.IndirectProbe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: r}})
	case *pb.Frame_ConfigPull:
		delta := n.relayer.HandlePull(ctx, body.ConfigPull, f.GetConfigDigest())
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ConfigDelta{ConfigDelta: delta}})
	case *pb.Frame_TenureRequest:
		r := n.dispatcher.HandleTenureRequest(f.GetFrom(), body.TenureRequest)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_TenureReply{TenureReply: r}})
	case *pb.Frame_LeafHandover:
		r := n.dispatcher.HandleHandover(f.GetFrom(), body.LeafHandover)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_Acknowledgement{Acknowledgement: r}})
	case *pb.Frame_DemandReport:
		r := n.pager.HandleReport(f.GetFrom(), body.DemandReport)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_DemandReply{DemandReply: r}})
	case *pb.Frame_LeafStatusPull:
		statuses := n.publisher.Pull(ctx, body.LeafStatusPull)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_LeafStatuses{LeafStatuses: statuses}})
	}
}
