// Package picker chooses the replica for one call. The usable replicas and those already tried flow in,
// one replica flows out. Two replicas are drawn at random and the one that is expected to answer first
// is taken, so that many entries with the same estimates do not all turn to the same replica.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
)

type (
	// Config holds what a Picker needs.
	Config struct {
		// Random is used by one goroutine at a time.
		Random *rand.Rand
	}

	// Picker chooses replicas. It is not safe for concurrent use.
	Picker struct {
		random *rand.Rand
	}

	// Request says which replica is wanted.
	Request struct {
		Replicas []*gauger.Gauge
		// Tried are never chosen.
		Tried []*gauger.Gauge
		// Zone is the availability zone to leave if another is at hand; empty for any.
		Zone     string
		Snapshot uint64
		Now      time.Time
		// Typical is the latency of a replica without estimates.
		Typical time.Duration
	}
)

// New returns a Picker.
func New(c Config) *Picker {
	return &Picker{random: c.Random}
}

// Pick returns the chosen replica, or nil when every one was tried, drains or lost the snapshot.
// Replicas that failed lately are chosen only when there is no other.
func (p *Picker) Pick(r Request) *gauger.Gauge {
	var fresh, avoided [8]*gauger.Gauge
	good, fallback := fresh[:0], avoided[:0]
	for _, g := range r.Replicas {
		switch {
		case tried(r.Tried, g) || g.Draining(r.Now) || g.Lost(r.Snapshot, r.Now):
		case g.Avoided(r.Now):
			fallback = append(fallback, g)
		default:
			good = append(good, g)
		}
	}
	if len(good) == 0 {
		good = fallback
	}
	return p.choose(r, elsewhere(good, r.Zone))
}

func (p *Picker) choose(r Request, candidates []*gauger.Gauge) *gauger.Gauge {
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
	if second.Expected(r.Now, r.Typical) < first.Expected(r.Now, r.Typical) {
		return second
	}
	return first
}

// elsewhere keeps the candidates outside the zone, or all when there are none.
func elsewhere(candidates []*gauger.Gauge, zone string) []*gauger.Gauge {
	if zone == "" {
		return candidates
	}
	outside := 0
	for i, g := range candidates {
		if g.Leaf().GetAvailabilityZone() != zone {
			candidates[outside], candidates[i] = candidates[i], candidates[outside]
			outside++
		}
	}
	if outside == 0 {
		return candidates
	}
	return candidates[:outside]
}

func tried(list []*gauger.Gauge, g *gauger.Gauge) bool {
	for _, t := range list {
		if t == g {
			return true
		}
	}
	return false
}
