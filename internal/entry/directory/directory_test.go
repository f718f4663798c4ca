package directory_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/directory"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type fixture struct {
	members []*pb.Member
	index   *indexer.Index
}

// Members implements directory.View.
func (f fixture) Members() []*pb.Member { return f.members }

// Index implements directory.ConfigSource.
func (f fixture) Index() *indexer.Index { return f.index }

func zones(out string) *indexer.Index {
	var objects []*pb.ConfigObject
	for _, name := range []string{"a", "b"} {
		objects = append(objects, &pb.ConfigObject{Version: 1, Spec: &pb.ConfigObject_AvailabilityZone{
			AvailabilityZone: &pb.AvailabilityZone{Name: name, OutOfService: strings.Contains(out, name)},
		}})
	}
	return indexer.New(objects)
}

func TestDirectoryListsEntriesByZoneAndState(t *testing.T) {
	alive, suspect := pb.MemberState_MEMBER_STATE_ALIVE, pb.MemberState_MEMBER_STATE_SUSPECT
	cases := []struct {
		name, out string
		states    [3]pb.MemberState // of nodes 1 and 2 in zone a and node 3 in zone b
		want      string
	}{
		{"all in service", "", [3]pb.MemberState{alive, alive, alive}, "1 2 3"},
		{"zone out", "a", [3]pb.MemberState{alive, alive, alive}, "3"},
		{"suspect left out", "", [3]pb.MemberState{alive, suspect, alive}, "1 3"},
		{"only suspects in service", "a", [3]pb.MemberState{alive, alive, suspect}, "3"},
		{"every zone out", "ab", [3]pb.MemberState{alive, alive, alive}, "1 2 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fixture{index: zones(c.out)}
			for i, zone := range []string{"a", "a", "b"} {
				f.members = append(f.members, &pb.Member{
					CallerAddress: string(rune('1' + i)), AvailabilityZone: zone, State: c.states[i],
				})
			}
			answer := directory.New(directory.Config{View: f, Source: f, KeepFor: time.Second}).Entries()
			var got []string
			for _, e := range answer.GetEntries() {
				got = append(got, e.GetAddress())
			}
			is.Equal(strings.Join(got, " "), c.want)
			is.Equal(answer.GetKeepFor().AsDuration(), time.Second)
		})
	}
}

func TestDirectoryLowersWeightOfLoadedNode(t *testing.T) {
	is := is.New(t)
	f := fixture{index: zones(""), members: []*pb.Member{
		{CallerAddress: "1", AvailabilityZone: "a", Load: 10},
		{CallerAddress: "2", AvailabilityZone: "a", Load: 10},
		{CallerAddress: "3", AvailabilityZone: "b", Load: 400},
	}}
	entries := directory.New(directory.Config{View: f, Source: f}).Entries().GetEntries()
	is.Equal(entries[0].GetWeight(), entries[1].GetWeight())
	is.True(entries[2].GetWeight() < entries[0].GetWeight())
	is.True(entries[2].GetWeight() > 0) // load alone never excludes a node
}
