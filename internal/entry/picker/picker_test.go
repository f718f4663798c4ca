package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

func replicas(now time.Time, latencies ...time.Duration) []*scorer.ReplicaState {
	var list []*scorer.ReplicaState
	for i, d := range latencies {
		rs := scorer.New(&pb.Leaf{Name: fmt.Sprint(i), AvailabilityZone: fmt.Sprint("zone-", i), Slots: 2})
		rs.ObserveLatency(d, now)
		list = append(list, rs)
	}
	return list
}

// TestPickerAvoidsSlowReplicaAndBalancesEqualOnes guards against calls that concentrate on one of several equal
// replicas, and against a replica that is avoided forever because it was slow once.
func TestPickerAvoidsSlowReplicaAndBalancesEqualOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 5*time.Millisecond, 50*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	counts := map[*scorer.ReplicaState]int{}
	for range 1000 {
		counts[p.Pick(picker.Request{Replicas: list, Now: now, DefaultLatency: 5 * time.Millisecond})]++
	}
	is.Equal(counts[list[2]], 0)
	is.True(counts[list[0]] > 250 && counts[list[1]] > 250) // calls are balanced over the two equal replicas
	later := now.Add(time.Minute)
	tried := p.Pick(picker.Request{Replicas: list[2:], Now: later, DefaultLatency: 5 * time.Millisecond})
	is.Equal(tried, list[2])
	is.Equal(list[2].ExpectedLatency(later, 5*time.Millisecond), 5*time.Millisecond) // an old estimate has expired
	list[2].BeginCall()
	is.True(list[2].ExpectedLatency(later, 5*time.Millisecond) >= 50*time.Millisecond) // only one trial call at a time
}

// TestPickerPrefersAnotherZoneForHedge guards against a hedge that stays in a slow zone while another zone has a
// replica, and against no hedge at all when none has.
func TestPickerPrefersAnotherZoneForHedge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 9*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	is.Equal(p.Pick(picker.Request{Replicas: list, AvoidZone: "zone-0", Now: now}), list[1])
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], AvoidZone: "zone-0", Now: now}), list[0])
	is.True(p.Pick(picker.Request{Replicas: list, Tried: list, Now: now}) == nil)
}

// TestPickerAvoidsFailedAndExcludesDrainingReplicas guards against calls to replicas that cannot answer: one that
// failed recently while another is usable, one that is draining, and one that dropped the snapshot.
func TestPickerAvoidsFailedAndExcludesDrainingReplicas(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 9*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	list[0].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE}, 1, now)
	is.Equal(p.Pick(picker.Request{Replicas: list, Now: now}), list[1])
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], Now: now}), list[0]) // chosen although it failed: there is no other
	list[1].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_LEAF_DRAINING}, 1, now)
	is.True(p.Pick(picker.Request{Replicas: list[1:], Now: now}) == nil) // a draining replica is never chosen
	list[0].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT}, 7, now)
	is.True(p.Pick(picker.Request{Replicas: list[:1], Snapshot: 7, Now: now}) == nil)
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], Snapshot: 8, Now: now}), list[0])
}
