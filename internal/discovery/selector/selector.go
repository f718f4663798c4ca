// Package selector selects the nodes that serve callers from the current view of the fleet. It returns the addresses
// that a caller of an availability zone should use, and tells a node whether it serves callers at all.
//
// A request over many shards is served best by a node that sees many calls of each leaf, so a few large nodes serve
// all callers and the others are on standby. In each zone, the large nodes serve: those with at least
// largeNodeShare of the capacity of the fleet's largest node. A zone with fewer than two of them also uses those of
// other zones, and its own small nodes only if there are fewer than two large nodes in total. Suspected and leaving
// nodes are left out as long as there are others. The list is empty only on a node that knows no live node at all.
package selector

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// maxAddresses is the maximum number of addresses in one answer.
	maxAddresses = 64
	// minServingNodes is the number of large nodes that suffices for a zone's callers, so that one may fail.
	minServingNodes = 2
	// largeNodeShare is the minimum capacity of a large node, as a share of the largest node's capacity.
	largeNodeShare = 0.5
)

type (
	// View lists the nodes that may be given work.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Selector needs.
	Config struct {
		View View
		// KeepFor is how long callers may cache the addresses.
		KeepFor time.Duration
	}

	// Selector selects the nodes that serve callers. It is safe for concurrent use.
	Selector struct {
		config Config
	}
)

// New returns a Selector.
func New(c Config) *Selector {
	return &Selector{config: c}
}

// Addresses returns the addresses for a caller in an availability zone, and how long the caller may cache them.
func (sl *Selector) Addresses(zone string) ([]string, time.Duration) {
	nodes := servingNodes(sl.config.View.Members(), zone)
	addresses := make([]string, 0, len(nodes))
	for _, m := range nodes[:min(len(nodes), maxAddresses)] {
		addresses = append(addresses, m.GetCallerAddress())
	}
	return addresses, sl.config.KeepFor
}

// CountServing returns the number of nodes that serve the callers of all zones, at least 1, and whether the node with
// the given name is one of them.
func (sl *Selector) CountServing(name string) (count int, included bool) {
	members := sl.config.View.Members()
	seenZones, serving := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		zone := m.GetAvailabilityZone()
		if seenZones[zone] {
			continue
		}
		seenZones[zone] = true
		for _, s := range servingNodes(members, zone) {
			serving[s.GetName()] = true
		}
	}
	return max(1, len(serving)), serving[name]
}

// servingNodes returns the nodes that serve the callers of a zone.
func servingNodes(members []*pb.Member, zone string) []*pb.Member {
	candidates := aliveMembers(members)
	largest := uint32(0)
	for _, m := range candidates {
		largest = max(largest, m.GetCapacity())
	}
	var sameZone, otherZones, small []*pb.Member
	for _, m := range candidates {
		switch {
		case float64(m.GetCapacity()) < largeNodeShare*float64(largest):
			if m.GetAvailabilityZone() == zone {
				small = append(small, m)
			}
		case m.GetAvailabilityZone() == zone:
			sameZone = append(sameZone, m)
		default:
			otherZones = append(otherZones, m)
		}
	}
	if len(sameZone) >= minServingNodes {
		return sameZone
	}
	if len(sameZone)+len(otherZones) >= minServingNodes {
		return append(sameZone, otherZones...)
	}
	return append(append(sameZone, otherZones...), small...)
}

// aliveMembers returns the members in state alive or, if there are none, all members. It ignores members without a
// caller address.
func aliveMembers(members []*pb.Member) []*pb.Member {
	var alive, all []*pb.Member
	for _, m := range members {
		if m.GetCallerAddress() == "" {
			continue
		}
		all = append(all, m)
		if m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE {
			alive = append(alive, m)
		}
	}
	if len(alive) == 0 {
		return all
	}
	return alive
}
