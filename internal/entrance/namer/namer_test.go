package namer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entrance/namer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type view []*pb.Member

func (v view) Members() []*pb.Member { return v }

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

func TestAddresses(t *testing.T) {
	for _, c := range []struct {
		name string
		view view
		want []string
	}{
		{
			"equal nodes of the zone",
			view{member("a1", "a", 400), member("a2", "a", 400), member("b1", "b", 400)},
			[]string{"a1", "a2"},
		},
		{
			"one node in the zone",
			view{member("a1", "a", 400), member("b1", "b", 400), member("c1", "c", 400)},
			[]string{"a1", "b1", "c1"},
		},
		{"large ones only", view{member("a1", "a", 800), member("a2", "a", 192), member("a3", "a", 800)}, []string{
			"a1",
			"a3",
		}},
		{"large ones of other zones before small ones", view{member("a1", "a", 192), member("a2", "a", 800), member("b1",
			"b", 800)}, []string{"a2", "b1"}},
		{"a suspected one is left out", view{suspected(member("a1", "a", 400)), member("a2", "a", 400), member("a3", "a",
			400)}, []string{"a2", "a3"}},
		{
			"all large ones are lost",
			view{member("a1", "a", 192), member("a2", "a", 192), member("b1", "b", 192)},
			[]string{"a1", "a2"},
		},
		{"the last large one needs help", view{member("a1", "a", 192), member("b1", "b", 800)}, []string{"b1", "a1"}},
		{"all are suspected", view{suspected(member("a1", "a", 400)), suspected(member("a2", "a", 400))}, []string{
			"a1",
			"a2",
		}},
		{"nobody", view{}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, keep := namer.New(namer.Config{View: c.view, KeepFor: time.Second}).Addresses("a")
			is.Equal(got, c.want)
			is.Equal(keep, time.Second)
		})
	}
}

func TestServing(t *testing.T) {
	is := is.New(t)
	n := namer.New(namer.Config{View: view{
		member("a1", "a", 800), member("a2", "a", 800), member("a3", "a", 192), member("b1", "b", 800), member("b2", "b",
			192),
	}})
	count, included := n.Serving("a3")
	is.Equal(count, 3)
	is.True(!included)
	_, included = n.Serving("b1")
	is.True(included)
	count, _ = namer.New(namer.Config{View: view{}}).Serving("x")
	is.Equal(count, 1)
}
