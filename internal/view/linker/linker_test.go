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

// steps returns in how many steps news from one node reaches all, and how many nodes it reaches.
func steps(names []string, from string) (int, int) {
	reached := map[string]bool{from: true}
	front := []string{from}
	for step := 0; ; step++ {
		var next []string
		for _, n := range front {
			for _, to := range linker.Choose(names, n) {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			return step, len(reached)
		}
		front = next
	}
}

func TestNewsReachesAllInAFewSteps(t *testing.T) {
	for _, c := range []struct{ nodes, links, steps int }{
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
			is.Equal(len(linker.Choose(names, "node-0")), c.links)
			most, reached := steps(names, "node-0")
			is.Equal(reached, c.nodes)
			is.True(most <= c.steps)
		})
	}
}

func TestEveryNodeIsWatchedByOthers(t *testing.T) {
	is := is.New(t)
	names, watchers := fleet(91), map[string]int{}
	for _, n := range names {
		for _, to := range linker.Choose(names, n) {
			watchers[to]++
		}
	}
	for _, n := range names {
		is.Equal(watchers[n], 5)
	}
}
