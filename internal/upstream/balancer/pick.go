package balancer

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
)

type (
	// Call describes a call for which a leaf is to be picked.
	Call struct {
		// Call is what the request loses if the call is not answered in time, and the size of the call.
		localizer.Call
		// TypicalLatency is the usual latency of such calls.
		TypicalLatency time.Duration
	}

	// Departure describes a call that leaves the availability zone, and what this was decided from.
	Departure struct {
		Service, Zone string
		// Reason says why the leaves of the own zone were not picked.
		Reason Reason
		// Expected and Local are the expected latencies of the picked leaf and of the best one of the own zone; Local is 0
		// if there is none.
		Expected, Local time.Duration
		// Cost is the cost of the call's bytes, and Saved the loss that the call avoids, as shares of the request's value.
		Cost, Saved float64
		// LocalSilence is how long the oldest open call to the leaf of the own zone has been open; 0 without one.
		LocalSilence time.Duration
	}

	// Reason says why a call leaves the availability zone.
	Reason string

	// candidate is a leaf that may get a call.
	candidate struct {
		leaf     *Leaf
		expected time.Duration
		// loss is the expected loss, with the cost of bytes between zones.
		loss float64
	}
)

const (
	// ReasonNoLeaf means that the own zone has no leaf that may be called.
	ReasonNoLeaf Reason = "no_leaf"
	// ReasonTried means that the request has already been sent to the leaves of the own zone.
	ReasonTried Reason = "tried"
	// ReasonCold means that the leaf of the own zone is cold, and slow or not to be called more often.
	ReasonCold Reason = "cold"
	// ReasonFull means that calls wait for a connection to the leaf of the own zone.
	ReasonFull Reason = "full"
	// ReasonSlow means that the leaf of the own zone is slow, stalled or failing.
	ReasonSlow Reason = "slow"
)

// Reasons returns all reasons for which a call leaves the zone.
func Reasons() []Reason {
	return []Reason{ReasonNoLeaf, ReasonTried, ReasonCold, ReasonFull, ReasonSlow}
}

// Pick returns the leaf of the service at which the answer loses least, and its expected latency, or nil when no
// untried leaf may get a call now. Among the leaves of a zone it is the one with the lowest expected latency.
func (b *Balancer) Pick(service string, call Call, tried func(*Leaf) bool, now time.Time) (*Leaf, time.Duration) {
	b.mutex.Lock()
	leaves, limits, split := b.usable[service], b.serviceLimits[service], b.splits[service]
	b.mutex.Unlock()
	if split != nil {
		return b.pickSplit(leaves, limits, split, call, tried, now)
	}
	return b.pickFrom(leaves, limits, call, tried, now)
}

// pickFrom picks among the leaves that are given.
func (b *Balancer) pickFrom(leaves []*Leaf, limits Service, call Call, tried func(*Leaf) bool, now time.Time) (*Leaf,
	time.Duration,
) {
	trafficCost := b.config.Localizer.TrafficCost(call.Call)
	var best, local candidate
	unavailable := ReasonNoLeaf
	for _, l := range leaves {
		ownZone := l.entry.Zone == b.config.Zone
		if tried(l) {
			if ownZone {
				unavailable = ReasonTried
			}
			continue
		}
		if !l.available(now, limits.WarmUpRate, b.config.ColdShare) {
			if ownZone && l.isCold(now) {
				unavailable = ReasonCold
			}
			continue
		}
		c := candidate{leaf: l, expected: b.expectedLatency(l, call.TypicalLatency, now)}
		c.loss = b.config.Localizer.Loss(call.Call, c.expected)
		if ownZone {
			local = better(local, c)
		} else {
			c.loss += trafficCost
		}
		best = better(best, c)
	}
	if best.leaf == nil {
		return nil, 0
	}
	best.leaf.spendColdToken(now, limits.WarmUpRate)
	if b.config.OnZoneLeft != nil && best.leaf.entry.Zone != b.config.Zone {
		b.config.OnZoneLeft(departure(best, local, trafficCost, unavailable, now))
	}
	return best.leaf, best.expected
}

// better returns the candidate with the lower loss or, if both lose the same, with the lower expected latency. Either
// may be the zero value.
func better(a, b candidate) candidate {
	if a.leaf == nil || b.leaf != nil && (b.loss < a.loss || b.loss == a.loss && b.expected < a.expected) {
		return b
	}
	return a
}

// departure describes a call that goes to best instead of local. If local is the zero value, unavailable says why.
func departure(best, local candidate, trafficCost float64, unavailable Reason, now time.Time) Departure {
	d := Departure{
		Service: best.leaf.entry.Service, Zone: best.leaf.entry.Zone, Expected: best.expected, Local: local.expected,
		Cost: trafficCost,
	}
	if local.leaf != nil {
		d.Saved = local.loss - best.loss + trafficCost
		d.LocalSilence = local.leaf.scorer.OldestOpenCall(now)
	}
	switch {
	case local.leaf == nil:
		d.Reason = unavailable
	case local.leaf.isCold(now):
		d.Reason = ReasonCold
	case !local.leaf.exchanger.HasCapacity():
		d.Reason = ReasonFull
	default:
		d.Reason = ReasonSlow
	}
	return d
}

// expectedLatency returns the expected latency of a call to the leaf, the wait for a connection included.
func (b *Balancer) expectedLatency(l *Leaf, typicalLatency time.Duration, now time.Time) time.Duration {
	expected := l.scorer.ExpectedLatency(now, typicalLatency, l.entry.Slots)
	if ahead, inFlight := l.exchanger.Queue(); ahead > 0 {
		expected += l.scorer.ServiceTime(now, typicalLatency) * time.Duration(ahead) / time.Duration(inFlight)
	}
	if l.isCold(now) {
		expected = time.Duration(float64(expected) * coldFactor)
	}
	if l.exchanger.LastResort(now) {
		expected += lastResortPenalty
	}
	return time.Duration(float64(expected) * (1 + latencyJitter*b.config.Random()))
}
