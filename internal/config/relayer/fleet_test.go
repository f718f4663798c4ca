package relayer_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/config/relayer"
	"github.com/magnoliastep/magnoliastep/internal/config/repairer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/view/lister"
)

const (
	oneWayDelay    = time.Millisecond
	gossipInterval = 500 * time.Millisecond
	zones          = 3
)

type (
	// fleet runs the configuration components of many nodes on virtual time. All nodes see the same, current
	// view. In each gossip interval, a node exchanges only its configuration digest with a random other node.
	fleet struct {
		store   *store
		nodes   []*node
		mutex   sync.Mutex
		random  *rand.Rand
		running sync.WaitGroup
		cancel  context.CancelFunc
		bytes   atomic.Uint64
		// blocked reports whether messages from one node to another are lost.
		blocked func(from, to int) bool
	}

	node struct {
		fleet    *fleet
		index    int
		member   *pb.Member
		keeper   *keeper.Keeper
		relayer  *relayer.Relayer
		repairer *repairer.Repairer
		// A node that is down neither sends nor receives. It leaves the view of the others only when it is dead.
		down, dead atomic.Bool
		// A node that is cutOff cannot reach the platform.
		cutOff atomic.Bool
	}

	// store simulates the platform's object store in memory.
	store struct {
		mutex    sync.Mutex
		objects  map[string]client.Object
		revision int64
		changed  chan struct{}
		outage   bool
		calls    atomic.Int64
	}

	// nodeStore is the store as seen by one node.
	nodeStore struct {
		*store
		node *node
	}
)

var errLost = errors.New("lost")

func newFleet(ctx context.Context, size int, seed uint64) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		store:  &store{objects: map[string]client.Object{}, changed: make(chan struct{})},
		random: rand.New(rand.NewPCG(seed, 1)), cancel: cancel,
		blocked: func(int, int) bool { return false },
	}
	for i := range size {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		n.run(ctx)
	}
	return f
}

func (f *fleet) newNode(i int) *node {
	n := &node{fleet: f, index: i, member: &pb.Member{
		Name: fmt.Sprintf("node-%04d", i), PeerAddress: fmt.Sprint(i), AvailabilityZone: fmt.Sprint("zone-", i%zones),
	}}
	random := rand.New(rand.NewPCG(uint64(i), 3))
	n.keeper = keeper.New(keeper.Config{Asserter: asserter.New(asserter.Config{Fatal: true})})
	clock := quartz.NewReal()
	n.repairer = repairer.New(repairer.Config{
		Messenger: n, Keeper: n.keeper, View: n, Clock: clock, RepairPeriod: 2 * time.Second,
	})
	vms := lister.New(lister.Config{Clock: clock, Random: random, Period: time.Second})
	n.relayer = relayer.New(relayer.Config{
		NodeName: n.member.GetName(), AvailabilityZone: n.member.GetAvailabilityZone(), Messenger: n, View: n,
		Keeper: n.keeper, LeavingVMs: vms, Clock: clock, Logger: slog.New(slog.DiscardHandler), Random: random,
	})
	return n
}

func (n *node) run(ctx context.Context) {
	w := watcher.New(watcher.Config{
		Store: nodeStore{n.fleet.store, n}, Keeper: n.keeper, Clock: quartz.NewReal(),
		Logger: slog.New(slog.DiscardHandler), Active: n.relayer.IsRelay,
	})
	for _, run := range []func(context.Context){w.Run, n.repairer.Run, n.relayer.Run, n.gossip} {
		n.fleet.running.Go(func() { run(ctx) })
	}
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
	time.Sleep(time.Minute) // lets the calls in flight end
}

func (n *node) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		n.fleet.mutex.Lock()
		peer := n.fleet.nodes[n.fleet.random.IntN(len(n.fleet.nodes))]
		n.fleet.mutex.Unlock()
		if n.fleet.canReach(n, peer) && n.fleet.canReach(peer, n) {
			peer.repairer.ObserveDigest(n.member.GetName(), n.keeper.Digest())
			n.repairer.ObserveDigest(peer.member.GetName(), peer.keeper.Digest())
		}
		time.Sleep(gossipInterval)
	}
}

func (f *fleet) canReach(from, to *node) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !from.down.Load() && !to.down.Load() && !f.blocked(from.index, to.index)
}

// Members implements relayer.View.
func (n *node) Members() []*pb.Member {
	var members []*pb.Member
	for _, o := range n.fleet.nodes {
		if !o.dead.Load() {
			members = append(members, o.member)
		}
	}
	return members
}

// Joined implements relayer.View.
func (n *node) Joined() bool { return true }

// Address implements repairer.View.
func (n *node) Address(name string) string {
	for _, o := range n.fleet.nodes {
		if o.member.GetName() == name {
			return o.member.GetPeerAddress()
		}
	}
	return ""
}

// Call implements relayer.Messenger and repairer.Messenger.
func (n *node) Call(ctx context.Context, address string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	var index int
	_, _ = fmt.Sscan(address, &index)
	peer := n.fleet.nodes[index]
	f.Id, f.From, f.ConfigDigest = 1<<20, n.member.GetName(), n.keeper.Digest()
	n.fleet.bytes.Add(uint64(proto.Size(f) + 2))
	time.Sleep(oneWayDelay)
	if !n.fleet.canReach(n, peer) {
		<-ctx.Done()
		return nil, errLost
	}
	delta := peer.relayer.HandlePull(ctx, f.GetConfigPull(), f.GetConfigDigest())
	reply := &pb.Frame{
		Id: f.Id, From: peer.member.GetName(), ConfigDigest: peer.keeper.Digest(),
		Body: &pb.Frame_ConfigDelta{ConfigDelta: delta},
	}
	n.fleet.bytes.Add(uint64(proto.Size(reply) + 2))
	time.Sleep(oneWayDelay)
	if !n.fleet.canReach(peer, n) || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errLost
	}
	return reply, nil
}

// put stores a zone object and returns its version.
func (s *store) put(name string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	value, _ := protojson.Marshal(zoneObject(name, 0))
	s.objects[name] = client.Object{Key: keyOf(name), Version: s.revision, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) setOutage(outage bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outage = outage
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) read(after int64, down bool) (client.Listing, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.outage || down {
		return client.Listing{}, nil, errLost
	}
	listing := client.Listing{Revision: s.revision}
	for _, o := range s.objects {
		if o.Version > after {
			listing.Objects = append(listing.Objects, o)
		}
	}
	return listing, s.changed, nil
}

// simulateCall counts a call to the platform and waits for its latency.
func (s *store) simulateCall() {
	s.calls.Add(1)
	time.Sleep(3 * time.Millisecond)
}

func (s nodeStore) unreachable() bool { return s.node.down.Load() || s.node.cutOff.Load() }

// List implements watcher.Store.
func (s nodeStore) List(context.Context, string) (client.Listing, error) {
	s.simulateCall()
	listing, _, err := s.read(0, s.unreachable())
	return listing, err
}

// Watch implements watcher.Store.
func (s nodeStore) Watch(ctx context.Context, after int64, wait time.Duration) (client.Listing, error) {
	s.simulateCall()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		listing, changed, err := s.read(after, s.unreachable())
		if err != nil || len(listing.Objects) > 0 || listing.Revision < after {
			return listing, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return listing, nil
		case <-ctx.Done():
			return client.Listing{}, ctx.Err()
		}
	}
}

func zoneObject(name string, version int64) *pb.ConfigObject {
	return &pb.ConfigObject{Version: version, Spec: &pb.ConfigObject_AvailabilityZone{
		AvailabilityZone: &pb.AvailabilityZone{Name: name, Region: "region"},
	}}
}

func configOf(name string, version int64) []*pb.ConfigObject {
	return []*pb.ConfigObject{zoneObject(name, version)}
}

func keyOf(name string) string { return keyer.Of(zoneObject(name, 0)) }
