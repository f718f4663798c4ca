package linker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

func fleet(nodes int) []string {
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	return names
}

// hops returns the number of hops after which a message from one node reaches no further nodes, and how many nodes
// it has reached.
func hops(names []string, from string) (int, int) {
	reached := map[string]bool{from: true}
	frontier := []string{from}
	for hop := 0; ; hop++ {
		var next []string
		for _, n := range frontier {
			for _, to := range linker.ChoosePeers(names, n) {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			return hop, len(reached)
		}
		frontier = next
	}
}

func TestMessageReachesAllNodesInFewHops(t *testing.T) {
	for _, c := range []struct{ nodes, links, hops int }{
		{1, 0, 0},
		{2, 1, 1},
		{12, 11, 1},
		{13, 3, 5},
		{91, 5, 9},
		{1000, 7, 13},
	} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			is := is.New(t)
			names := fleet(c.nodes)
			is.Equal(len(linker.ChoosePeers(names, "node-0")), c.links)
			needed, reached := hops(names, "node-0")
			is.Equal(reached, c.nodes)
			is.True(needed <= c.hops)
		})
	}
}

func TestEveryNodeIsLinkedFromFiveOthers(t *testing.T) {
	is := is.New(t)
	names, linkedFrom := fleet(91), map[string]int{}
	for _, n := range names {
		for _, to := range linker.ChoosePeers(names, n) {
			linkedFrom[to]++
		}
	}
	for _, n := range names {
		is.Equal(linkedFrom[n], 5)
	}
}
