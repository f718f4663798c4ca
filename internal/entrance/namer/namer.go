// Package namer tells callers which addresses to use. The live view flows in; the addresses that a caller of
// an availability zone should use flow out, and with them the set of nodes that serve callers at all.
//
// The load it answers: a request over many shards is served best by a node that sees many calls of each leaf,
// so few large nodes serve all callers and the others stand by. In each zone the nodes that are about as large
// as the largest of the fleet serve. A zone with less than two of them uses those of other zones, and small
// ones only when there are no large ones left. Nodes that are suspected or leaving are not named while others
// are there; the list is empty only on a node that knows no live node at all.
package namer

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// maxAddresses is how many addresses one answer names.
	maxAddresses = 64
	// wanted is how many live nodes are enough for a caller: one may die.
	wanted = 2
	// largeShare of the largest node's capacity makes a node large.
	largeShare = 0.5
)

type (
	// View lists the nodes that may be given work.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Namer needs.
	Config struct {
		View View
		// KeepFor is how long callers may keep an answer.
		KeepFor time.Duration
	}

	// Namer names addresses. It is safe for concurrent use.
	Namer struct {
		config Config
	}
)

// New returns a Namer.
func New(c Config) *Namer {
	return &Namer{config: c}
}

// Addresses returns the addresses for a caller in an availability zone, and how long it may keep them.
func (n *Namer) Addresses(zone string) ([]string, time.Duration) {
	named := choose(n.config.View.Members(), zone)
	addresses := make([]string, 0, len(named))
	for _, m := range named[:min(len(named), maxAddresses)] {
		addresses = append(addresses, m.GetCallerAddress())
	}
	return addresses, n.config.KeepFor
}

// Serving returns how many nodes serve the callers of all zones, at least 1, and whether the named one is among them.
func (n *Namer) Serving(name string) (count int, included bool) {
	members := n.config.View.Members()
	zones, serving := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		zone := m.GetAvailabilityZone()
		if zones[zone] {
			continue
		}
		zones[zone] = true
		for _, s := range choose(members, zone) {
			serving[s.GetName()] = true
		}
	}
	return max(1, len(serving)), serving[name]
}

// choose returns the nodes that serve the callers of a zone.
func choose(members []*pb.Member, zone string) []*pb.Member {
	usable := live(members)
	largest := uint32(0)
	for _, m := range usable {
		largest = max(largest, m.GetCapacity())
	}
	var near, far, small []*pb.Member
	for _, m := range usable {
		switch {
		case float64(m.GetCapacity()) < largeShare*float64(largest):
			if m.GetAvailabilityZone() == zone {
				small = append(small, m)
			}
		case m.GetAvailabilityZone() == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) >= wanted {
		return near
	}
	if len(near)+len(far) >= wanted {
		return append(near, far...)
	}
	return append(append(near, far...), small...)
}

// live returns the members that are not suspected, or all when all are.
func live(members []*pb.Member) []*pb.Member {
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
