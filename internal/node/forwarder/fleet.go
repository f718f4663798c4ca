package forwarder

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/discovery/scaler"
	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/dialer"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// peerDialTimeout bounds connecting to another node.
	peerDialTimeout = 500 * time.Millisecond
	// nodesPerColdLeaf is how many nodes may call a cold leaf; each of them may send one call at once.
	nodesPerColdLeaf = 4
	// coldRateShare is the share of a cold leaf's rate that all nodes together use.
	coldRateShare = 0.9
	// idleLinkThreshold is how many idle links to other nodes stay open; a node needs about seven in a large fleet.
	idleLinkThreshold = 16
	// maxFleetAge is how long the state derived from the view may be used although leaves or requests for helpers may
	// have changed.
	maxFleetAge = 500 * time.Millisecond
	// unknownViewPeriod is the time after the start in which the view may lack other nodes. Until then at least
	// assumedServingNodes are assumed to share the leaves and the budgets.
	unknownViewPeriod   = 3 * time.Second
	assumedServingNodes = 6
	// processorTimePeriod is the time between two observations of this node's processor time.
	processorTimePeriod = 500 * time.Millisecond
	// minProcessorSeconds avoids a division by zero for a VM without a stated share of a core.
	minProcessorSeconds = 0.01
)

// fleetState is derived from one generation of the view.
type fleetState struct {
	generation uint64
	derivedAt  time.Time
	// serving is the number of nodes that serve callers, this one included, at least 1.
	serving int
	ranker  *ranker.Ranker
	// zones has the availability zone of each node by the IP of its peer address.
	zones map[string]string
}

// HandleFrame handles a frame from another node. A panic ends only the handling of this frame.
func (n *Node) HandleFrame(ctx context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	_ = n.isolator.Run(workFrame, func() { n.handleFrame(ctx, f, reply) }, "from", f.GetFrom())
}

func (n *Node) handleFrame(ctx context.Context, f *pb.Frame, reply func(*pb.Frame)) {
	switch body := f.GetBody().(type) {
	case *pb.Frame_Probe:
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: n.prober.HandleProbe(body.Probe)}})
	case *pb.Frame_IndirectProbe:
		answer := n.prober.HandleIndirectProbe(ctx, body.IndirectProbe)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_ProbeReply{ProbeReply: answer}})
	case *pb.Frame_DocumentNotice:
		n.gossiper.HandleNotice(ctx, body.DocumentNotice)
	case *pb.Frame_DocumentPull:
		answer := n.gossiper.HandlePull(body.DocumentPull)
		reply(&pb.Frame{Id: f.GetId(), Body: &pb.Frame_Documents{Documents: answer}})
	case *pb.Frame_QuotaReport:
		n.quotas.reporter.Receive(ctx, f.GetFrom(), body.QuotaReport)
	case *pb.Frame_RolloutReport:
		n.handleRolloutReport(f, body.RolloutReport, reply)
	default:
		n.config.Logger.Warn("frame type is not known", "from", f.GetFrom())
	}
}

func (n *Node) selfMember() *pb.Member {
	return &pb.Member{
		Name: n.config.NodeName, AvailabilityZone: n.config.AvailabilityZone, Region: n.config.Region,
		PeerAddress: n.config.PeerAddress, CallerAddress: n.config.CallerAddress,
		State: pb.MemberState_MEMBER_STATE_ALIVE, Incarnation: 1,
		Capacity: uint32(max(0, n.config.CPUShare) * 1000), StartedAt: n.startedAt.UnixNano(),
	}
}

func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.settings.Load().SeedPeers),
		func(a string) bool { return a == n.config.PeerAddress })
}

// linkedPeers returns the peer addresses of the nodes to which this one sends documents, in random order.
func (n *Node) linkedPeers() []string {
	addresses := map[string]string{}
	var nodes []linker.Node
	for _, m := range n.prober.Members() {
		addresses[m.GetName()] = m.GetPeerAddress()
		if m.GetName() != n.config.NodeName {
			nodes = append(nodes, linker.Node{Name: m.GetName(), Zone: m.GetAvailabilityZone()})
		}
	}
	var linked []string
	self := linker.Node{Name: n.config.NodeName, Zone: n.config.AvailabilityZone}
	for _, name := range linker.ChoosePeersByZone(nodes, self) {
		linked = append(linked, addresses[name])
	}
	return shuffle(linked)
}

// shuffle puts addresses in random order and returns them.
func shuffle(addresses []string) []string {
	swap := func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] }
	rand.Shuffle(len(addresses), swap) //nolint:gosec // spreads load only
	return addresses
}

// currentFleet returns the state derived from the current view. The state is cached until the view changes, at most for
// maxFleetAge, because every request, every check whether this node should read the store and every call of a cold leaf
// needs it.
func (n *Node) currentFleet() *fleetState {
	generation, now := n.prober.Generation(), n.config.Clock.Now()
	if f := n.fleet.Load(); f != nil && f.generation == generation && now.Sub(f.derivedAt) < maxFleetAge {
		return f
	}
	serving, included := n.selector.CountServing(n.config.NodeName)
	inZone := n.selector.CountServingInZone(n.config.AvailabilityZone)
	if !included {
		serving++ // callers with an older answer of the directory still connect to this node
		inZone++
	}
	if n.prober.Joined() {
		n.joined.Store(true)
	}
	if now.Sub(n.startedAt) < unknownViewPeriod {
		serving, inZone = max(serving, assumedServingNodes), 0
	}
	f := &fleetState{generation: generation, derivedAt: now, serving: serving}
	if previous := n.fleet.Load(); previous != nil && previous.generation == generation {
		f.ranker, f.zones = previous.ranker, previous.zones
	} else {
		f.ranker, f.zones = ranker.New(n.prober.Members()), zonesByIP(n.prober.Members())
	}
	n.fleet.Store(f)
	n.balancer.SetLiveNodes(serving, inZone)
	return f
}

// viewIsUnknown reports whether there may be many nodes that this node has never heard of. All nodes may have started
// at the same time with seeds that are out of date, and each of them would take itself for the only one.
func (n *Node) viewIsUnknown(now time.Time) bool {
	return now.Sub(n.startedAt) < unknownViewPeriod || len(n.otherSeeds()) > 0 && !n.joined.Load()
}

// servingNodes returns the number of nodes that serve callers, this one included.
func (n *Node) servingNodes() int {
	return n.currentFleet().serving
}

// coldShare returns the share of a cold leaf's rate that this node may use. In a large fleet only a few nodes may call
// it. All nodes with the same view choose the same ones.
func (n *Node) coldShare(leafID string) float64 {
	if n.viewIsUnknown(n.config.Clock.Now()) {
		return coldRateShare / assumedServingNodes
	}
	if members := len(n.prober.Members()); members <= nodesPerColdLeaf {
		return coldRateShare / float64(max(1, members))
	}
	for _, m := range n.currentFleet().ranker.Leading(ranker.Key{Name: leafID}, nodesPerColdLeaf) {
		if m.GetName() == n.config.NodeName {
			return coldRateShare / nodesPerColdLeaf
		}
	}
	return 0
}

// leafSummary describes the leaves for the selector.
func (n *Node) leafSummary() selector.Leaves {
	s := n.balancer.Summary()
	return selector.Leaves{ByZone: s.ByZone, Slots: s.Slots}
}

// observeProcessorTime asks for helpers as long as this node serves callers and uses much of its processor time.
func (n *Node) observeProcessorTime(ctx context.Context) {
	var helpers scaler.Scaler
	usedBefore, at := processorTime(), n.config.Clock.Now()
	for sleeper.Sleep(ctx, n.config.Clock, processorTimePeriod); ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock,
		processorTimePeriod) {
		used, now := processorTime(), n.config.Clock.Now()
		share := (used - usedBefore).Seconds() / max(n.config.CPUShare*now.Sub(at).Seconds(), minProcessorSeconds)
		usedBefore, at = used, now
		if _, serves := n.selector.CountServing(n.config.NodeName); !serves {
			share = 0
		}
		asked := uint32(helpers.Observe(share, now))
		if before := n.helpers.Swap(asked); before != asked {
			n.config.Logger.Info("number of helpers changed", "helpers", asked, "before", before, "processor_share", share)
		}
	}
}

// processorTime returns the processor time that this process has used, or 0 if the system does not tell.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dialer.New(dialer.Config{Timeout: peerDialTimeout}).DialContext(ctx, "tcp", address)
}
