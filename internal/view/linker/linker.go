// Package linker chooses the nodes to which a node keeps links. The names of all live nodes flow in; a few of
// them flow out, chosen such that news which every node passes on to its own few reaches all within a few steps.
//
// In a small fleet all nodes are linked. In a large one the nodes stand in a ring, in an order that mixes zones,
// and each links to those at distances 1, 3, 9, 27 and so on: five links for 100 nodes, seven for 1,000. The
// loss of any node leaves the others connected.
package linker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the largest fleet in which every node links to every other.
	smallFleet = 12
	// distanceFactor is the ratio of two distances in the ring.
	distanceFactor = 3
)

// Small tells whether a fleet of that many nodes is linked in full.
func Small(nodes int) bool {
	return nodes <= smallFleet
}

// Choose returns the names to which the node links. The order of names does not matter.
func Choose(names []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == self })
	if Small(len(others) + 1) {
		return others
	}
	ring := append(others, self)
	slices.SortFunc(ring, compare)
	place, _ := slices.BinarySearchFunc(ring, self, compare)
	var chosen []string
	for distance := 1; distance < len(ring); distance *= distanceFactor {
		chosen = append(chosen, ring[(place+distance)%len(ring)])
	}
	return chosen
}

func compare(a, b string) int {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}
