package forwarder

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/dialer"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// peerDialTimeout bounds connecting to another node.
	peerDialTimeout = 500 * time.Millisecond
	// coldNodes is how many nodes call a cold leaf; each may send one call at once.
	coldNodes = 4
	// coldMargin is the part of a cold leaf's rate that is used.
	coldMargin = 0.9
	// keptLinks is how many links to other nodes stay open when idle; a node needs about seven in a large fleet.
	keptLinks = 16
)

// fleet is what follows from one generation of the view.
type fleet struct {
	generation uint64
	// serving is the number of nodes that serve callers, this one included, at least 1.
	serving int
	ranker  *ranker.Ranker
}

// HandleFrame handles the frames of other nodes.
func (n *Node) HandleFrame(ctx context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	switch body := f.GetBody().(type) {
	case *pb.Frame_Probe:
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: n.prober.HandleProbe(body.Probe)}})
	case *pb.Frame_IndirectProbe:
		answer := n.prober.HandleIndirect(ctx, body.IndirectProbe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: answer}})
	case *pb.Frame_DocumentNotice:
		n.spreader.HandleNotice(ctx, body.DocumentNotice)
	case *pb.Frame_DocumentPull:
		answer := n.spreader.HandlePull(body.DocumentPull)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_Documents{Documents: answer}})
	default:
		n.config.Logger.Warn("frame is not known", "from", f.GetFrom())
	}
}

func (n *Node) self() *pb.Member {
	return &pb.Member{
		Name: n.config.NodeName, AvailabilityZone: n.config.AvailabilityZone, Region: n.config.Region,
		PeerAddress: n.config.PeerAddress, CallerAddress: n.config.CallerAddress,
		State: pb.MemberState_MEMBER_STATE_ALIVE, Incarnation: 1,
		Capacity: uint32(max(0, n.config.CPUShare) * 1000), StartedAt: n.startedAt.UnixNano(),
	}
}

func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.bounds.Load().SeedPeers),
		func(a string) bool { return a == n.config.PeerAddress })
}

// linkedPeers returns the peer addresses of the nodes that this one keeps links to, in random order.
func (n *Node) linkedPeers() []string {
	addresses := map[string]string{}
	var names []string
	for _, m := range n.prober.Members() {
		addresses[m.GetName()] = m.GetPeerAddress()
		names = append(names, m.GetName())
	}
	var linked []string
	for _, name := range linker.Choose(names, n.config.NodeName) {
		linked = append(linked, addresses[name])
	}
	swap := func(i, j int) { linked[i], linked[j] = linked[j], linked[i] }
	rand.Shuffle(len(linked), swap) //nolint:gosec // spreads load only
	return linked
}

// currentFleet returns what follows from the present view. It is computed anew only after a change of the view: every
// request, every look for the reader of the store and every call of a cold leaf needs it.
func (n *Node) currentFleet() *fleet {
	generation := n.prober.Generation()
	if f := n.fleet.Load(); f != nil && f.generation == generation {
		return f
	}
	serving, included := n.namer.Serving(n.config.NodeName)
	if !included {
		serving++ // callers that have an old answer still come here
	}
	f := &fleet{generation: generation, serving: serving, ranker: ranker.New(n.prober.Members())}
	n.fleet.Store(f)
	n.pooler.SetNodes(serving)
	return f
}

// servingNodes returns the number of nodes that serve callers, this one included.
func (n *Node) servingNodes() int {
	return n.currentFleet().serving
}

// coldShare returns which part of a cold leaf's rate this node may use. In a large fleet only a few nodes, the
// same in the view of all, may call it.
func (n *Node) coldShare(leafID string) float64 {
	if members := len(n.prober.Members()); members <= coldNodes {
		return coldMargin / float64(max(1, members))
	}
	for _, m := range n.currentFleet().ranker.Leading(ranker.Key{Name: leafID}, coldNodes) {
		if m.GetName() == n.config.NodeName {
			return coldMargin / coldNodes
		}
	}
	return 0
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dialer.New(dialer.Config{Timeout: peerDialTimeout}).DialContext(ctx, "tcp", address)
}
