package detector

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Members returns the nodes that may be given work, sorted by name. The caller must not modify the slice.
func (d *Detector) Members() []*pb.Member {
	d.refreshMembers()
	return d.members
}

// Generation returns a number that grows whenever a member joins, leaves, is declared dead, restarts, moves to another
// address or no longer counts as lost.
func (d *Detector) Generation() uint64 {
	d.refreshMembers()
	return d.generation
}

// Joined tells whether this node knows any other live node, suspects included.
func (d *Detector) Joined() bool {
	for _, r := range d.records {
		if r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			return true
		}
	}
	return false
}

// Digest returns a hash over the names and start times of the members.
func (d *Detector) Digest() uint64 {
	d.refreshMembers()
	return d.digest
}

// invalidateMembers makes the next read of the members compute them again.
func (d *Detector) invalidateMembers() { d.membersStale = true }

// liveMembers returns the nodes, this one included, that are not known to be dead: those that are leaving or, if the
// argument is false, those that are not.
func (d *Detector) liveMembers(leaving bool) []*pb.Member {
	members := make([]*pb.Member, 0, len(d.records)+1)
	if !d.superseded && acceptsWork(d.self) != leaving {
		members = append(members, d.self)
	}
	for _, r := range d.records {
		if r.leaving == leaving && r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			members = append(members, r.claim)
		}
	}
	return members
}

// refreshMembers computes the members and the digest if they are stale. The generation changes only with the members'
// names, addresses and start times.
func (d *Detector) refreshMembers() {
	if !d.membersStale {
		return
	}
	d.membersStale = false
	members := d.liveMembers(false)
	if len(members) == 0 {
		members = d.liveMembers(true) // all nodes are leaving, and they serve until they stop
	}
	slices.SortFunc(members, func(a, b *pb.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	if !slices.EqualFunc(members, d.members, sameNode) {
		d.generation++
	}
	d.members = members
	d.digest = 0
	for _, m := range members {
		d.digest ^= xxhash.Sum64String(m.GetName()) + uint64(m.GetStartedAt())*goldenRatio64
	}
}

func sameNode(a, b *pb.Member) bool {
	return a.GetName() == b.GetName() && a.GetPeerAddress() == b.GetPeerAddress() &&
		a.GetStartedAt() == b.GetStartedAt()
}

func acceptsWork(m *pb.Member) bool {
	return m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE
}
