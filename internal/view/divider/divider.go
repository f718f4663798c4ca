// Package divider divides the slots of a leaf between the sides of a network partition, so that together they do not
// overload the leaf. Each side computes its share from the nodes that it sees and those that it has lost without a
// notice of their departure. The sides need no messages for this: the shares that they compute independently add up to
// at most the slots of the leaf, unless sides are too small for one slot.
package divider

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Share is the fraction of the nodes that one side of a network partition sees. The zero value means that no node
	// is lost.
	Share struct {
		// present and known count nodes; known includes the present ones.
		present, known int
		// winsTie is set on the side that sees the first of the known nodes by name; it decides an even split.
		winsTie bool
	}
)

// New returns the Share of a side that sees the nodes in present and has lost those in lost. Only nodes of the region
// count; an empty region means all nodes.
func New(region string, present, lost []*pb.Member) Share {
	var s Share
	first := ""
	count := func(m *pb.Member, seen bool) {
		if region != "" && m.GetRegion() != region {
			return
		}
		s.known++
		if seen {
			s.present++
		}
		if first == "" || m.GetName() < first {
			first = m.GetName()
			s.winsTie = seen
		}
	}
	for _, m := range present {
		count(m, true)
	}
	for _, m := range lost {
		count(m, false)
	}
	return s
}

// Empty reports whether no node was counted.
func (s Share) Empty() bool { return s.known == 0 }

// Slots returns how many of the slots this side may use. The side with more than half of the nodes, or the winner of an
// even split, gets all slots that the other sides cannot claim, so that the loss of a few nodes need not cost it any.
// Each side gets at least one slot, so that the last nodes of a fleet can still work; the sum may therefore exceed the
// slots when sides are too small for one slot.
func (s Share) Slots(slots int) int {
	if s.known <= s.present {
		return slots
	}
	if 2*s.present > s.known || (2*s.present == s.known && s.winsTie) {
		return max(1, slots-slots*(s.known-s.present)/s.known)
	}
	return max(1, slots*s.present/s.known)
}
