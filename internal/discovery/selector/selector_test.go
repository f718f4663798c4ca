package selector_test

import (
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
			got, keep := selector.New(selector.Config{View: c.view, KeepFor: time.Second}).Addresses("a")
			is.Equal(got, c.want)
			is.Equal(keep, time.Second)
		})
	}
}

func TestCountServingCountsLargeNodesOfAllZones(t *testing.T) {
	is := is.New(t)
	s := selector.New(selector.Config{View: fakeView{
		member("a1", "a", 800), member("a2", "a", 800), member("a3", "a", 192), member("b1", "b", 800), member("b2", "b",
			192),
	}})
	count, included := s.CountServing("a3")
	is.Equal(count, 3)
	is.True(!included)
	_, included = s.CountServing("b1")
	is.True(included)
	count, _ = selector.New(selector.Config{View: fakeView{}}).CountServing("x")
	is.Equal(count, 1)
}
