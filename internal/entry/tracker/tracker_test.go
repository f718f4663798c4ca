package tracker_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/publisher"
	"github.com/magnoliastep/magnoliastep/internal/entry/tracker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	period = 500 * time.Millisecond
)

type (
	// cluster runs the trackers and publishers of many nodes on the virtual clock of synctest.
	cluster struct {
		mutex   sync.Mutex
		nodes   []*node
		owners  map[string]int
		running sync.WaitGroup
		cancel  context.CancelFunc
		bytes   atomic.Uint64
		// version holds the version of each leaf; an increment changes its status so that it is published.
		version map[string]int
	}

	node struct {
		cluster   *cluster
		member    *pb.Member
		publisher *publisher.Publisher
		tracker   *tracker.Tracker
		dead      atomic.Bool
	}
)

// newCluster starts the nodes in region home, except that those whose index is in far are in region far.
func newCluster(ctx context.Context, nodes, leaves int, far ...int) *cluster {
	ctx, cancel := context.WithCancel(ctx)
	r := &cluster{owners: map[string]int{}, version: map[string]int{}, cancel: cancel}
	for l := range leaves {
		r.owners[fmt.Sprintf("leaf-%04d", l)] = l % nodes
	}
	for i := range nodes {
		n := &node{cluster: r, member: &pb.Member{
			Name: fmt.Sprintf("node-%04d", i), PeerAddress: fmt.Sprint(i), Region: "home",
		}}
		if slices.Contains(far, i) {
			n.member.Region = "far"
		}
		clock := quartz.NewReal()
		n.publisher = publisher.New(publisher.Config{Local: n, Clock: clock, Period: period, Epoch: int64(i + 1)})
		n.tracker = tracker.New(tracker.Config{
			NodeName: n.member.GetName(), Region: "home", Messenger: n, View: r, Owners: r, Local: n,
			Clock: clock, Period: period,
		})
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		r.running.Go(func() { n.publisher.Run(ctx) })
		r.running.Go(func() { n.tracker.Run(ctx) })
	}
	return r
}

func (r *cluster) stop() {
	r.cancel()
	r.running.Wait()
	time.Sleep(2 * time.Minute) // lets pulls in flight end
}

// Members implements tracker.View.
func (r *cluster) Members() []*pb.Member {
	var members []*pb.Member
	for _, n := range r.nodes {
		if !n.dead.Load() {
			members = append(members, n.member)
		}
	}
	return members
}

// Owner implements tracker.Owners.
func (r *cluster) Owner(leaf string) *pb.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if i, ok := r.owners[leaf]; ok {
		return r.nodes[i].member
	}
	return nil
}

func (r *cluster) move(leaf string, owner int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners[leaf] = owner
}

func (r *cluster) change(leaf string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version[leaf]++
}

// Statuses implements tracker.LocalStatuses and publisher.LocalStatuses.
func (n *node) Statuses() []*pb.LeafStatus {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	var statuses []*pb.LeafStatus
	for leaf, owner := range n.cluster.owners {
		if n.cluster.nodes[owner] != n {
			continue
		}
		statuses = append(statuses, &pb.LeafStatus{
			Leaf: leaf, Owner: n.member.GetName(), Reachable: true, Limit: 6, InFlight: uint32(time.Now().Nanosecond()),
			Draining: n.cluster.version[leaf]%2 == 1, Incarnation: "11111111-2222-3333",
			ExpectedLatency: durationpb.New(20 * time.Millisecond),
			Snapshots:       []*pb.SnapshotHeld{{Snapshot: 1733290000, PartitionCount: 71, Partitions: []uint32{7}}},
		})
	}
	return statuses
}

// Call implements tracker.Messenger.
func (n *node) Call(ctx context.Context, address string, _ messenger.Plane, f *pb.Frame) (*pb.Frame, error) {
	var index int
	_, _ = fmt.Sscan(address, &index)
	peer := n.cluster.nodes[index]
	f.Id, f.From, f.ConfigDigest = 1<<20, n.member.GetName(), 1<<60
	n.cluster.bytes.Add(uint64(proto.Size(f) + 2))
	time.Sleep(time.Millisecond)
	if peer.dead.Load() {
		<-ctx.Done()
		return nil, errors.New("lost")
	}
	reply := &pb.Frame{
		Id: f.Id, From: peer.member.GetName(), ConfigDigest: f.ConfigDigest,
		Body: &pb.Frame_LeafStatuses{LeafStatuses: peer.publisher.Pull(ctx, f.GetLeafStatusPull())},
	}
	n.cluster.bytes.Add(uint64(proto.Size(reply) + 2))
	time.Sleep(time.Millisecond)
	return reply, ctx.Err()
}

// settle waits until changes have reached every tracker.
func settle() {
	time.Sleep(4 * period)
	synctest.Wait()
}

// TestTrackerFollowsLeafOwnership guards against statuses of a former or dead owner that stay in use after the leaf
// has changed, moved to another owner, or lost its owner.
func TestTrackerFollowsLeafOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newCluster(t.Context(), 3, 9)
		defer r.stop()
		settle()
		for _, n := range r.nodes {
			is.Equal(len(n.tracker.All()), 9)
		}
		const leaf = "leaf-0001" // owned by node 1
		r.change(leaf)
		settle()
		for _, n := range r.nodes {
			is.True(n.tracker.Status(leaf).GetDraining())
		}
		r.move(leaf, 2)
		settle()
		for _, n := range r.nodes {
			is.Equal(n.tracker.Status(leaf).GetOwner(), "node-0002") // the old owner's report was dropped
		}
		r.nodes[2].dead.Store(true)
		settle()
		is.Equal(r.nodes[0].tracker.Status(leaf), (*pb.LeafStatus)(nil)) // so were those of a dead owner
		is.Equal(len(r.nodes[0].tracker.All()), 5)
	})
}

// TestTrackerAsksRemoteOwnersOnDemand guards against pulls from owners in other regions none of whose leaves is in
// use, and against pulls that end while one is.
func TestTrackerAsksRemoteOwnersOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newCluster(t.Context(), 3, 9, 2)
		defer r.stop()
		settle()
		is.Equal(len(r.nodes[0].tracker.All()), 6)
		is.Equal(r.nodes[0].tracker.Status("leaf-0002"), (*pb.LeafStatus)(nil))
		settle()
		is.Equal(r.nodes[0].tracker.Status("leaf-0002").GetOwner(), "node-0002")
		time.Sleep(9 * time.Minute)
		is.True(r.nodes[0].tracker.Status("leaf-0002") != nil) // in use
		time.Sleep(15 * time.Minute)
		is.Equal(len(r.nodes[0].tracker.All()), 6) // no longer in use
	})
}

// TestMeasureStatuses logs the bytes per second and node of status pulls while each leaf changes once a minute. It
// runs only when MAGNOLIASTEP_MEASURE is set.
func TestMeasureStatuses(t *testing.T) {
	if os.Getenv("MAGNOLIASTEP_MEASURE") == "" {
		t.Skip("MAGNOLIASTEP_MEASURE is not set")
	}
	for _, size := range []struct{ nodes, leaves int }{{9, 100}, {30, 200}, {100, 650}, {167, 1083}} {
		synctest.Test(t, func(t *testing.T) {
			r := newCluster(t.Context(), size.nodes, size.leaves)
			defer r.stop()
			time.Sleep(time.Minute)
			before := r.bytes.Load()
			startedAt := time.Now()
			gap := time.Minute / time.Duration(size.leaves)
			for i := 0; time.Since(startedAt) < time.Minute; i++ {
				r.change(fmt.Sprintf("leaf-%04d", i%size.leaves))
				time.Sleep(gap)
			}
			rate := float64(r.bytes.Load()-before) / 60 / float64(size.nodes)
			t.Logf("%s nodes %d leaves %d: %.0f B/s a node", strings.Repeat(" ", 2), size.nodes, size.leaves, rate)
		})
	}
}
