// Package capacity_test measures the slopes in docs/CAPACITY.md: how the state size and processor time of each
// part grow with the number of leaves and nodes. It prints the results if MAGNOLIASTEP_MEASURE is set and checks no
// limits.
package capacity_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/placer"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	leavesPerService = 71
	zones            = 21
	regions          = 6
)

type (
	fixedView struct {
		members []*pb.Member
	}

	discardHandler struct{}
)

func (v fixedView) Members() []*pb.Member { return v.members }

func (v fixedView) Lost() []*pb.Member { return nil }

func (v fixedView) Generation() uint64 { return 1 }

func (discardHandler) HandleFrame(context.Context, *pb.Frame, func(*pb.Frame)) {}

// TestMeasureSlopes prints one line for each part: the value at each size, the fitted line and the
// largest residual relative to the measured value.
func TestMeasureSlopes(t *testing.T) {
	if os.Getenv("MAGNOLIASTEP_MEASURE") == "" {
		t.Skip("MAGNOLIASTEP_MEASURE is not set")
	}
	leaves := []int{710, 2130, 6532}
	printLineFit(t, "configuration memory, bytes by leaves", leaves, func(n int) float64 {
		return measureMemory(func() any { return newConfiguration(n) })
	})
	printLineFit(t, "index rebuild after one change, us by leaves", leaves, func(n int) float64 {
		k := newConfiguration(n)
		return measureTime(func(i int) { k.Apply([]*pb.ConfigObject{newZone(0, int64(1_000_000+i))}, 0) })
	})
	printLineFit(t, "size of one round of leaf statuses, bytes by leaves", leaves, func(n int) float64 {
		return float64(proto.Size(newStatuses(n)))
	})
	nodes := []int{100, 300, 1000}
	printLineFit(t, "place 6,532 leaves after a change of the view, us by nodes", nodes, func(n int) float64 {
		k := newConfiguration(6532)
		v := fixedView{newMembers(n)}
		return measureTime(func(int) { placer.New(placer.Config{View: v, Source: k}).OwnedBy("node-1") })
	})
	printLineFit(t, "placement of 710 leaves, bytes by nodes", nodes, func(n int) float64 {
		k := newConfiguration(710)
		p := placer.New(placer.Config{View: fixedView{newMembers(n)}, Source: k})
		return measureMemory(func() any { placeLeaves(p, k.Index()); return p })
	})
	printLineFit(t, "links to peers, bytes by links (both ends)", []int{10, 30, 100}, func(n int) float64 {
		return measureMemory(func() any { return openLinks(n) })
	})
	printLineFit(t, "links to peers, goroutines by links (both ends)", []int{10, 30, 100}, func(n int) float64 {
		before := runtime.NumGoroutine()
		m := openLinks(n)
		defer m.Close()
		return float64(runtime.NumGoroutine() - before)
	})
}

// printLineFit prints the least-squares line through the measured points.
func printLineFit(t *testing.T, name string, sizes []int, measure func(n int) float64) {
	t.Helper()
	var sx, sy, sxx, sxy float64
	values := make([]float64, len(sizes))
	for i, s := range sizes {
		values[i] = measure(s)
		x := float64(s)
		sx, sy, sxx, sxy = sx+x, sy+values[i], sxx+x*x, sxy+x*values[i]
	}
	n := float64(len(sizes))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base := (sy - slope*sx) / n
	largestResidual := 0.0
	for i, s := range sizes {
		largestResidual = max(largestResidual, math.Abs(base+slope*float64(s)-values[i])/values[i])
	}
	t.Logf("%s: %v -> %.0f; line %.1f + %.3f * n; largest residual %.0f%%", name, sizes, values, base,
		slope, 100*largestResidual)
}

func measureMemory(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc) + float64(after.StackInuse) - float64(before.StackInuse)
}

func measureTime(run func(i int)) float64 {
	const iterations = 30
	startedAt := time.Now()
	for i := range iterations {
		run(i)
	}
	return float64(time.Since(startedAt).Microseconds()) / iterations
}

func newZone(n int, version int64) *pb.ConfigObject {
	return &pb.ConfigObject{Version: version, Spec: &pb.ConfigObject_AvailabilityZone{
		AvailabilityZone: &pb.AvailabilityZone{Name: fmt.Sprintf("zone-%d", n), Region: fmt.Sprintf("region-%d", n%regions)},
	}}
}

// newConfiguration returns a keeper whose configuration has services of 71 leaves each.
func newConfiguration(leaves int) *keeper.Keeper {
	k := keeper.New(keeper.Config{})
	var objects []*pb.ConfigObject
	for z := range zones {
		objects = append(objects, newZone(z, int64(z+1)))
	}
	for s := range leaves / leavesPerService {
		service := &pb.Service{Name: fmt.Sprintf("service-%d", s), PartitionCount: leavesPerService}
		for l := range leavesPerService {
			service.Leaves = append(service.Leaves, &pb.Leaf{
				Name: fmt.Sprintf("service-%d-leaf-%d", s, l), AvailabilityZone: fmt.Sprintf("zone-%d", l%zones),
				Address: fmt.Sprintf("10.%d.%d.1:8000", s, l), Slots: 6, Connections: 50, ColdSlots: 1,
				ConnectCost: durationpb.New(6 * time.Millisecond), Partitions: []uint32{uint32(l)},
			})
		}
		objects = append(objects, &pb.ConfigObject{
			Version: int64(100 + s), Spec: &pb.ConfigObject_Service{Service: service},
		})
	}
	k.Apply(objects, 0)
	return k
}

func newStatuses(leaves int) *pb.LeafStatuses {
	m := &pb.LeafStatuses{}
	for l := range leaves {
		m.Statuses = append(m.Statuses, &pb.LeafStatus{
			Leaf: fmt.Sprintf("service-%d-leaf-%d", l/leavesPerService, l%leavesPerService), Reachable: true,
			Snapshots:   []*pb.SnapshotHeld{{Snapshot: 12345, PartitionCount: 71, Partitions: []uint32{uint32(l % 71)}}},
			Incarnation: "0123456789abcdef", ExpectedWait: durationpb.New(time.Millisecond),
			ExpectedLatency: durationpb.New(9 * time.Millisecond), Limit: 5.5, InFlight: 3, Owner: "node-100",
			Age: durationpb.New(500 * time.Millisecond),
		})
	}
	return m
}

func newMembers(n int) []*pb.Member {
	all := make([]*pb.Member, 0, n)
	for i := range n {
		all = append(all, &pb.Member{
			Name: fmt.Sprintf("node-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
			Region: fmt.Sprintf("region-%d", i%zones%regions), PeerAddress: fmt.Sprintf("10.%d.%d.2:7300", i/250, i%250),
		})
	}
	return all
}

func placeLeaves(p *placer.Placer, x *indexer.Index) {
	for _, s := range x.Services() {
		for _, l := range s.GetLeaves() {
			p.Owner(l.GetName())
		}
	}
}

// openLinks opens links from one messenger to n addresses of another over in-memory connections.
func openLinks(n int) *messenger.Messenger {
	config := messenger.Config{
		NodeName: "a", Handler: discardHandler{}, ConfigDigest: func() uint64 { return 0 },
		OnConfigDigest: func(string, uint64) {},
	}
	accepted := make(chan net.Conn, n)
	go func() { _ = messenger.New(config).Serve(pipeListener(accepted)) }()
	config.Dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		accepted <- far
		return near, nil
	}
	m := messenger.New(config)
	for i := range n {
		_ = m.Send(context.Background(), fmt.Sprint(i), messenger.PlaneData, &pb.Frame{})
		_ = m.Send(context.Background(), fmt.Sprint(i), messenger.PlaneControl, &pb.Frame{})
	}
	time.Sleep(time.Second)
	return m
}

type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) { return <-l, nil }

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return &net.IPAddr{} }
