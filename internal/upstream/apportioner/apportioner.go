// Package apportioner divides the slots of the leaves among the nodes that serve callers. It reads no clock and sends
// nothing.
//
// It is built for leaves that get more calls than they can answer in time. What waits at a leaf is answered in order of
// arrival, also when it is late already, while what waits at a node can be reordered or dropped. So all nodes together
// send a leaf only about twice as many calls at once as it has slots, which keeps the slots busy. This also bounds how
// many nodes may serve, since each of them needs at least one call in flight.
package apportioner

import "math"

// callsPerSlot is how many calls all nodes together have in flight at a leaf for each of its slots.
const callsPerSlot = 2

// CallsInFlight returns how many calls one of the given number of serving nodes may have in flight at a leaf with the
// given number of slots, at least 1.
func CallsInFlight(slots, nodes int) int {
	return max(1, int(math.Round(float64(callsPerSlot*slots)/float64(max(1, nodes)))))
}

// CallsInFlightInZone returns how many calls one of the serving nodes in the zone of a leaf may have in flight at it,
// if otherNodes nodes of other zones serve as well and may have CallsInFlight of them. It is at least as many: calls
// seldom leave their zone, so what equal parts leave over goes to the nodes of the zone.
func CallsInFlightInZone(slots, zoneNodes, otherNodes int) int {
	equal := CallsInFlight(slots, zoneNodes+otherNodes)
	if zoneNodes <= 0 {
		return equal
	}
	return max(equal, (callsPerSlot*slots-equal*otherNodes)/zoneNodes)
}

// ServingNodes returns the number of nodes that can serve without more than the intended number of calls in flight at a
// leaf with the given number of slots, at least 1.
func ServingNodes(slots int) int {
	return max(1, callsPerSlot*slots)
}
