package submitter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/submission/claimer"
	"github.com/magnoliastep/magnoliastep/internal/submission/grouper"
	"github.com/magnoliastep/magnoliastep/internal/submission/registrar"
	"github.com/magnoliastep/magnoliastep/internal/submission/submitter"
)

const (
	clockAllowance  = time.Second
	rosterOverlap   = 3 * time.Second
	listPeriod      = 500 * time.Millisecond
	callerClockSkew = 400 * time.Millisecond
)

type (
	// fleet is several nodes and the leaves of one service in virtual time, with network partitions, pauses,
	// restarts and lost answers.
	fleet struct {
		mutex    sync.Mutex
		random   *rand.Rand
		index    *indexer.Index
		asserter *asserter.Asserter
		nodes    map[string]*node
		listed   []string
		// side assigns each node to a side of a network partition; nodes on different sides cannot reach each other.
		side map[string]int
		// runs counts the runs of each id at the leaves.
		runs map[string]int
		// answerLossShare is the share of calls whose answer is lost, shedShare that of calls rejected as not run.
		answerLossShare, shedShare float64
	}

	node struct {
		fleet     *fleet
		member    *pb.Member
		alive     bool
		resumed   chan struct{} // closed while the node runs, open while it is paused
		registrar *registrar.Registrar
		grouper   *grouper.Grouper
		submitter *submitter.Submitter
	}
)

func newFleet(seed uint64, count int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 5)), asserter: asserter.New(asserter.Config{}), nodes: map[string]*node{},
		side: map[string]int{}, runs: map[string]int{},
	}
	service := &pb.Service{Name: "desk", PartitionCount: 1, Leaves: []*pb.Leaf{
		{Name: "leaf-0", AvailabilityZone: "zone-0", Slots: 2, Partitions: []uint32{0}},
		{Name: "leaf-1", AvailabilityZone: "zone-0", Slots: 2, Partitions: []uint32{0}},
	}}
	class := &pb.Class{
		Name: "book", Service: "desk", Kind: pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT, Worth: 1,
		Lateness: durationpb.New(3 * time.Second),
	}
	f.index = indexer.New([]*pb.ConfigObject{
		{Spec: &pb.ConfigObject_Service{Service: service}},
		{Spec: &pb.ConfigObject_Class{Class: class}},
		{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{Name: "zone-0"}}},
	})
	for i := range count {
		f.start(fmt.Sprintf("node-%d", i))
	}
	return f
}

// start starts a new incarnation of the node, without the state of the one before.
func (f *fleet) start(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old := f.nodes[name]; old != nil {
		old.alive = false
	}
	n := &node{fleet: f, alive: true, resumed: make(chan struct{}), member: &pb.Member{
		Name: name, AvailabilityZone: fmt.Sprintf("zone-%d", int(name[len(name)-1])%3),
	}}
	close(n.resumed)
	clock := quartz.NewReal()
	n.grouper = grouper.New(grouper.Config{View: n, Clock: clock, RosterOverlap: rosterOverlap})
	n.registrar = registrar.New(registrar.Config{
		Clock: clock, Groups: n.grouper, Asserter: f.asserter, MaxClockSkew: clockAllowance, KeepFor: time.Minute,
	})
	n.submitter = submitter.New(submitter.Config{
		Source: f, Owners: n, Statuses: f, Router: n, Clock: clock, MaxClockSkew: clockAllowance,
		Claimer:  claimer.New(claimer.Config{Peers: n, Groups: n.grouper, Timeout: 100 * time.Millisecond}),
		NewToken: uuid.NewString,
	})
	f.nodes[name] = n
	if !slices.Contains(f.listed, name) {
		f.listed = append(f.listed, name)
	}
}

// remove stops the node and removes it from the platform's list of VMs.
func (f *fleet) remove(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes[name].alive = false
	f.listed = slices.DeleteFunc(f.listed, func(n string) bool { return n == name })
}

func (f *fleet) pause(name string, d time.Duration) {
	f.mutex.Lock()
	n := f.nodes[name]
	resumed := make(chan struct{})
	n.resumed = resumed
	f.mutex.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}

// publish passes the list of VMs to every running node. A node that is not ready then adopts the roster of another.
func (f *fleet) publish() {
	f.mutex.Lock()
	var listed []*pb.Member
	for _, name := range f.listed {
		listed = append(listed, f.nodes[name].member)
	}
	nodes := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		if n.alive && n.running() {
			nodes = append(nodes, n)
		}
	}
	f.mutex.Unlock()
	for _, n := range nodes {
		n.grouper.ObserveList(listed)
		for _, m := range n.Members() {
			f.mutex.Lock()
			o := f.nodes[m.GetName()]
			f.mutex.Unlock()
			if !n.grouper.Ready() && o != n {
				n.grouper.AdoptRoster(o.grouper.Roster())
			}
		}
	}
}

func (n *node) running() bool {
	select {
	case <-n.resumed:
		return true
	default:
		return false
	}
}

// waitUntilRunning blocks while the node is paused and returns false when the node is dead.
func (n *node) waitUntilRunning() bool {
	n.fleet.mutex.Lock()
	resumed := n.resumed
	n.fleet.mutex.Unlock()
	<-resumed
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	return n.alive
}

// deliver delays a message from one node to another and returns the receiver and whether the message arrives.
func (f *fleet) deliver(from *node, to string) (*node, bool) {
	if !from.waitUntilRunning() {
		return nil, false
	}
	f.mutex.Lock()
	target := f.nodes[to]
	reached := target != nil && target.alive && f.side[from.member.GetName()] == f.side[to] && f.random.Float64() > 0.02
	delay := time.Duration(f.random.IntN(4000)) * time.Microsecond
	f.mutex.Unlock()
	if !reached {
		return nil, false
	}
	time.Sleep(delay)
	return target, target.waitUntilRunning()
}

// Members implements grouper.View. It returns the nodes that this node reaches now.
func (n *node) Members() []*pb.Member {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	var members []*pb.Member
	for name, o := range n.fleet.nodes {
		if o == n || (o.alive && o.running() && n.fleet.side[name] == n.fleet.side[n.member.GetName()]) {
			members = append(members, o.member)
		}
	}
	return members
}

// Claim implements claimer.Peers.
func (n *node) Claim(ctx context.Context, w *pb.Member, c *pb.SubmitClaim) (*pb.SubmitClaimReply, error) {
	target, ok := n.fleet.deliver(n, w.GetName())
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := target.registrar.Claim(c)
	if _, ok := n.fleet.deliver(target, n.member.GetName()); !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, nil
}

// Settle implements claimer.Peers.
func (n *node) Settle(_ context.Context, w *pb.Member, s *pb.SubmitSettle) {
	if target, ok := n.fleet.deliver(n, w.GetName()); ok {
		target.registrar.Settle(s)
	}
}

// Submit implements submitter.Router. It delivers the call to the owner and simulates the run at the leaf.
func (n *node) Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error) {
	f := n.fleet
	target, ok := f.deliver(n, owner.GetName())
	if !ok {
		return nil, messenger.ErrNotSent
	}
	if time.Now().After(c.GetNotAfter().AsTime()) {
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, RequestId: c.GetRequestId()}, nil
	}
	f.mutex.Lock()
	shed, lost := f.random.Float64() < f.shedShare, f.random.Float64() < f.answerLossShare
	if !shed {
		f.runs[c.GetRequestId()]++
	}
	work := time.Duration(f.random.IntN(30)) * time.Millisecond
	f.mutex.Unlock()
	time.Sleep(work)
	if _, ok := f.deliver(target, n.member.GetName()); !ok || lost || ctx.Err() != nil {
		return nil, messenger.ErrPeerLost
	}
	if shed {
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, RequestId: c.GetRequestId()}, nil
	}
	return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_OK, RequestId: c.GetRequestId(), Payload: "booked"}, nil
}

// Owner implements submitter.Owners.
func (n *node) Owner(leaf string) *pb.Member {
	members := n.Members()
	slices.SortFunc(members, func(a, b *pb.Member) int { return len(a.GetName()) - len(b.GetName()) })
	return members[int(leaf[len(leaf)-1])%len(members)]
}

// Index implements submitter.ConfigSource.
func (f *fleet) Index() *indexer.Index { return f.index }

// Status implements submitter.Statuses.
func (f *fleet) Status(leaf string) *pb.LeafStatus {
	return &pb.LeafStatus{Leaf: leaf, Reachable: true, Snapshots: []*pb.SnapshotHeld{
		{Snapshot: 1, PartitionCount: 1, Partitions: []uint32{0}},
	}}
}

// newID returns a UUIDv7 created by a caller whose clock differs by skew.
func newID(skew time.Duration, random *rand.Rand) string {
	milliseconds := uint64(time.Now().Add(skew).UnixMilli())
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(random.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
