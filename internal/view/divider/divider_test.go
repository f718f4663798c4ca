package divider_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
)

func nodes(count int) []*pb.Member {
	var members []*pb.Member
	for i := range count {
		members = append(members, &pb.Member{Name: fmt.Sprintf("node-%02d", i), Region: "west"})
	}
	return members
}

func TestShareDividesSlotsByPresentNodes(t *testing.T) {
	all := nodes(9)
	for _, c := range []struct {
		name          string
		present, lost []*pb.Member
		slots, want   int
	}{
		{"whole fleet", all, nil, 6, 6},
		{"one of nine lost costs a leaf of two slots none", all[1:], all[:1], 2, 2},
		{"a third lost", all[3:], all[:3], 6, 4},
		{"the lost third", all[:3], all[3:], 6, 2},
		{"even split with the first node", all[:4], all[4:8], 6, 3},
		{"even split, one slot, with the first node", all[:4], all[4:8], 1, 1},
		{"the last node gets a slot", all[:1], all[1:], 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(divider.New("west", c.present, c.lost).Slots(c.slots), c.want)
		})
	}
}

// Nodes of other regions do not count: they call the leaf only when they have lost all nodes of its own region.
func TestNewIgnoresNodesOfOtherRegions(t *testing.T) {
	is := is.New(t)
	all := nodes(4)
	all[3].Region = "east"
	is.Equal(divider.New("west", all[:3], all[3:]).Slots(6), 6)
	is.True(divider.New("north", all, nil).Empty())
}

// Guards against overload of a leaf in a network partition: however the nodes are split, the shares add up to at most
// the slots, plus one for each side that is too small for one slot.
func TestSharesOfAllSidesStayWithinSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := nodes(rapid.IntRange(1, 12).Draw(r, "nodes"))
		slots := rapid.IntRange(1, 64).Draw(r, "slots")
		sides := map[int][]*pb.Member{}
		for _, m := range all {
			side := rapid.IntRange(0, 2).Draw(r, "side")
			sides[side] = append(sides[side], m)
		}
		sum, tooSmall := 0, 0
		for side, present := range sides {
			var lost []*pb.Member
			for other, members := range sides {
				if other != side {
					lost = append(lost, members...)
				}
			}
			sum += divider.New("", present, lost).Slots(slots)
			if slots*len(present) < len(all) {
				tooSmall++
			}
		}
		if sum > slots+tooSmall {
			r.Fatalf("%d slots of %d in use, %d sides too small for one", sum, slots, tooSmall)
		}
	})
}
