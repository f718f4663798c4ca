package keeper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	fleetServices    = 100
	leavesPerService = 65 // 6,500 leaves in total
	fleetCallers     = 400
)

func newKeeper() *keeper.Keeper {
	return keeper.New(keeper.Config{Asserter: asserter.New(asserter.Config{Fatal: true})})
}

func zone(name string, version int64, deleted bool) *pb.ConfigObject {
	return &pb.ConfigObject{Version: version, Deleted: deleted, Spec: &pb.ConfigObject_AvailabilityZone{
		AvailabilityZone: &pb.AvailabilityZone{Name: name, Region: fmt.Sprint(version)},
	}}
}

// TestKeeperVersionsNeverGoBack guards against a node that reverts an object to an older version or misses
// one. The nodes receive random pieces of a history, out of order, repeatedly, with losses and from stale
// nodes; at the end they synchronize with each other by revision.
func TestKeeperVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 30).Draw(t, "length")
		history := make([]*pb.ConfigObject, 0, length)
		newest := map[string]int64{}
		for v := range length {
			o := zone(fmt.Sprint("zone-", rapid.IntRange(0, 4).Draw(t, "zone")), int64(v+1), rapid.Bool().Draw(t, "deleted"))
			history = append(history, o)
			newest[keyer.Of(o)] = o.GetVersion()
		}
		nodes := []*keeper.Keeper{newKeeper(), newKeeper(), newKeeper()}
		seen := make([]map[string]int64, len(nodes))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "from a node") {
				peer := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
				completeTo := peer.CompleteTo()
				nodes[i].Apply(peer.ObjectsAfter(nodes[i].CompleteTo()), completeTo)
			} else {
				from := rapid.IntRange(0, length-1).Draw(t, "from")
				nodes[i].Apply(history[from:rapid.IntRange(from, length).Draw(t, "to")], 0)
			}
			versions := nodes[i].Versions()
			for key, version := range seen[i] {
				if versions[key] < version {
					t.Fatalf("%s went back from %d to %d", key, version, versions[key])
				}
			}
			seen[i] = versions
		}
		// One node receives everything from the platform; the others synchronize with it by revision only.
		nodes[0].Apply(history, int64(length))
		for _, n := range nodes[1:] {
			n.Apply(nodes[0].ObjectsAfter(n.CompleteTo()), nodes[0].CompleteTo())
		}
		for i, n := range nodes {
			if n.Digest() != nodes[0].Digest() {
				t.Fatalf("node %d has digest %d, not %d", i, n.Digest(), nodes[0].Digest())
			}
			for key, version := range newest {
				if n.Versions()[key] != version {
					t.Fatalf("node %d has %s at %d, not %d", i, key, n.Versions()[key], version)
				}
			}
		}
	})
}

func TestIndexReflectsAppliedObjects(t *testing.T) {
	is := is.New(t)
	k := newKeeper()
	changed := k.Changed()
	is.Equal(len(k.Apply([]*pb.ConfigObject{zone("a", 3, false)}, 3)), 1)
	<-changed
	is.Equal(k.Index().Zone("a").GetRegion(), "3")
	is.Equal(len(k.Apply([]*pb.ConfigObject{zone("a", 2, true)}, 2)), 0) // older
	is.True(k.Index().Zone("a") != nil)
	is.Equal(len(k.Apply([]*pb.ConfigObject{zone("a", 4, true)}, 4)), 1)
	is.True(k.Index().Zone("a") == nil)
	is.Equal(k.CompleteTo(), int64(4))
}

// BenchmarkApplyOneChange measures Apply of one changed zone with a configuration of the planned fleet size.
func BenchmarkApplyOneChange(b *testing.B) {
	k := newKeeper()
	var objects []*pb.ConfigObject
	version := int64(0)
	for s := range fleetServices {
		service := &pb.Service{Name: fmt.Sprint("service-", s)}
		for l := range leavesPerService {
			service.Leaves = append(service.Leaves, &pb.Leaf{
				Name: fmt.Sprintf("leaf-%d-%d", s, l), AvailabilityZone: "zone-1", Address: "10.1.2.3:9000",
			})
		}
		version++
		objects = append(objects, &pb.ConfigObject{Version: version, Spec: &pb.ConfigObject_Service{Service: service}})
	}
	for c := range fleetCallers {
		version++
		objects = append(objects, &pb.ConfigObject{Version: version, Spec: &pb.ConfigObject_Caller{
			Caller: &pb.Caller{Name: fmt.Sprint("caller-", c), CredentialHash: fmt.Sprint(c)},
		}})
	}
	k.Apply(objects, version)
	for b.Loop() {
		version++
		k.Apply([]*pb.ConfigObject{zone("a", version, false)}, version)
	}
}
