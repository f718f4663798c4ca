// Package picker chooses the replica for one call by the power of two choices: of two usable replicas
// drawn at random, it takes the one that is expected to answer first. The random draw keeps many entry
// nodes with the same estimates from all calling the same replica.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
)

type (
	// Config holds the dependencies of a Picker.
	Config struct {
		// Random is used by one goroutine at a time.
		Random *rand.Rand
	}

	// Picker chooses replicas. It is not safe for concurrent use.
	Picker struct {
		random *rand.Rand
	}

	// Request describes the call for which a replica is chosen.
	Request struct {
		Replicas []*scorer.ReplicaState
		// Tried lists replicas that must not be chosen.
		Tried []*scorer.ReplicaState
		// AvoidZone is the availability zone to avoid if a replica in another one is usable; empty for no preference.
		AvoidZone string
		Snapshot  uint64
		Now       time.Time
		// DefaultLatency is the latency assumed for a replica without estimates.
		DefaultLatency time.Duration
	}
)

// New returns a Picker.
func New(c Config) *Picker {
	return &Picker{random: c.Random}
}

// Pick returns the chosen replica, or nil when every replica was tried, is draining or no longer holds the
// snapshot. Replicas that failed recently are chosen only when there is no other.
func (p *Picker) Pick(r Request) *scorer.ReplicaState {
	var preferredArray, fallbackArray [8]*scorer.ReplicaState
	preferred, fallback := preferredArray[:0], fallbackArray[:0]
	for _, rs := range r.Replicas {
		switch {
		case contains(r.Tried, rs) || rs.Draining(r.Now) || rs.LostSnapshot(r.Snapshot, r.Now):
		case rs.Avoided(r.Now):
			fallback = append(fallback, rs)
		default:
			preferred = append(preferred, rs)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	return p.choose(r, outsideZone(preferred, r.AvoidZone))
}

func (p *Picker) choose(r Request, candidates []*scorer.ReplicaState) *scorer.ReplicaState {
	n := len(candidates)
	switch n {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	i := p.random.IntN(n)
	j := p.random.IntN(n - 1)
	if j >= i {
		j++
	}
	first, second := candidates[i], candidates[j]
	if second.ExpectedLatency(r.Now, r.DefaultLatency) < first.ExpectedLatency(r.Now, r.DefaultLatency) {
		return second
	}
	return first
}

// outsideZone returns the candidates outside the zone, or all when there are none; it reorders candidates.
func outsideZone(candidates []*scorer.ReplicaState, zone string) []*scorer.ReplicaState {
	if zone == "" {
		return candidates
	}
	outside := 0
	for i, rs := range candidates {
		if rs.Leaf().GetAvailabilityZone() != zone {
			candidates[outside], candidates[i] = candidates[i], candidates[outside]
			outside++
		}
	}
	if outside == 0 {
		return candidates
	}
	return candidates[:outside]
}

func contains(list []*scorer.ReplicaState, rs *scorer.ReplicaState) bool {
	for _, t := range list {
		if t == rs {
			return true
		}
	}
	return false
}
