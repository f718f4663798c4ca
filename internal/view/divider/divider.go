// Package divider divides the slots of a leaf between parts of a fleet that lost each other. The nodes that one
// part sees and those that it lost without their word flow in, the slots that it may use flow out. The parts need no
// message for it: what each of them takes by its own count adds up to the slots at most.
package divider

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Share is the part of the nodes that one side of a network partition sees. The zero value is a whole fleet.
	Share struct {
		// present and known count nodes; known includes the present ones.
		present, known int
		// leads is set on the one side of an even split that sees the first of the known nodes by name.
		leads bool
	}
)

// New counts the nodes of the region that are present and those that were lost; an empty region means all nodes.
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
			s.leads = seen
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

// Empty tells whether no node was counted.
func (s Share) Empty() bool { return s.known == 0 }

// Of returns how many of the slots this side may use. The side with more than half of the nodes takes what the
// others could not claim, so that a few lost nodes cost it nothing. Each side has one slot at least, since the
// last nodes of a fleet must be able to work: more sides than slots exceed them.
func (s Share) Of(slots int) int {
	if s.known <= s.present {
		return slots
	}
	if 2*s.present > s.known || (2*s.present == s.known && s.leads) {
		return max(1, slots-slots*(s.known-s.present)/s.known)
	}
	return max(1, slots*s.present/s.known)
}
