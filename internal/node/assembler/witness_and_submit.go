package assembler

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/submission/claimer"
	"github.com/magnoliastep/magnoliastep/internal/submission/grouper"
	"github.com/magnoliastep/magnoliastep/internal/submission/recorder"
	"github.com/magnoliastep/magnoliastep/internal/submission/registrar"
	"github.com/magnoliastep/magnoliastep/internal/submission/submitter"
)

const (
	outcomeRetention     = 10 * time.Minute
	maxClockSkew         = time.Second
	witnessRosterOverlap = 2 * time.Minute
	claimTimeout         = 250 * time.Millisecond
	rosterPullPeriod     = 500 * time.Millisecond
)

type (
	// observedVMLister lists the platform's VMs and also reports each list to observe, without the VMs of leaves.
	// Which VMs run leaves is known from the configuration; a list read before there is one is kept until then.
	observedVMLister struct {
		store    Store
		keeper   *keeper.Keeper
		peerPort string
		observe  func(vms []*pb.Member)
		mutex    sync.Mutex
		// pending is the last list that was not reported yet because there was no configuration; nil when there is none.
		pending []client.VM
	}
)

// VMs implements lister.VMLister.
func (l *observedVMLister) VMs(ctx context.Context) ([]client.VM, error) {
	vms, err := l.store.VMs(ctx)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	l.pending = vms
	l.mutex.Unlock()
	l.deliverPending()
	return vms, nil
}

// deliverPending reports the pending list once, if there is a configuration.
func (l *observedVMLister) deliverPending() {
	index := l.keeper.Index()
	if index.LeafCount() == 0 {
		return
	}
	l.mutex.Lock()
	vms := l.pending
	l.pending = nil
	l.mutex.Unlock()
	if vms == nil {
		return
	}
	members := make([]*pb.Member, 0, len(vms))
	for _, v := range vms {
		if index.IsLeafIP(v.IP) {
			continue
		}
		members = append(members, &pb.Member{
			Name: v.Name, AvailabilityZone: v.AvailabilityZone, PeerAddress: net.JoinHostPort(v.IP, l.peerPort),
		})
	}
	l.observe(members)
}

// newObservedVMLister returns a lister of the platform's VMs that also passes each list to the grouper.
func (n *Node) newObservedVMLister() *observedVMLister {
	_, port, _ := net.SplitHostPort(n.config.Settings.GetPeerAddress())
	l := &observedVMLister{
		store: n.config.Store, keeper: n.keeper, peerPort: port,
		observe: func(vms []*pb.Member) { n.grouper.ObserveList(vms) },
	}
	n.keeper.AddObserver(func([]*pb.ConfigObject) { l.deliverPending() })
	return l
}

// assembleWitness constructs the witness of non-idempotent requests: its groups and the record of claims.
func (n *Node) assembleWitness() {
	n.grouper = grouper.New(grouper.Config{View: n.prober, Clock: n.config.Clock, RosterOverlap: witnessRosterOverlap})
	n.registrar = registrar.New(registrar.Config{
		Clock: n.config.Clock, Groups: n.grouper, Asserter: n.asserter,
		MaxClockSkew: maxClockSkew, KeepFor: outcomeRetention,
	})
}

// assembleSubmitter constructs the component that runs non-idempotent requests.
func (n *Node) assembleSubmitter() {
	n.submitter = submitter.New(submitter.Config{
		Source: n.keeper, Owners: n.placer, Statuses: n.tracker, Router: n.router, Clock: n.config.Clock,
		Claimer:  claimer.New(claimer.Config{Peers: n.router, Groups: n.grouper, Timeout: claimTimeout}),
		Recorder: recorder.New(recorder.Config{Metrics: n.metrics}), MaxClockSkew: maxClockSkew,
		NewToken: func() string { return n.config.Settings.GetNodeName() + "/" + uuid.NewString() },
	})
}

// pullRosterUntilReady asks the other nodes for their witness roster until this node knows all nodes.
func (n *Node) pullRosterUntilReady(ctx context.Context) {
	ticker := n.config.Clock.NewTicker(rosterPullPeriod)
	defer ticker.Stop()
	for !n.grouper.Ready() {
		for _, m := range n.prober.Members() {
			if m.GetName() != n.config.Settings.GetNodeName() {
				n.pullRoster(ctx, m)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) pullRoster(ctx context.Context, m *pb.Member) {
	ctx, cancel := context.WithTimeout(ctx, rosterPullPeriod)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_WitnessRosterPull{WitnessRosterPull: &pb.WitnessRosterPull{}}}
	reply, err := n.messenger.Call(ctx, m.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		return
	}
	n.grouper.AdoptRoster(reply.GetWitnessRoster())
}
