package detector

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// NextTargets starts a probe period and returns the addresses to probe in it. Once the node has joined, these are one
// live member, taken from shuffled rounds, at most one member that this node itself suspects, and in every
// periodsPerNonMemberProbe-th period one address where no live node is known: a candidate and a dead member in turn.
func (d *Detector) NextTargets(now time.Time) []Target {
	d.period++
	if !d.Joined() {
		return append(d.nextCandidates(now, joinProbesPerPeriod), d.nextDead(now)...)
	}
	var targets []Target
	if t, ok := d.nextMember(); ok {
		targets = append(targets, t)
	}
	if t, ok := d.nextOwnSuspect(targets); ok {
		targets = append(targets, t)
	}
	switch d.period % (2 * periodsPerNonMemberProbe) {
	case 0:
		targets = append(targets, d.nextCandidates(now, 1)...)
	case periodsPerNonMemberProbe:
		targets = append(targets, d.nextDead(now)...)
	}
	return targets
}

// nextMember returns the next live member of the current round, in every periodsPerRemoteProbe-th period from the
// round of the other regions and otherwise from that of this node's region. It uses the other round when the
// preferred one has no live member.
func (d *Detector) nextMember() (Target, bool) {
	first, second := &d.localRound, &d.remoteRound
	if d.period%periodsPerRemoteProbe == 0 {
		first, second = second, first
	}
	for _, round := range []*[]string{first, second} {
		if len(*round) == 0 {
			*round = d.newRound(round == &d.localRound)
		}
		for len(*round) > 0 {
			name := (*round)[0]
			*round = (*round)[1:]
			if r := d.records[name]; r != nil && r.claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
				return d.target(name), true
			}
		}
	}
	return Target{}, false
}

func (d *Detector) newRound(local bool) []string {
	var names []string
	for _, n := range d.sortedNames() {
		claim := d.records[n].claim
		isLocal := claim.GetRegion() == d.self.GetRegion()
		if isLocal == local && claim.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			names = append(names, n)
		}
	}
	if d.config.FilterTargets != nil {
		names = d.config.FilterTargets(names)
	}
	d.config.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
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
