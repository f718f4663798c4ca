package selector_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type fakeView []*pb.Member

func (v fakeView) Members() []*pb.Member { return v }

func member(name, zone string, capacity uint32) *pb.Member {
	return &pb.Member{
		Name: name, AvailabilityZone: zone, CallerAddress: name, Capacity: capacity,
		State: pb.MemberState_MEMBER_STATE_ALIVE,
	}
}

func suspected(m *pb.Member) *pb.Member {
	m.State = pb.MemberState_MEMBER_STATE_SUSPECT
	return m
}

func TestAddressesByZoneCapacityAndState(t *testing.T) {
	for _, c := range []struct {
		name string
		view fakeView
		want []string
	}{
		{
			"equal nodes of the zone",
			fakeView{member("a1", "a", 400), member("a2", "a", 400), member("b1", "b", 400)},
			[]string{"a1", "a2"},
		},
		{
			"one node in the zone",
			fakeView{member("a1", "a", 400), member("b1", "b", 400), member("c1", "c", 400)},
			[]string{"a1", "b1", "c1"},
		},
		{
			"large nodes only",
			fakeView{member("a1", "a", 800), member("a2", "a", 192), member("a3", "a", 800)},
			[]string{"a1", "a3"},
		},
		{
			"large nodes of other zones before small nodes",
			fakeView{member("a1", "a", 192), member("a2", "a", 800), member("b1", "b", 800)},
			[]string{"a2", "b1"},
		},
		{
			"suspected node is left out",
			fakeView{suspected(member("a1", "a", 400)), member("a2", "a", 400), member("a3", "a", 400)},
			[]string{"a2", "a3"},
		},
		{
			"no large node left",
			fakeView{member("a1", "a", 192), member("a2", "a", 192), member("b1", "b", 192)},
			[]string{"a1", "a2"},
		},
		{
			"small node of the zone besides the only large node",
			fakeView{member("a1", "a", 192), member("b1", "b", 800)},
			[]string{"b1", "a1"},
		},
		{
			"all nodes are suspected",
			fakeView{suspected(member("a1", "a", 400)), suspected(member("a2", "a", 400))},
			[]string{"a1", "a2"},
		},
		{"no nodes", fakeView{}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, keep := newSelector(c.view, selector.Leaves{}).Addresses("a")
			is.Equal(got, c.want)
			is.Equal(keep, time.Second)
		})
	}
}

// newSelector returns a selector for a view and leaves that do not change.
func newSelector(v fakeView, l selector.Leaves) *selector.Selector {
	return selector.New(selector.Config{View: v, Leaves: func() selector.Leaves { return l }, KeepFor: time.Second})
}

func TestCountServingCountsLargeNodesOfAllZones(t *testing.T) {
	is := is.New(t)
	s := newSelector(fakeView{
		member("a1", "a", 800), member("a2", "a", 800), member("a3", "a", 192), member("b1", "b", 800), member("b2", "b",
			192),
	}, selector.Leaves{})
	count, included := s.CountServing("a3")
	is.Equal(count, 3)
	is.True(!included)
	_, included = s.CountServing("b1")
	is.True(included)
	count, _ = newSelector(fakeView{}, selector.Leaves{}).CountServing("x")
	is.Equal(count, 1)
}

// equalNodes returns a view of equal nodes in zones a to e.
func equalNodes(nodesPerZone int) fakeView {
	var v fakeView
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		for i := range nodesPerZone {
			v = append(v, member(fmt.Sprintf("%s%02d", zone, i), zone, 400))
		}
	}
	return v
}

// leavesInThreeZones are leaves of three slots, most of them in zones a, b and c.
var leavesInThreeZones = selector.Leaves{ //nolint:gochecknoglobals // constant
	ByZone: map[string]int{"a": 42, "b": 40, "c": 44, "d": 2, "e": 1}, Slots: 3,
}

// In a large fleet of equal nodes, nodes in zones without the leaves fetched every part of an answer from another zone,
// and more nodes served than the leaves have slots or connections for.
func TestFewNodesServeInZonesThatHoldLeaves(t *testing.T) {
	is := is.New(t)
	s := newSelector(equalNodes(60), leavesInThreeZones)
	count, _ := s.CountServing("a00")
	is.Equal(count, 6) // two in each of three zones, as many as the slots of a leaf can keep busy
	inZone, _ := s.Addresses("b")
	is.Equal(len(inZone), 2)
	for _, name := range inZone {
		is.True(strings.HasPrefix(name, "b"))
	}
	elsewhere, _ := s.Addresses("e")
	is.Equal(len(elsewhere), 6)
	for _, name := range elsewhere {
		is.True(strings.Contains("abc", name[:1]))
	}
}

// Leaves in as many zones as they have slots to share: one node serves in each zone, and callers of every zone use all
// of them, so that none gets more than its share.
func TestCallersUseAllNodesIfOneServesInEachZone(t *testing.T) {
	is := is.New(t)
	leaves := selector.Leaves{ByZone: map[string]int{"a": 25, "b": 25, "c": 25, "d": 25, "e": 26}, Slots: 3}
	s := newSelector(equalNodes(40), leaves)
	count, _ := s.CountServing("a00")
	is.Equal(count, 5)
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		addresses, _ := s.Addresses(zone)
		is.Equal(len(addresses), 5)
	}
}

// When serving nodes are lost, others of their zone must take their places at once and no other node may change its
// role; when all nodes of a zone are lost, the other zones must serve its callers.
func TestLostServingNodesAreReplaced(t *testing.T) {
	is := is.New(t)
	view := equalNodes(5)
	s := newSelector(view, leavesInThreeZones)
	before, _ := s.Addresses("a")
	is.Equal(len(before), 2)
	for _, m := range view {
		if m.GetName() == before[0] {
			suspected(m)
		}
	}
	after, _ := s.Addresses("a")
	is.Equal(len(after), 2)
	is.True(slices.Contains(after, before[1]))
	is.True(!slices.Contains(after, before[0]))
	withoutZone := slices.DeleteFunc(equalNodes(5), func(m *pb.Member) bool { return m.GetAvailabilityZone() == "a" })
	s = newSelector(withoutZone, leavesInThreeZones)
	others, _ := s.Addresses("a")
	is.Equal(len(others), 6) // three each in zones b and c
	onlyOutside := slices.DeleteFunc(equalNodes(5), func(m *pb.Member) bool { return m.GetAvailabilityZone() < "d" })
	s = newSelector(onlyOutside, leavesInThreeZones)
	others, _ = s.Addresses("a")
	is.True(len(others) >= 2)
}

func TestBusyNodeGetsHelpersInItsZone(t *testing.T) {
	is := is.New(t)
	view := equalNodes(10)
	s := newSelector(view, leavesInThreeZones)
	before, _ := s.Addresses("a")
	for _, m := range view {
		if m.GetName() == before[1] {
			m.Helpers = 3
		}
	}
	after, _ := s.Addresses("a")
	is.Equal(len(after), 5)
	for _, name := range before {
		is.True(slices.Contains(after, name))
	}
	otherZone, _ := s.Addresses("b")
	is.Equal(len(otherZone), 2)
	for _, m := range view {
		m.Helpers = 1000
	}
	all, _ := s.Addresses("a")
	is.Equal(len(all), 10)
}
