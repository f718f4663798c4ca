package detector

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Next starts a period and returns the addresses to probe in it: one live member, in rounds of random
// order, and now and then one address at which there may be none.
func (d *Detector) Next(now time.Time) []Target {
	d.period++
	if !d.Joined() {
		return append(d.nextCandidates(now, joinProbes), d.nextDead(now)...)
	}
	var targets []Target
	if t, ok := d.nextMember(); ok {
		targets = append(targets, t)
	}
	if t, ok := d.nextAccused(targets); ok {
		targets = append(targets, t)
	}
	switch d.period % (2 * slowEvery) {
	case 0:
		targets = append(targets, d.nextCandidates(now, 1)...)
	case slowEvery:
		targets = append(targets, d.nextDead(now)...)
	}
	return targets
}

// nextMember takes the next one of the round: of this node's region mostly, of another at times.
func (d *Detector) nextMember() (Target, bool) {
	first, second := &d.local, &d.remote
	if d.period%remoteEvery == 0 {
		first, second = second, first
	}
	for _, round := range []*[]string{first, second} {
		if len(*round) == 0 {
			*round = d.newRound(round == &d.local)
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
	if d.config.Targets != nil {
		names = d.config.Targets(names)
	}
	d.config.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// nextAccused returns a member that this node itself suspects, so that it hears of it and can refute.
func (d *Detector) nextAccused(chosen []Target) (Target, bool) {
	accused := ""
	for name, r := range d.records {
		if !r.accused || r.claim.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			continue
		}
		if (len(chosen) == 0 || chosen[0].Name != name) && (accused == "" || name < accused) {
			accused = name
		}
	}
	if accused == "" {
		return Target{}, false
	}
	return d.target(accused), true
}

// nextDead returns the dead member that has waited longest, so that halves of a fleet that lost each
// other meet again.
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
	r.retryPause = min(2*r.retryPause, maxRetryPause)
	r.retryAt = now.Add(r.retryPause)
	return []Target{d.target(name)}
}

// nextCandidates returns the due addresses that have waited longest, seeds first. Addresses that never
// answer, such as those of VMs on which no node runs, are tried ever more rarely.
func (d *Detector) nextCandidates(now time.Time, count int) []Target {
	var targets []Target
	for len(targets) < count {
		address := ""
		for a, k := range d.candidates {
			if !now.Before(k.tryAt) && (address == "" || k.before(d.candidates[address])) {
				address = a
			}
		}
		if address == "" {
			return targets
		}
		k := d.candidates[address]
		k.pause = min(2*k.pause, k.maxPause())
		k.tryAt = now.Add(k.pause)
		targets = append(targets, Target{Address: address})
	}
	return targets
}

func (k *candidate) before(o *candidate) bool {
	switch {
	case k.seed != o.seed:
		return k.seed
	case !k.tryAt.Equal(o.tryAt):
		return k.tryAt.Before(o.tryAt)
	default:
		return k.ordinal < o.ordinal
	}
}

func (k *candidate) maxPause() time.Duration {
	if k.seed {
		return 2 * firstRetryPause
	}
	return maxCandidateGap
}

func (d *Detector) target(name string) Target {
	claim := d.records[name].claim
	return Target{Address: claim.GetPeerAddress(), Name: name, claim: claim}
}
