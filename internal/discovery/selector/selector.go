// Package selector selects the nodes that serve callers from the current view of the fleet. It returns the addresses
// that a caller of an availability zone should use, and tells a node whether it serves callers at all.
//
// A request over many shards is served best by a node that sees many calls of each leaf, so a few large nodes serve
// all callers and the others are on standby. They serve in the zones that hold most leaves, because every part of an
// answer that comes from another zone costs traffic between zones. Large nodes are those with at least largeNodeShare
// of the capacity of the fleet's largest node. How many serve follows from the slots of the leaves, which a larger
// number of nodes could only overload, and from the helpers that busy nodes ask for. Suspected and leaving nodes are
// left out as long as there are others, and the next node of the zone takes the place of one that is lost. The list is
// empty only on a node that knows no live node at all.
package selector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/upstream/apportioner"
)

const (
	// maxAddresses is the maximum number of addresses in one answer.
	maxAddresses = 64
	// minServingNodes is the number of nodes that suffices for a zone's callers, so that one may fail.
	minServingNodes = 2
	// minFleetServing is the number of nodes that serve in the whole fleet at least, if there are as many, so that the
	// loss of one takes at most a fifth of the requests along.
	minFleetServing = 5
	// largeNodeShare is the minimum capacity of a large node, as a share of the largest node's capacity.
	largeNodeShare = 0.5
	// leafZoneShare is the number of leaves from which nodes serve in a zone, as a share of the zone with most leaves.
	leafZoneShare = 0.5
)

type (
	// View lists the nodes that may be given work.
	View interface {
		Members() []*pb.Member
	}

	// Leaves describes the leaves that may be called.
	Leaves struct {
		// ByZone is the number of leaves in each availability zone.
		ByZone map[string]int
		// Slots is the usual number of slots of a leaf, at least 1; 0 if no leaf is known.
		Slots int
	}

	// Config holds what a Selector needs.
	Config struct {
		View View
		// Leaves returns the leaves that may be called.
		Leaves func() Leaves
		// KeepFor is how long callers may cache the addresses.
		KeepFor time.Duration
	}

	// Selector selects the nodes that serve callers. It is safe for concurrent use.
	Selector struct {
		config Config
	}

	// selection is the nodes that serve.
	selection struct {
		// byZone has the serving nodes of each zone.
		byZone map[string][]*pb.Member
		// small has the nodes of each zone that are not large.
		small map[string][]*pb.Member
		// count is the number of nodes in byZone.
		count int
	}
)

// New returns a Selector.
func New(c Config) *Selector {
	return &Selector{config: c}
}

// Addresses returns the addresses for a caller in an availability zone, and how long the caller may cache them.
func (sl *Selector) Addresses(zone string) ([]string, time.Duration) {
	nodes := sl.selectNodes().forZone(zone)
	addresses := make([]string, 0, len(nodes))
	for _, m := range nodes[:min(len(nodes), maxAddresses)] {
		addresses = append(addresses, m.GetCallerAddress())
	}
	return addresses, sl.config.KeepFor
}

// CountServing returns the number of nodes that serve the callers of all zones, at least 1, and whether the node with
// the given name is one of them.
func (sl *Selector) CountServing(name string) (count int, included bool) {
	serving := sl.Serving()
	_, included = serving[name]
	return max(1, len(serving)), included
}

// Serving returns the nodes that serve the callers of all zones, by name.
func (sl *Selector) Serving() map[string]*pb.Member {
	s := sl.selectNodes()
	serving := map[string]*pb.Member{}
	for _, m := range sl.config.View.Members() {
		for _, n := range s.forZone(m.GetAvailabilityZone()) {
			serving[n.GetName()] = n
		}
	}
	return serving
}

// CountServingInZone returns the number of nodes of a zone that serve callers.
func (sl *Selector) CountServingInZone(zone string) int {
	return len(sl.selectNodes().byZone[zone])
}

// selectNodes selects the serving nodes of all zones.
func (sl *Selector) selectNodes() selection {
	large, small := splitBySize(aliveMembers(sl.config.View.Members()))
	leaves := sl.config.Leaves()
	s := selection{byZone: map[string][]*pb.Member{}, small: small}
	zones := leafZones(large, leaves)
	for _, z := range zones {
		s.byZone[z] = selectInZone(large[z], nodesPerZone(leaves.Slots, len(zones)))
		s.count += len(s.byZone[z])
	}
	if s.count < minServingNodes {
		s.byZone, s.count = large, 0
		for _, nodes := range large {
			s.count += len(nodes)
		}
	}
	return s
}

// forZone returns the nodes that serve the callers of a zone: those of the zone if there are enough, else all.
func (s selection) forZone(zone string) []*pb.Member {
	nodes := slices.Clone(s.byZone[zone])
	if len(nodes) >= minServingNodes {
		return nodes
	}
	for _, z := range sortedKeys(s.byZone) {
		if z != zone {
			nodes = append(nodes, s.byZone[z]...)
		}
	}
	if s.count < minServingNodes {
		nodes = append(nodes, s.small[zone]...)
	}
	return nodes
}

// nodesPerZone returns how many nodes serve in each of the given number of zones, before helpers.
func nodesPerZone(slots, zones int) int {
	if slots == 0 {
		return math.MaxInt32
	}
	return max(apportioner.ServingNodes(slots)/zones, int(math.Ceil(float64(minFleetServing)/float64(zones))))
}

// selectInZone returns the given number of a zone's large nodes, and as many more as the busiest of them asks for. All
// nodes with the same view select the same ones, and the loss of one node replaces only that one.
func selectInZone(nodes []*pb.Member, count int) []*pb.Member {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b *pb.Member) int {
		return cmp.Or(cmp.Compare(b.GetCapacity(), a.GetCapacity()),
			cmp.Compare(xxhash.Sum64String(a.GetName()), xxhash.Sum64String(b.GetName())))
	})
	count = min(count, len(ranked))
	helpers := 0
	for _, m := range ranked[:count] {
		helpers = max(helpers, int(m.GetHelpers()))
	}
	selected := ranked[:min(count+helpers, len(ranked))]
	slices.SortFunc(selected, func(a, b *pb.Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return selected
}

// leafZones returns, in order, the zones with large nodes that hold many leaves, or all zones with large nodes if none
// of them does.
func leafZones(large map[string][]*pb.Member, leaves Leaves) []string {
	most := 0
	for z := range large {
		most = max(most, leaves.ByZone[z])
	}
	zones := sortedKeys(large)
	return slices.DeleteFunc(zones, func(z string) bool {
		return float64(leaves.ByZone[z]) < leafZoneShare*float64(most)
	})
}

// splitBySize returns the large nodes and the others, by zone and in order of their names.
func splitBySize(members []*pb.Member) (large, small map[string][]*pb.Member) {
	largest := uint32(0)
	for _, m := range members {
		largest = max(largest, m.GetCapacity())
	}
	large, small = map[string][]*pb.Member{}, map[string][]*pb.Member{}
	for _, m := range members {
		group := large
		if float64(m.GetCapacity()) < largeNodeShare*float64(largest) {
			group = small
		}
		group[m.GetAvailabilityZone()] = append(group[m.GetAvailabilityZone()], m)
	}
	return large, small
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

func sortedKeys(m map[string][]*pb.Member) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
