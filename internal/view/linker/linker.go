// Package linker chooses the peers to which a node keeps links, from the names of all live nodes. Messages that each
// node forwards to its own few peers reach all nodes within a few hops.
//
// In a small fleet every node links to every other. In a large fleet the nodes form a ring in hash order, which mixes
// availability zones, and each links to those at distances 1, 3, 9, 27 and so on: five links for 100 nodes, seven for
// 1,000. The loss of any node leaves the others connected.
package linker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the largest fleet in which every node links to every other.
	smallFleet = 12
	// distanceFactor is the ratio of successive distances in the ring.
	distanceFactor = 3
)

// FullMesh reports whether every node links to every other in a fleet of that many nodes.
func FullMesh(nodes int) bool {
	return nodes <= smallFleet
}

// ChoosePeers returns the names of the nodes to which the node self links. The order of names does not matter.
func ChoosePeers(names []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == self })
	if FullMesh(len(others) + 1) {
		return others
	}
	ring := append(others, self)
	slices.SortFunc(ring, compareHashes)
	position, _ := slices.BinarySearchFunc(ring, self, compareHashes)
	var chosen []string
	for distance := 1; distance < len(ring); distance *= distanceFactor {
		chosen = append(chosen, ring[(position+distance)%len(ring)])
	}
	return chosen
}

// compareHashes orders names by their hashes.
func compareHashes(a, b string) int {
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
