package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// NextTargets starts a probe period and returns the addresses to probe in it. Once the node has joined, these are one
// live member, taken from rounds over all of them, at most one member that this node itself suspects, some more members
// after a change of its request for helpers, and in every periodsPerNonMemberProbe-th period one address where no live
// node is known: a candidate and a dead member in turn.
func (d *Detector) NextTargets(now time.Time) []Target {
	d.period++
	if !d.Joined() {
		return append(d.nextCandidates(now, joinProbesPerPeriod), d.nextDead(now)...)
	}
	var targets []Target
	if t, ok := d.nextMember(now); ok {
		targets = append(targets, t)
	}
	if t, ok := d.nextOwnSuspect(targets); ok {
		targets = append(targets, t)
	}
	if d.announcementPending {
		d.announcementPending = false
		targets = append(targets, d.announcementTargets(targets)...)
	}
	switch d.period % (2 * periodsPerNonMemberProbe) {
	case 0:
		targets = append(targets, d.nextCandidates(now, 1)...)
	case periodsPerNonMemberProbe:
		targets = append(targets, d.nextDead(now)...)
	}
	return targets
}

// nextMember returns the live member to probe in this period, in every periodsPerRemoteProbe-th period one of another
// region if there is any, and otherwise one of this node's region.
func (d *Detector) nextMember(now time.Time) (Target, bool) {
	period := uint64(now.UnixNano()) / uint64(d.config.ProbePeriod)
	if period%periodsPerRemoteProbe == 0 {
		if t, ok := d.nextInRound(&d.remoteRound, period/periodsPerRemoteProbe); ok {
			return t, true
		}
	}
	if t, ok := d.nextInRound(&d.localRound, period); ok {
		return t, true
	}
	return d.nextInRound(&d.remoteRound, period)
}

// nextInRound returns the member at the position of the step in its round, or the next live one after it. It starts a
// new round when the previous one has ended or the view has changed.
func (d *Detector) nextInRound(r *round, step uint64) (Target, bool) {
	if r.generation != d.Generation() || r.number != step/uint64(max(1, len(r.names))) {
		*r = d.newRound(r == &d.localRound, step)
	}
	for i := range r.names {
		name := r.names[(step+uint64(i))%uint64(len(r.names))]
		if k := d.records[name]; k != nil && k.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			return d.target(name), true
		}
	}
	return Target{}, false
}

// newRound returns the round that has the step, over this node's region or all others. If all members are targets, they
// are in the order of their distance from this node in the ring of names, shuffled in the same way by all nodes: as
// long as views and clocks agree, each member is probed by exactly one node a period. A node with few targets has them
// in an order of its own, in which rumours spread faster; each of them is a target of few nodes that come to it often.
func (d *Detector) newRound(local bool, step uint64) round {
	names := d.membersByDistance(local)
	members := len(names)
	if d.config.FilterTargets != nil {
		names = d.config.FilterTargets(names)
	}
	number := step / uint64(max(1, len(names)))
	random := d.config.Random
	if len(names) == members {
		random = rand.New(rand.NewPCG(number, uint64(members))) //nolint:gosec // spreads probes, protects nothing
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return round{generation: d.Generation(), number: number, names: names}
}

// membersByDistance returns the names of the live members of this node's region or of all others, in the order of the
// ring of names that begins behind this node.
func (d *Detector) membersByDistance(local bool) []string {
	var behind, before []string
	for _, n := range d.sortedNames() {
		claim := d.records[n].claim
		isLocal := claim.GetRegion() == d.self.GetRegion()
		switch {
		case isLocal != local || claim.GetState() == pb.MemberState_MEMBER_STATE_DEAD:
		case n > d.self.GetName():
			behind = append(behind, n)
		default:
			before = append(before, n)
		}
	}
	return append(behind, before...)
}

// announcementTargets returns up to maxAnnouncementTargets members of this node's region besides the chosen targets.
func (d *Detector) announcementTargets(chosen []Target) []Target {
	var targets []Target
	for _, name := range d.localRound.names {
		if len(targets) == maxAnnouncementTargets {
			break
		}
		isChosen := slices.ContainsFunc(chosen, func(t Target) bool { return t.Name == name })
		if r := d.records[name]; !isChosen && r != nil && r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			targets = append(targets, d.target(name))
		}
	}
	return targets
}

// nextOwnSuspect returns a member that this node itself suspects and that is not the chosen target already. The
// probe tells the member of the suspicion, so that it can refute it.
func (d *Detector) nextOwnSuspect(chosen []Target) (Target, bool) {
	suspect := ""
	for name, r := range d.records {
		if !r.suspectedBySelf || r.claim.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			continue
		}
		if (len(chosen) == 0 || chosen[0].Name != name) && (suspect == "" || name < suspect) {
			suspect = name
		}
	}
	if suspect == "" {
		return Target{}, false
	}
	return d.target(suspect), true
}

// nextDead returns the dead member whose retry has been due longest, if any. Probing dead members lets the two
// sides of a healed network partition find each other again.
func (d *Detector) nextDead(now time.Time) []Target {
	name := ""
	for n, r := range d.records {
		if r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD || now.Before(r.retryAt) {
			continue
		}
		if name == "" || r.retryAt.Before(d.records[name].retryAt) ||
			(r.retryAt.Equal(d.records[name].retryAt) && n < name) {
			name = n
		}
	}
	if name == "" {
		return nil
	}
	r := d.records[name]
	r.retryDelay = min(2*r.retryDelay, maxDeadRetryDelay)
	r.retryAt = now.Add(r.retryDelay)
	return []Target{d.target(name)}
}

// nextCandidates returns up to count candidate addresses whose retry is due, seeds first and then those due longest.
// The retry delay doubles with each attempt, because many addresses never answer, such as those of VMs on which no
// node runs.
func (d *Detector) nextCandidates(now time.Time, count int) []Target {
	var targets []Target
	for len(targets) < count {
		address := ""
		for a, k := range d.candidates {
			if !now.Before(k.retryAt) && (address == "" || k.before(d.candidates[address])) {
				address = a
			}
		}
		if address == "" {
			return targets
		}
		k := d.candidates[address]
		k.retryDelay = min(2*k.retryDelay, k.maxRetryDelay())
		k.retryAt = now.Add(k.retryDelay)
		targets = append(targets, Target{Address: address})
	}
	return targets
}

// before tells whether k is probed before o: seeds first, then by due time, then by the random tie breaker.
func (k *candidate) before(o *candidate) bool {
	switch {
	case k.seed != o.seed:
		return k.seed
	case !k.retryAt.Equal(o.retryAt):
		return k.retryAt.Before(o.retryAt)
	default:
		return k.tieBreaker < o.tieBreaker
	}
}

func (k *candidate) maxRetryDelay() time.Duration {
	if k.seed {
		return 2 * initialRetryDelay
	}
	return maxCandidateRetryDelay
}

func (d *Detector) target(name string) Target {
	claim := d.records[name].claim
	return Target{Address: claim.GetPeerAddress(), Name: name, claim: claim}
}
