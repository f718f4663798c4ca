package assembler

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliastep/magnoliastep/internal/booking/claimer"
	"github.com/magnoliastep/magnoliastep/internal/booking/grouper"
	"github.com/magnoliastep/magnoliastep/internal/booking/recorder"
	"github.com/magnoliastep/magnoliastep/internal/booking/registrar"
	"github.com/magnoliastep/magnoliastep/internal/booking/submitter"
	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	outcomeKeepFor     = 10 * time.Minute
	clockAllowance     = time.Second
	witnessGroupSettle = 2 * time.Minute
	claimTimeout       = 250 * time.Millisecond
	rosterPullPeriod   = 500 * time.Millisecond
)

type (
	// listTee passes each list of VMs on to observe, without the VMs of leaves. A list that comes before the
	// configuration, which tells what VMs these are, is kept until then.
	listTee struct {
		store   Store
		source  *keeper.Keeper
		port    string
		observe func(vms []*pb.Member)
		mutex   sync.Mutex
		// pending is a list that came before the configuration; nil otherwise.
		pending []client.VM
	}
)

// VMs implements lister.VMLister.
func (l *listTee) VMs(ctx context.Context) ([]client.VM, error) {
	vms, err := l.store.VMs(ctx)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	l.pending = vms
	l.mutex.Unlock()
	l.pass()
	return vms, nil
}

// pass passes the pending list on, once, if there is a configuration.
func (l *listTee) pass() {
	index := l.source.Index()
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
			Name: v.Name, AvailabilityZone: v.AvailabilityZone, PeerAddress: net.JoinHostPort(v.IP, l.port),
		})
	}
	l.observe(members)
}

// newListTee returns the platform's list of VMs, from which the witnesses learn too.
func (n *Node) newListTee() *listTee {
	_, port, _ := net.SplitHostPort(n.config.Settings.GetPeerAddress())
	l := &listTee{
		store: n.config.Store, source: n.keeper, port: port, observe: func(vms []*pb.Member) { n.grouper.ObserveList(vms) },
	}
	n.keeper.Observe(func([]*pb.ConfigObject) { l.pass() })
	return l
}

// assembleWitness builds the memory of non-idempotent requests.
func (n *Node) assembleWitness() {
	n.grouper = grouper.New(grouper.Config{View: n.prober, Clock: n.config.Clock, Settle: witnessGroupSettle})
	n.registrar = registrar.New(registrar.Config{
		Clock: n.config.Clock, Groups: n.grouper, Asserter: n.asserter,
		ClockAllowance: clockAllowance, KeepFor: outcomeKeepFor,
	})
}

// assembleSubmitter builds what runs non-idempotent requests.
func (n *Node) assembleSubmitter() {
	n.submitter = submitter.New(submitter.Config{
		Source: n.keeper, Owners: n.placer, Statuses: n.tracker, Router: n.router, Clock: n.config.Clock,
		Claimer:  claimer.New(claimer.Config{Peers: n.router, Groups: n.grouper, Timeout: claimTimeout}),
		Recorder: recorder.New(recorder.Config{Metrics: n.metrics}), ClockAllowance: clockAllowance,
		NewToken: func() string { return n.config.Settings.GetNodeName() + "/" + uuid.NewString() },
	})
}

// learnRoster asks the other nodes for their roster until this node knows the fleet.
func (n *Node) learnRoster(ctx context.Context) {
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
	n.grouper.Adopt(reply.GetWitnessRoster())
}
