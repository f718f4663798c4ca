package linker

import "slices"

// Node is a live node and its availability zone.
type Node struct {
	Name, Zone string
}

// ChoosePeersByZone returns the names of the nodes to which the node self links for messages that are large or
// frequent: mostly nodes of its own zone, so that little crosses zones. In a large fleet the nodes of each zone form a
// ring, and each links to those at distances 1, 3, 9 and so on and to one node of another zone; the nodes of a zone
// together link to all other zones. The order of nodes does not matter. The zone of self must be that of its entry in
// nodes, if it has one.
func ChoosePeersByZone(nodes []Node, self Node) []string {
	if !slices.Contains(nodes, self) {
		nodes = append(slices.Clone(nodes), self)
	}
	rings := map[string][]string{}
	var names, zones []string
	for _, n := range nodes {
		names = append(names, n.Name)
		if rings[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		rings[n.Zone] = append(rings[n.Zone], n.Name)
	}
	if FullMesh(len(nodes)) || len(zones) == 1 {
		return ChoosePeers(names, self.Name)
	}
	for _, ring := range rings {
		slices.SortFunc(ring, compareHashes)
	}
	slices.Sort(zones)
	own := rings[self.Zone]
	position, _ := slices.BinarySearchFunc(own, self.Name, compareHashes)
	var chosen []string
	for distance := 1; distance < len(own); distance *= distanceFactor {
		chosen = append(chosen, own[(position+distance)%len(own)])
	}
	others := slices.DeleteFunc(zones, func(z string) bool { return z == self.Zone })
	for i := position % len(others); i < len(others); i += len(own) {
		other := rings[others[i]]
		chosen = append(chosen, other[position*len(other)/len(own)])
	}
	return chosen
}
