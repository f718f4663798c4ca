package detector

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Learn takes the rumours of a message. The first one is what the sender says of itself. What comes with everything
// else that the sender knows is not passed on as a rumour: the others learn it in the same way.
func (d *Detector) Learn(now time.Time, rumours []*pb.Member) {
	if len(rumours) == 0 {
		return
	}
	changed := false
	d.bulk = len(rumours) > 2+maxRumours
	if d.bulk && len(d.transmissions) > manyRumours {
		clear(d.transmissions) // what others miss of them, they ask for as this node did
	}
	for _, m := range rumours {
		switch {
		case m.GetName() == "" || m.GetPeerAddress() == "":
		case m.GetName() == d.self.GetName():
			changed = d.hearOfSelf(m) || changed
		default:
			changed = d.take(now, m) || changed
		}
	}
	changed = d.takeLoad(rumours[0]) || changed
	if changed {
		d.rebuild()
	}
}

// Failed takes note that neither the target nor any relay on its behalf answered.
func (d *Detector) Failed(now time.Time, t Target) {
	r := d.records[t.Name]
	if r == nil || r.claim != t.claim || r.claim.GetState() == pb.MemberState_MEMBER_STATE_DEAD ||
		r.claim.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
		return // it has spoken since, or it is suspected already
	}
	suspect := proto.CloneOf(r.claim)
	suspect.State = pb.MemberState_MEMBER_STATE_SUSPECT
	d.bulk = false
	d.take(now, suspect)
	r.accused = true
	d.counters.Suspicions++
	d.rebuild()
}

// Expire declares dead whose suspicion is over and returns the addresses of those; it forgets the long dead.
func (d *Detector) Expire(now time.Time) []string {
	var addresses []string
	d.bulk = false
	for name, r := range d.records {
		switch r.claim.GetState() {
		case pb.MemberState_MEMBER_STATE_SUSPECT:
			if !now.Before(r.suspectedUntil) {
				dead := proto.CloneOf(r.claim)
				dead.State = pb.MemberState_MEMBER_STATE_DEAD
				d.take(now, dead)
				d.counters.Deaths++
				addresses = append(addresses, dead.GetPeerAddress())
			}
		case pb.MemberState_MEMBER_STATE_DEAD:
			if r.lost && now.Sub(r.deadAt) > lostKeepFor {
				r.lost = false
				d.generation++
			}
			if now.Sub(r.deadAt) > deadKeepFor {
				d.forget(name)
			}
		default:
		}
	}
	if len(addresses) > 0 {
		d.rebuild()
	}
	return addresses
}

// Lost returns the members that fell silent of late without having left: they are gone, or behind a network partition.
func (d *Detector) Lost() []*pb.Member {
	var lost []*pb.Member
	for _, r := range d.records {
		if r.lost {
			lost = append(lost, r.claim)
		}
	}
	return lost
}

// take replaces what is known of another node when the claim is newer.
func (d *Detector) take(now time.Time, m *pb.Member) bool {
	r := d.records[m.GetName()]
	if r == nil && m.GetState() == pb.MemberState_MEMBER_STATE_DEAD {
		return false // nothing to bury
	}
	if r != nil && m.GetState() == pb.MemberState_MEMBER_STATE_LEAVING &&
		m.GetStartedAt() == r.claim.GetStartedAt() && !r.leaving {
		r.leaving = true // even when the claim itself is older than a suspicion
		d.rebuild()
	}
	if r != nil && !newer(m, r.claim) {
		return false
	}
	if !d.takeAddress(now, m) {
		return false
	}
	if r == nil || m.GetStartedAt() > r.claim.GetStartedAt() {
		r = &record{}
		d.records[m.GetName()] = r
	}
	d.config.Asserter.Check(r.claim == nil || m.GetIncarnation() >= r.claim.GetIncarnation(),
		"member_incarnation_never_goes_back", "member", m.GetName())
	d.enter(now, r, m)
	if !d.bulk {
		d.spread(m.GetName())
	}
	return true
}

// enter sets the times that go with the claim's state.
func (d *Detector) enter(now time.Time, r *record, m *pb.Member) {
	r.claim = m
	r.accused = false
	r.lost = m.GetState() == pb.MemberState_MEMBER_STATE_DEAD && !r.leaving
	switch m.GetState() {
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		r.suspectedUntil = now.Add(d.config.SuspicionPeriod)
	case pb.MemberState_MEMBER_STATE_DEAD:
		r.deadAt = now
		r.retryPause = firstRetryPause
		r.retryAt = now.Add(firstRetryPause)
	case pb.MemberState_MEMBER_STATE_LEAVING:
		r.leaving = true
	default:
	}
}

// takeAddress makes the newest process the holder of the claim's address; its predecessor there is gone.
func (d *Detector) takeAddress(now time.Time, m *pb.Member) bool {
	if m.GetPeerAddress() == d.self.GetPeerAddress() {
		return false // this process holds the address, so the other one is gone
	}
	if before := d.records[m.GetName()]; before != nil && before.claim.GetPeerAddress() != m.GetPeerAddress() {
		delete(d.names, before.claim.GetPeerAddress())
	}
	holder := d.names[m.GetPeerAddress()]
	if r := d.records[holder]; r != nil && holder != m.GetName() {
		if m.GetStartedAt() <= r.claim.GetStartedAt() {
			return false
		}
		r.claim = proto.CloneOf(r.claim)
		r.claim.State = pb.MemberState_MEMBER_STATE_DEAD
		r.deadAt = now
		r.retryAt = now.Add(deadKeepFor)
	}
	d.names[m.GetPeerAddress()] = m.GetName()
	delete(d.candidates, m.GetPeerAddress())
	return true
}

// takeLoad refreshes the load that a live sender tells of itself; it is no claim of its own.
func (d *Detector) takeLoad(m *pb.Member) bool {
	r := d.records[m.GetName()]
	if r == nil || r.claim.GetLoad() == m.GetLoad() || m.GetStartedAt() != r.claim.GetStartedAt() {
		return false
	}
	claim := proto.CloneOf(r.claim)
	claim.Load = m.GetLoad()
	r.claim = claim
	return true
}

// hearOfSelf refutes a claim that this node is suspect, dead or replaced.
func (d *Detector) hearOfSelf(m *pb.Member) bool {
	if m.GetStartedAt() > d.self.GetStartedAt() {
		return d.hearOfNamesake(m)
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

// hearOfNamesake handles a process with this node's name that says to have started later. At this node's
// own address it must be the predecessor, whose clock ran ahead; elsewhere it is the replacement.
func (d *Detector) hearOfNamesake(m *pb.Member) bool {
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

func (d *Detector) forget(name string) {
	address := d.records[name].claim.GetPeerAddress()
	delete(d.records, name)
	delete(d.transmissions, name)
	if d.names[address] == name {
		delete(d.names, address)
	}
}

// newer orders claims about one name: by start of the process, by incarnation, then by state.
func newer(m, known *pb.Member) bool {
	switch {
	case m.GetStartedAt() != known.GetStartedAt():
		return m.GetStartedAt() > known.GetStartedAt()
	case m.GetIncarnation() != known.GetIncarnation():
		return m.GetIncarnation() > known.GetIncarnation()
	default:
		return precedence(m.GetState()) > precedence(known.GetState())
	}
}

func precedence(s pb.MemberState) int {
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
