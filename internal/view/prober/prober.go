// Package prober keeps the view of live nodes. Candidates flow in from the platform's lagging list of
// VMs and from what other nodes say; probes decide who is alive; the list of live members flows out.
package prober

import (
	"context"
	"log/slog"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

type (
	// Messenger carries probes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// VMLister reads the platform's list of VMs.
	VMLister interface {
		VMs(ctx context.Context) ([]client.VM, error)
	}

	// Config holds what a Prober needs.
	Config struct {
		// Self describes this node. Its state and load are kept up to date by the Prober.
		Self      *pb.Member
		Messenger Messenger
		Lister    VMLister
		Clock     quartz.Clock
		Logger    *slog.Logger
		// ProbePeriod is the time between two rounds of probes.
		ProbePeriod time.Duration
		// ProbeTimeout bounds one probe.
		ProbeTimeout time.Duration
		// SuspicionPeriod is how long a node that does not answer stays in the view.
		SuspicionPeriod time.Duration
		// ListPeriod is the time between two readings of the VM list.
		ListPeriod time.Duration
		// SeedPeers are peer addresses known from the settings.
		SeedPeers []string
		// Load returns the requests in progress on this node.
		Load func() uint32
	}

	// Prober is the view of live nodes. It is safe for concurrent use.
	Prober struct {
		config Config
		mutex  sync.Mutex
		self   *pb.Member
		// peers has each other node by its peer address.
		peers map[string]*peer
		// members is sorted by name and holds only nodes that may be given work.
		members    []*pb.Member
		generation uint64
	}

	peer struct {
		address string
		member  *pb.Member
		// answeredAt is when the peer last answered; zero when it never did.
		answeredAt time.Time
	}
)

// New returns a Prober that knows only this node.
func New(c Config) *Prober {
	p := &Prober{config: c, self: c.Self, peers: map[string]*peer{}, generation: 1}
	p.self.State = pb.MemberState_MEMBER_STATE_ALIVE
	p.members = []*pb.Member{p.self}
	for _, a := range c.SeedPeers {
		p.peers[a] = &peer{address: a}
	}
	return p
}

// Run probes and reads the VM list until the context ends.
func (p *Prober) Run(ctx context.Context) {
	probes := p.config.Clock.NewTicker(p.config.ProbePeriod)
	defer probes.Stop()
	lists := p.config.Clock.NewTicker(p.config.ListPeriod)
	defer lists.Stop()
	p.readList(ctx)
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-lists.C:
			p.readList(ctx)
		case <-probes.C:
		}
	}
}

// Members returns the nodes that may be given work, this one included unless it is leaving. The slice
// must not be changed.
func (p *Prober) Members() []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.members
}

// Generation changes whenever the members change.
func (p *Prober) Generation() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generation
}

// Self returns what this node tells of itself.
func (p *Prober) Self() *pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.selfLocked()
}

// Leave tells the others that this node takes no new leaves and no new callers.
func (p *Prober) Leave() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.self = proto.CloneOf(p.self)
	p.self.State = pb.MemberState_MEMBER_STATE_LEAVING
	p.self.Incarnation++
	p.rebuildLocked()
}

// HandleProbe takes what the sender says and answers with this node's view.
func (p *Prober) HandleProbe(rumours []*pb.Member) *pb.ProbeReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range rumours {
		p.learnLocked(m)
	}
	p.rebuildLocked()
	return &pb.ProbeReply{Reached: true, Rumours: p.rumoursLocked()}
}

func (p *Prober) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	vms, err := p.config.Lister.VMs(ctx)
	if err != nil {
		p.config.Logger.Warn("VM list not read", "error", err.Error())
		return
	}
	_, port, _ := net.SplitHostPort(p.self.GetPeerAddress())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, v := range vms {
		p.addLocked(net.JoinHostPort(v.IP, port))
	}
}

func (p *Prober) addLocked(address string) {
	if address == p.self.GetPeerAddress() || p.peers[address] != nil {
		return
	}
	p.peers[address] = &peer{address: address}
}

// learnLocked takes a candidate that another node named; only a probe makes it a member.
func (p *Prober) learnLocked(m *pb.Member) {
	if m.GetPeerAddress() == "" {
		return
	}
	p.addLocked(m.GetPeerAddress())
	known := p.peers[m.GetPeerAddress()]
	if known == nil || known.member.GetName() != m.GetName() || m.GetIncarnation() <= known.member.GetIncarnation() {
		return
	}
	known.member = m
}

func (p *Prober) probeAll(ctx context.Context) {
	p.mutex.Lock()
	addresses := make([]string, 0, len(p.peers))
	for a := range p.peers {
		addresses = append(addresses, a)
	}
	rumours := p.rumoursLocked()
	p.mutex.Unlock()
	var probes sync.WaitGroup
	for _, a := range addresses {
		probes.Go(func() { p.probe(ctx, a, rumours) })
	}
	probes.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rebuildLocked()
}

func (p *Prober) probe(ctx context.Context, address string, rumours []*pb.Member) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{Rumours: rumours}}}
	reply, err := p.config.Messenger.Call(ctx, address, messenger.PlaneControl, frame)
	if err != nil || reply.GetProbeReply() == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range reply.GetProbeReply().GetRumours() {
		if m.GetPeerAddress() != address {
			p.learnLocked(m)
			continue
		}
		if known := p.peers[address]; known != nil {
			known.member = m
			known.answeredAt = p.config.Clock.Now()
		}
	}
}

// rumoursLocked returns this node and the live others.
func (p *Prober) rumoursLocked() []*pb.Member {
	rumours := []*pb.Member{p.selfLocked()}
	for _, m := range p.members {
		if m.GetName() != p.self.GetName() {
			rumours = append(rumours, m)
		}
	}
	return rumours
}

func (p *Prober) selfLocked() *pb.Member {
	self := proto.CloneOf(p.self)
	self.Load = p.config.Load()
	return self
}

// rebuildLocked computes the members; the generation changes only with the set of their names.
func (p *Prober) rebuildLocked() {
	now := p.config.Clock.Now()
	var members []*pb.Member
	if p.self.GetState() == pb.MemberState_MEMBER_STATE_ALIVE {
		members = append(members, p.self)
	}
	for _, k := range p.peers {
		alive := !k.answeredAt.IsZero() && now.Sub(k.answeredAt) < p.config.SuspicionPeriod
		if alive && k.member.GetState() == pb.MemberState_MEMBER_STATE_ALIVE {
			members = append(members, k.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].GetName() < members[j].GetName() })
	if !sameMembers(members, p.members) {
		p.generation++
		p.config.Logger.Info("view changed", "generation", p.generation, "members", len(members))
	}
	p.members = members
}

func sameMembers(a, b []*pb.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].GetName() != b[i].GetName() || a[i].GetPeerAddress() != b[i].GetPeerAddress() {
			return false
		}
	}
	return true
}
