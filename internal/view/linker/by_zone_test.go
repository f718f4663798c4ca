package linker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

// zonedFleet returns a fleet with the given number of nodes in each zone.
func zonedFleet(zones ...int) []linker.Node {
	var nodes []linker.Node
	for z, count := range zones {
		for i := range count {
			nodes = append(nodes, linker.Node{Name: fmt.Sprintf("node-%d-%d", z, i), Zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	return nodes
}

// peersByZone returns the nodes to which each node links.
func peersByZone(nodes []linker.Node) map[linker.Node][]linker.Node {
	byName, peers := map[string]linker.Node{}, map[linker.Node][]linker.Node{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	for _, n := range nodes {
		for _, name := range linker.ChoosePeersByZone(nodes, n) {
			peers[n] = append(peers[n], byName[name])
		}
	}
	return peers
}

// zonedHops returns the number of hops after which a message from a node reaches no further nodes, and how many nodes
// it has reached. The nodes of the zone lost don't answer, but the others still link to them.
func zonedHops(peers map[linker.Node][]linker.Node, from linker.Node, lost string) (needed, reached int) {
	seen, frontier := map[linker.Node]bool{from: true}, []linker.Node{from}
	for len(frontier) > 0 {
		var next []linker.Node
		for _, n := range frontier {
			for _, to := range peers[n] {
				if !seen[to] && to.Zone != lost {
					seen[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) > 0 {
			needed++
		}
		frontier = next
	}
	return needed, len(seen)
}

// Guards against documents that cross zones once for most nodes instead of a few times for each zone, and against a
// node that they do not reach for the sake of that.
func TestMessageReachesAllZonesOverFewLinks(t *testing.T) {
	for _, c := range []struct {
		zones []int
		hops  int
	}{
		{[]int{23, 23, 18}, 8},
		{[]int{1, 20, 20}, 9},
		{[]int{1, 1, 1, 1, 1, 20}, 9},
		{[]int{2, 60}, 10},
		{[]int{100, 100, 100}, 11},
		{[]int{30}, 7},
		{[]int{4, 4, 4}, 1},
	} {
		t.Run(fmt.Sprint(c.zones), func(t *testing.T) {
			is := is.New(t)
			nodes := zonedFleet(c.zones...)
			peers, links, across := peersByZone(nodes), 0, 0
			for _, n := range nodes {
				needed, reached := zonedHops(peers, n, "")
				is.Equal(reached, len(nodes))
				is.True(needed <= c.hops)
				is.True(!slices.Contains(peers[n], n))
				links += len(peers[n])
				for _, p := range peers[n] {
					if p.Zone != n.Zone {
						across++
					}
				}
			}
			t.Logf("%d links, %d between zones", links, across)
			if slices.Min(c.zones) > 12 && len(c.zones) > 1 {
				is.True(across <= links/3) // a ring over all nodes has two thirds
			}
		})
	}
}

// Guards against a zone from which documents reach no other as soon as a third one is lost.
func TestLostZoneCutsNoOtherOff(t *testing.T) {
	is := is.New(t)
	nodes := zonedFleet(23, 23, 18)
	peers := peersByZone(nodes)
	for _, n := range nodes {
		if n.Zone != "zone-1" {
			_, reached := zonedHops(peers, n, "zone-1")
			is.Equal(reached, 23+18)
		}
	}
}
