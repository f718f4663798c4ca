package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	"github.com/magnoliastep/magnoliastep/internal/entry/picker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

func replicas(now time.Time, latencies ...time.Duration) []*gauger.Gauge {
	var list []*gauger.Gauge
	for i, d := range latencies {
		g := gauger.New(&pb.Leaf{Name: fmt.Sprint(i), AvailabilityZone: fmt.Sprint("zone-", i), Slots: 2})
		g.ObserveTime(d, now)
		list = append(list, g)
	}
	return list
}

func TestSlowReplicaIsAvoidedAndEqualsShareTheCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 5*time.Millisecond, 50*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	counts := map[*gauger.Gauge]int{}
	for range 1000 {
		counts[p.Pick(picker.Request{Replicas: list, Now: now, Typical: 5 * time.Millisecond})]++
	}
	is.Equal(counts[list[2]], 0)
	is.True(counts[list[0]] > 250 && counts[list[1]] > 250) // neither of two equals draws the herd
	later := now.Add(time.Minute)
	tried := p.Pick(picker.Request{Replicas: list[2:], Now: later, Typical: 5 * time.Millisecond})
	is.Equal(tried, list[2])
	is.Equal(list[2].Expected(later, 5*time.Millisecond), 5*time.Millisecond) // an old estimate is forgotten
	list[2].Begin()
	is.True(list[2].Expected(later, 5*time.Millisecond) >= 50*time.Millisecond) // one trial at a time
}

func TestHedgeLeavesTheZoneIfItCan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 9*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	is.Equal(p.Pick(picker.Request{Replicas: list, Zone: "zone-0", Now: now}), list[1])
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], Zone: "zone-0", Now: now}), list[0])
	is.True(p.Pick(picker.Request{Replicas: list, Tried: list, Now: now}) == nil)
}

func TestFailedAndDrainingReplicas(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := replicas(now, 5*time.Millisecond, 9*time.Millisecond)
	p := picker.New(picker.Config{Random: rand.New(rand.NewPCG(1, 1))})
	list[0].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE}, 1, now)
	is.Equal(p.Pick(picker.Request{Replicas: list, Now: now}), list[1])
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], Now: now}), list[0]) // the only one is tried all the same
	list[1].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_LEAF_DRAINING}, 1, now)
	is.True(p.Pick(picker.Request{Replicas: list[1:], Now: now}) == nil) // a draining one never
	list[0].ObserveReply(&pb.LeafReply{Code: pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT}, 7, now)
	is.True(p.Pick(picker.Request{Replicas: list[:1], Snapshot: 7, Now: now}) == nil)
	is.Equal(p.Pick(picker.Request{Replicas: list[:1], Snapshot: 8, Now: now}), list[0])
}
