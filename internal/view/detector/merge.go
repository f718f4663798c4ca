package detector

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// MergeRumours merges the rumours of a message; the first one is the sender's claim about itself.
func (d *Detector) MergeRumours(now time.Time, rumours []*pb.Member) {
	d.mergingEverything = false
	d.merge(now, rumours)
}

// MergeEverything merges a message with all members of the sender's view; the first one is the sender's claim about
// itself. The claims are not passed on as rumours: the other nodes request all members as well.
func (d *Detector) MergeEverything(now time.Time, members []*pb.Member) {
	if len(d.transmissionsLeft) > maxRumourBacklog {
		clear(d.transmissionsLeft) // nodes that miss these rumours request all members, as this one did
	}
	d.mergingEverything = true
	if d.merge(now, members) {
		d.everythingBroughtNews = true
		d.everythingInterval = minEverythingInterval
	}
}

// merge merges claims and tells whether they changed the view.
func (d *Detector) merge(now time.Time, claims []*pb.Member) bool {
	if len(claims) == 0 {
		return false
	}
	changed := false
	for _, m := range claims {
		switch {
		case m.GetName() == "" || m.GetPeerAddress() == "":
		case m.GetName() == d.self.GetName():
			changed = d.handleSelfClaim(m) || changed
		default:
			changed = d.mergeClaim(now, m) || changed
		}
	}
	if d.updateLoad(claims[0]) || changed {
		d.invalidateMembers()
	}
	return changed
}

// HandleProbeFailure marks a member as suspect after neither a direct nor an indirect probe of it was answered.
func (d *Detector) HandleProbeFailure(now time.Time, t Target) {
	r := d.records[t.Name]
	if r == nil || r.claim != t.claim || r.claim.GetState() == pb.MemberState_MEMBER_STATE_DEAD ||
		r.claim.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
		return // a newer claim has arrived since, or it is suspected or dead already
	}
	suspect := proto.CloneOf(r.claim)
	suspect.State = pb.MemberState_MEMBER_STATE_SUSPECT
	d.mergingEverything = false
	d.mergeClaim(now, suspect)
	r.suspectedBySelf = true
	d.counters.Suspicions++
	d.invalidateMembers()
}

// Expire declares members dead whose suspicion period has ended and returns their peer addresses. It also ends the
// lost state of members after lostRetention and removes dead members after deadRetention.
func (d *Detector) Expire(now time.Time) []string {
	var addresses []string
	d.mergingEverything = false
	for name, r := range d.records {
		switch r.claim.GetState() {
		case pb.MemberState_MEMBER_STATE_SUSPECT:
			if !now.Before(r.suspectedUntil) {
				dead := proto.CloneOf(r.claim)
				dead.State = pb.MemberState_MEMBER_STATE_DEAD
				d.mergeClaim(now, dead)
				d.counters.Deaths++
				addresses = append(addresses, dead.GetPeerAddress())
			}
		case pb.MemberState_MEMBER_STATE_DEAD:
			if r.lost && now.Sub(r.deadAt) > lostRetention {
				r.lost = false
				d.generation++
			}
			if now.Sub(r.deadAt) > deadRetention {
				d.forget(name)
			}
		default:
		}
	}
	if len(addresses) > 0 {
		d.invalidateMembers()
	}
	return addresses
}

// Lost returns the members that were declared dead in the last lostRetention without having left: they have failed or
// are behind a network partition.
func (d *Detector) Lost() []*pb.Member {
	var lost []*pb.Member
	for _, r := range d.records {
		if r.lost {
			lost = append(lost, r.claim)
		}
	}
	return lost
}

// mergeClaim stores a claim about another node if it is newer than the known one, and tells whether it did.
func (d *Detector) mergeClaim(now time.Time, m *pb.Member) bool {
	r := d.records[m.GetName()]
	if r == nil && m.GetState() == pb.MemberState_MEMBER_STATE_DEAD {
		return false // the death of an unknown node needs no record
	}
	if r != nil && m.GetState() == pb.MemberState_MEMBER_STATE_LEAVING &&
		m.GetStartedAt() == r.claim.GetStartedAt() && !r.leaving {
		r.leaving = true // also when the claim is older than a known suspicion
		d.invalidateMembers()
	}
	if r != nil && !newer(m, r.claim) {
		return false
	}
	if !d.assignAddress(now, m) {
		return false
	}
	if r == nil || m.GetStartedAt() > r.claim.GetStartedAt() {
		r = &record{}
		d.records[m.GetName()] = r
	}
	d.config.Asserter.Check(r.claim == nil || m.GetIncarnation() >= r.claim.GetIncarnation(),
		"member_incarnation_never_goes_back", "member", m.GetName())
	d.applyClaim(now, r, m)
	if !d.mergingEverything {
		d.queueRumour(m.GetName())
	}
	return true
}

// applyClaim stores the claim in the record and sets the fields that depend on its state.
func (d *Detector) applyClaim(now time.Time, r *record, m *pb.Member) {
	r.claim = m
	r.suspectedBySelf = false
	r.lost = m.GetState() == pb.MemberState_MEMBER_STATE_DEAD && !r.leaving
	switch m.GetState() {
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		r.suspectedUntil = now.Add(d.config.SuspicionPeriod)
	case pb.MemberState_MEMBER_STATE_DEAD:
		r.deadAt = now
		r.retryDelay = initialRetryDelay
		r.retryAt = now.Add(initialRetryDelay)
	case pb.MemberState_MEMBER_STATE_LEAVING:
		r.leaving = true
	default:
	}
}

// assignAddress assigns the claim's peer address to its process unless a newer process has the address, and tells
// whether it did. The address belongs to one process at a time, so an older process there counts as dead.
func (d *Detector) assignAddress(now time.Time, m *pb.Member) bool {
	if m.GetPeerAddress() == d.self.GetPeerAddress() {
		return false // this process has the address, so the other one has ended
	}
	if previous := d.records[m.GetName()]; previous != nil && previous.claim.GetPeerAddress() != m.GetPeerAddress() {
		delete(d.nameByAddress, previous.claim.GetPeerAddress())
	}
	holder := d.nameByAddress[m.GetPeerAddress()]
	if r := d.records[holder]; r != nil && holder != m.GetName() {
		if m.GetStartedAt() <= r.claim.GetStartedAt() {
			return false
		}
		r.claim = proto.CloneOf(r.claim)
		r.claim.State = pb.MemberState_MEMBER_STATE_DEAD
		r.deadAt = now
		r.retryAt = now.Add(deadRetention)
	}
	d.nameByAddress[m.GetPeerAddress()] = m.GetName()
	delete(d.candidates, m.GetPeerAddress())
	return true
}

// updateLoad stores the load that the sender reports about itself and tells whether it changed. The load is not part of
// the order of claims: a claim that differs only in it is not newer.
func (d *Detector) updateLoad(m *pb.Member) bool {
	r := d.records[m.GetName()]
	if r == nil || r.claim.GetLoad() == m.GetLoad() || m.GetStartedAt() != r.claim.GetStartedAt() {
		return false
	}
	claim := proto.CloneOf(r.claim)
	claim.Load = m.GetLoad()
	r.claim = claim
	return true
}

// handleSelfClaim refutes another node's claim that this node is suspect or dead, and handles a process of the same
// name that started later.
func (d *Detector) handleSelfClaim(m *pb.Member) bool {
	if m.GetStartedAt() > d.self.GetStartedAt() {
		return d.handleSameNameClaim(m)
	}
	if m.GetStartedAt() < d.self.GetStartedAt() || m.GetIncarnation() < d.self.GetIncarnation() ||
		m.GetState() == d.self.GetState() {
		return false
	}
	d.self = proto.CloneOf(d.self)
	d.self.Incarnation = m.GetIncarnation() + 1
	d.counters.Refutations++
	return true
}

// handleSameNameClaim handles a claim about a process with this node's name and a later start time. At this node's own
// address it must be the predecessor, whose clock was ahead; at another address it is the replacement.
func (d *Detector) handleSameNameClaim(m *pb.Member) bool {
	if m.GetPeerAddress() != d.self.GetPeerAddress() {
		changed := !d.superseded
		d.superseded = true
		return changed
	}
	d.self = proto.CloneOf(d.self)
	d.self.StartedAt = m.GetStartedAt() + 1
	d.self.Incarnation = m.GetIncarnation() + 1
	d.counters.Refutations++
	return true
}

// forget removes all state of a dead member.
func (d *Detector) forget(name string) {
	address := d.records[name].claim.GetPeerAddress()
	delete(d.records, name)
	delete(d.transmissionsLeft, name)
	if d.nameByAddress[address] == name {
		delete(d.nameByAddress, address)
	}
}

// newer tells whether m is newer than the known claim about the same name: it compares the start times of the
// processes, then the incarnations, then the states.
func newer(m, known *pb.Member) bool {
	switch {
	case m.GetStartedAt() != known.GetStartedAt():
		return m.GetStartedAt() > known.GetStartedAt()
	case m.GetIncarnation() != known.GetIncarnation():
		return m.GetIncarnation() > known.GetIncarnation()
	default:
		return statePrecedence(m.GetState()) > statePrecedence(known.GetState())
	}
}

// statePrecedence ranks the states of claims with the same incarnation; the higher one wins.
func statePrecedence(s pb.MemberState) int {
	switch s {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return 1
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		return 2
	case pb.MemberState_MEMBER_STATE_DEAD:
		return 3
	default:
		return 0
	}
}
