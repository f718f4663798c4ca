package elector_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/elector"
	"github.com/magnoliastep/magnoliastep/internal/records/gossiper"
	"github.com/magnoliastep/magnoliastep/internal/records/monitor"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	playedKind = "config"
	zonesCount = 3
	// playedChangeTime is the shortest time of any deployment within which a change must be in force.
	playedChangeTime = 3 * time.Second
	// maxConfirmedAge is the age of the last confirmation above which a node denies nothing any more.
	maxConfirmedAge = playedChangeTime * 8 / 10
	// maxCallsPerSecond bounds the calls of all nodes to the store for one kind.
	maxCallsPerSecond = 50
	frameDelay        = 5 * time.Millisecond
	overdueAge        = wait + 300*time.Millisecond
	// watchTimeout is how much longer than its wait a watch takes if the store does not answer.
	watchTimeout = time.Second
)

const (
	running nodeState = iota
	killed
	silent
	// cutOff nodes reach the store and no other node.
	cutOff
)

const (
	answering storeState = iota
	refusing
	mute
)

type (
	nodeState  int
	storeState int

	// playedFleet is a fleet of nodes that read a store, in virtual time. Their view does not change: no node learns of
	// the loss of another.
	playedFleet struct {
		members []*pb.Member
		ranker  *ranker.Ranker
		nodes   map[string]*playedNode
		mutex   sync.Mutex
		states  map[string]nodeState
		store   storeState
		// turnedAway has the nodes that the store refuses while it answers others.
		turnedAway map[string]bool
		calls      int
	}

	playedNode struct {
		name     string
		fleet    *playedFleet
		gossiper *gossiper.Gossiper
		replica  *replicator.Replicator
		monitor  *monitor.Monitor
		elector  *elector.Elector
	}

	announcingMonitor struct {
		*monitor.Monitor
		announce func()
	}

	announcingReplica struct {
		*replicator.Replicator
		announce func()
	}
)

var errUnavailable = errors.New("store is not available")

func (a announcingMonitor) SetReading(kind string, reading bool) {
	a.Monitor.SetReading(kind, reading)
	if reading {
		a.announce()
	}
}

func (a announcingReplica) ApplyChanges(kind string, after replicator.Point, documents []replicator.Document,
	at replicator.Point, confirmedAt time.Time,
) bool {
	defer a.announce()
	return a.Replicator.ApplyChanges(kind, after, documents, at, confirmedAt)
}

// playFleet runs a fleet of nodes while scenario changes it. All nodes have just been confirmed.
func playFleet(t *testing.T, nodes int, seed uint64, scenario func(is *is.I, f *playedFleet, r *rand.Rand),
) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second) // lets the goroutines end
		}()
		f := &playedFleet{
			members: fleet(nodes, zonesCount), nodes: map[string]*playedNode{}, states: map[string]nodeState{},
			turnedAway: map[string]bool{},
		}
		f.ranker = ranker.New(f.members)
		for _, m := range f.members {
			f.nodes[m.GetName()] = newPlayedNode(f, m)
		}
		for _, n := range f.nodes {
			n.start(ctx)
		}
		scenario(is.New(t), f, rand.New(rand.NewPCG(seed, uint64(nodes))))
	})
}

func newPlayedNode(f *playedFleet, m *pb.Member) *playedNode {
	n := &playedNode{name: m.GetName(), fleet: f}
	p := patcher.New()
	n.replica = replicator.New(replicator.Config{
		Clock: quartz.NewReal(), OnChange: func(d replicator.Document, _ time.Time) { p.Record(d) },
	})
	n.monitor = monitor.New(monitor.Config{Clock: quartz.NewReal()})
	n.elector = elector.New(elector.Config{NodeName: m.GetName(), AvailabilityZone: m.GetAvailabilityZone()})
	n.gossiper = gossiper.New(gossiper.Config{
		Kinds: []string{playedKind}, PeerAddress: n.name, Messenger: n, Replica: n.replica, Patcher: p,
		Monitor: n.monitor, Overdue: func(string) bool { return n.confirmedAgo() > overdueAge },
		Peers:          n.peers,
		ForwardChanges: func() bool { return !linker.FullMesh(len(f.members)) },
		Clock:          quartz.NewReal(), OnDocuments: func(gossiper.Transfer) {}, Logger: discard(),
	})
	n.replica.ApplyList(playedKind, nil, replicator.Point{Revision: 1}, time.Now())
	return n
}

func (n *playedNode) start(ctx context.Context) {
	w := watcher.New(watcher.Config{
		Kind: playedKind, Store: n, Replica: announcingReplica{n.replica, n.gossiper.Announce}, Wait: wait,
		ShouldRead: n.shouldRead, Monitor: announcingMonitor{n.monitor, n.gossiper.Announce},
		Clock: quartz.NewReal(), Logger: discard(),
	})
	go w.Run(ctx)
	go n.gossiper.Run(ctx)
}

func (n *playedNode) shouldRead() bool {
	return n.fleet.reachesStore(n.name) && n.elector.ShouldRead(elector.Situation{
		Kind: playedKind, Ranker: n.fleet.ranker, Wait: wait, ChangeTime: playedChangeTime,
		ConfirmedAgo: n.confirmedAgo(), AskedAgo: time.Since(n.monitor.OthersAskedAt(playedKind)),
	})
}

func (n *playedNode) confirmedAgo() time.Duration {
	return time.Since(n.replica.Position(playedKind).ConfirmedAt)
}

func (n *playedNode) peers() []string {
	var nodes []linker.Node
	self := linker.Node{}
	for _, m := range n.fleet.members {
		node := linker.Node{Name: m.GetName(), Zone: m.GetAvailabilityZone()}
		if m.GetName() == n.name {
			self = node
		}
		nodes = append(nodes, node)
	}
	peers := linker.ChoosePeersByZone(nodes, self)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// Send implements gossiper.Messenger.
func (n *playedNode) Send(_ context.Context, to string, _ messenger.Plane, f *pb.Frame) error {
	go func() {
		time.Sleep(frameDelay)
		if n.fleet.state(n.name) == running && n.fleet.state(to) == running {
			n.fleet.nodes[to].gossiper.HandleNotice(context.Background(), f.GetDocumentNotice())
		}
	}()
	return nil
}

// Call implements gossiper.Messenger.
func (n *playedNode) Call(ctx context.Context, to string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	time.Sleep(2 * frameDelay)
	switch {
	case n.fleet.state(to) == killed || n.fleet.state(n.name) == killed:
		return nil, errors.New("connection refused")
	case n.fleet.state(to) != running || n.fleet.state(n.name) != running:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := n.fleet.nodes[to].gossiper.HandlePull(f.GetDocumentPull())
	return &pb.Frame{From: to, Body: &pb.Frame_Documents{Documents: answer}}, nil
}

// List implements watcher.Store. A node that has documents does not list them.
func (n *playedNode) List(context.Context, string) ([]replicator.Document, replicator.Point, error) {
	return nil, replicator.Point{}, errUnavailable
}

// Watch implements watcher.Store. There are no changes.
func (n *playedNode) Watch(ctx context.Context, _ string, after int64, wait time.Duration, _ int64,
) ([]replicator.Document, replicator.Point, error) {
	switch n.fleet.countCall(n.name) {
	case refusing:
		time.Sleep(frameDelay)
		return nil, replicator.Point{}, errUnavailable
	case mute:
		sleep(ctx, wait+watchTimeout)
		return nil, replicator.Point{}, errUnavailable
	}
	sleep(ctx, wait+2*frameDelay)
	if !n.fleet.reachesStore(n.name) || ctx.Err() != nil {
		return nil, replicator.Point{}, errUnavailable
	}
	return nil, replicator.Point{Revision: after}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (f *playedFleet) state(name string) nodeState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.states[name]
}

// reachesStore reports whether a node runs and has a path to the store.
func (f *playedFleet) reachesStore(name string) bool {
	state := f.state(name)
	return state == running || state == cutOff
}

// countCall counts a call of a node to the store and returns how the store behaves towards it.
func (f *playedFleet) countCall(name string) storeState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.turnedAway[name] {
		return refusing
	}
	return f.store
}

func (f *playedFleet) setStore(s storeState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.store = s
}

// turnAway makes the store refuse the calls of nodes.
func (f *playedFleet) turnAway(names ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, name := range names {
		f.turnedAway[name] = true
	}
}

// lose changes the state of nodes.
func (f *playedFleet) lose(names []string, how nodeState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, name := range names {
		f.states[name] = how
	}
}

// takeCalls returns the number of calls since it was last called.
func (f *playedFleet) takeCalls() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	calls := f.calls
	f.calls = 0
	return calls
}

// observe samples the fleet for a time. It returns the greatest age of a confirmation of a running node and the
// greatest number of calls to the store in a second.
func (f *playedFleet) observe(d time.Duration) (oldest time.Duration, mostCalls int) {
	f.takeCalls()
	for elapsed := time.Duration(0); elapsed < d; elapsed += time.Second {
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			oldest = max(oldest, f.oldestConfirmation())
		}
		mostCalls = max(mostCalls, f.takeCalls())
	}
	return oldest, mostCalls
}

func (f *playedFleet) oldestConfirmation() time.Duration {
	oldest := time.Duration(0)
	for name, n := range f.nodes {
		if f.reachesStore(name) {
			oldest = max(oldest, n.confirmedAgo())
		}
	}
	return oldest
}

// readOrder returns the names of the nodes in the order of their turns at the store.
func (f *playedFleet) readOrder() []string {
	var names []string
	for _, m := range ranker.Rank(ranker.Key{Name: "store-reader/" + playedKind}, f.members) {
		names = append(names, m.GetName())
	}
	return names
}

// inZone returns the names of the nodes of a zone.
func (f *playedFleet) inZone(zone string) []string {
	var names []string
	for _, m := range f.members {
		if m.GetAvailabilityZone() == zone {
			names = append(names, m.GetName())
		}
	}
	return names
}

// checkLoss takes nodes away at a random time, checks that those left are confirmed in time, and returns the greatest
// number of their calls in a second.
func (f *playedFleet) checkLoss(t *testing.T, is *is.I, r *rand.Rand, names []string, how nodeState) int {
	time.Sleep(2*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
	f.lose(names, how)
	oldest, calls := f.observe(5 * time.Second)
	t.Logf("oldest confirmation %v, at most %d calls a second", oldest, calls)
	is.True(oldest < maxConfirmedAge)
	return calls
}
