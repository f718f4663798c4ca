package searcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/cataloger"
	"github.com/magnoliastep/magnoliastep/internal/entry/searcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	largePartitionCount = 2166 // with 3 replicas each: 6,498 leaves
	askedPartitions     = 71
)

type (
	// instantRouter answers every call immediately, so that only the entry node's own work is measured.
	instantRouter struct{ *fakeCluster }
)

func (r instantRouter) StartBatch(_ context.Context, _ *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply)) {
	for _, c := range b.GetCalls() {
		deliver(&pb.LeafReply{
			CallId: c.GetCallId(), Code: pb.ResultCode_RESULT_CODE_OK, Snapshot: b.GetSnapshot(),
			Partition: c.GetPartition(), RequestId: b.GetRequestId(), Payload: "payload",
		})
	}
}

func (r instantRouter) Cancel(context.Context, *pb.Member, []uint64) {}

func newLargeCluster() *fakeCluster {
	return newFakeCluster(clusterConfig{
		seed: 1, partitions: largePartitionCount, replicas: 3, slots: 4, budget: 0.05, class: patientClass(),
	})
}

// BenchmarkSearch measures one search over 71 partitions of a service with 6,498 leaves.
func BenchmarkSearch(b *testing.B) {
	cluster := newLargeCluster()
	for _, l := range cluster.leaves {
		l.status.ExpectedLatency = durationpb.New(5)
	}
	s := searcher.New(searcher.Config{
		Source: cluster, Owners: newCachedOwners(cluster), Statuses: cluster, Router: instantRouter{cluster},
		Clock: quartz.NewReal(), Asserter: cluster.asserter,
	})
	asked := make([]uint32, 0, askedPartitions)
	for range askedPartitions {
		asked = append(asked, uint32(rand.IntN(largePartitionCount)))
	}
	b.ReportAllocs()
	for b.Loop() {
		a, err := s.Search(context.Background(), cluster.caller, &pb.SearchRequest{
			Service: serviceName, Class: className, RequestId: "id", Partitions: asked,
		})
		if err != nil || a.GetCode() != pb.ResultCode_RESULT_CODE_OK {
			b.Fatal(a, err)
		}
	}
	calls := float64(b.N) * askedPartitions
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/calls, "ns/leaf-call")
}

// BenchmarkCatalogRebuild measures one rebuild of the catalog of 6,498 leaves.
func BenchmarkCatalogRebuild(b *testing.B) {
	cluster := newLargeCluster()
	c := cataloger.New(cataloger.Config{Statuses: cluster, Clock: quartz.NewReal()})
	b.ReportAllocs()
	for b.Loop() {
		if len(c.Layouts(cluster.index, serviceName)) != 1 {
			b.Fatal("no layout")
		}
	}
}

type cachedOwners map[string]*pb.Member

func (c cachedOwners) Owner(leaf string) *pb.Member { return c[leaf] }

func newCachedOwners(b *fakeCluster) cachedOwners {
	owners := cachedOwners{}
	members := map[string]*pb.Member{}
	for n, l := range b.leaves {
		zone := fmt.Sprint(l.leaf.GetAvailabilityZone())
		if members[zone] == nil {
			members[zone] = &pb.Member{Name: zone}
		}
		owners[n] = members[zone]
	}
	return owners
}
