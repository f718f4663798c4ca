package prober_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
)

const (
	// recoverLimit is the time after which a fleet that has started as a whole must serve as before.
	recoverLimit = 15 * time.Second
	// directoryLimit is the time after which at most maxWrongDirectories answers of the directory may name a killed node.
	directoryLimit      = 9 * time.Second
	maxWrongDirectories = 3
	// helpersLimit is the time within which a request for helpers must have reached all nodes.
	helpersLimit = 3 * time.Second
	largeFleet   = 300
)

// Guards against a large fleet whose nodes need long to know each other after all have started at once: they divide
// the leaves' connections and the budgets by the number of nodes that they know, and too many of them read the store.
// When a node asked for all members only every ten seconds, some views were incomplete after two minutes.
func TestLargeFleetKnowsAllNodesAfterCommonStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.sparse = true
		defer f.stop()
		nodes := f.startMany(largeFleet, 1)
		took := waitFor(recoverLimit, func() bool { return allViewsHaveSize(nodes, largeFleet) })
		t.Logf("all views were complete after %v", took)
		is.True(took < recoverLimit)
	})
}

// Guards against a large fleet in which the loss of a whole zone floods the nodes with more rumours than they pass on,
// so that their directories name dead nodes for long.
func TestDirectoriesOfLargeFleetForgetLostZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.sparse = true
		defer f.stop()
		nodes := f.startMany(largeFleet, 1)
		time.Sleep(2 * recoverLimit)
		const lostZone = "region-0-1"
		rest := slices.DeleteFunc(nodes, func(n *node) bool {
			lost := n.zone == lostZone
			n.killed.Store(lost)
			return lost
		})
		time.Sleep(directoryLimit)
		wrong := 0
		for _, n := range rest {
			s := selector.New(selector.Config{View: n.prober, Leaves: func() selector.Leaves { return leavesInAllZones }})
			addresses, _ := s.Addresses(lostZone)
			if slices.ContainsFunc(addresses, func(a string) bool { return f.nodes[a].killed.Load() }) {
				wrong++
			}
		}
		t.Logf("%d of %d directories name a node of the lost zone", wrong, len(rest))
		is.True(wrong <= maxWrongDirectories)
	})
}

// leavesInAllZones are leaves of three slots in the zones of the fleet.
var leavesInAllZones = selector.Leaves{ //nolint:gochecknoglobals // constant
	ByZone: map[string]int{"region-0-0": 40, "region-0-1": 40, "region-0-2": 40}, Slots: 3,
}

// A request for helpers must reach nodes that the asking node never talks to: all of them name the helpers to callers.
func TestRequestForHelpersReachesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.sparse = true
		defer f.stop()
		nodes := f.startMany(60, 1)
		is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, len(nodes)) }) < joinLimit)
		for _, helpers := range []uint32{2, 0} {
			nodes[7].helpers.Store(helpers)
			took := waitFor(helpersLimit, func() bool { return viewsWithHelpers(nodes, nodes[7].name, helpers) == len(nodes) })
			is.True(took < helpersLimit)
		}
	})
}

// viewsWithHelpers returns the number of nodes in whose view the named node asks for the given number of helpers.
func viewsWithHelpers(nodes []*node, name string, helpers uint32) int {
	count := 0
	for _, n := range nodes {
		for _, m := range n.prober.Members() {
			if m.GetName() == name && m.GetHelpers() == helpers {
				count++
			}
		}
	}
	return count
}
