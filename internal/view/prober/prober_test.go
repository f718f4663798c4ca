package prober_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	joinLimit      = 60 * time.Second
	detectionLimit = 7 * time.Second
	recoveryLimit  = 60 * time.Second
)

// TestKilledNodeLeavesEveryView guards against views that keep a node that was killed without leaving, or that drop
// another node with it.
func TestKilledNodeLeavesEveryView(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1)
				defer f.stop()
				nodes := f.startMany(size, 1)
				is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, size) }) < joinLimit) // all joined
				nodes[2].killed.Store(true)
				rest := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
				took := waitFor(detectionLimit, func() bool { return viewsWithMember(rest, "node-0002") == 0 })
				is.True(took < detectionLimit) // the killed node left every view
				is.True(allViewsHaveSize(rest, size-1))
			})
		})
	}
}

// TestFrozenNodeRejoins guards against a resumed process that declares members dead because it got no answers while it
// was paused, and against views that do not take it back.
func TestFrozenNodeRejoins(t *testing.T) {
	for _, freeze := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 5 * time.Minute} {
		t.Run(freeze.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(2)
				defer f.stop()
				nodes := f.startMany(9, 1)
				is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 9) }) < joinLimit)
				nodes[4].clock.frozen.Store(true)
				time.Sleep(freeze)
				synctest.Wait()
				if freeze > time.Minute {
					is.Equal(viewsWithMember(nodes, "node-0004"), 1) // only the view of the frozen node still contains it
				}
				nodes[4].clock.frozen.Store(false)
				time.Sleep(time.Second)
				is.Equal(len(nodes[4].prober.Members()), 9) // the resumed node declared nobody dead
				is.True(waitFor(recoveryLimit, func() bool { return allViewsHaveSize(nodes, 9) }) < recoveryLimit)
				is.Equal(nodes[4].deathsDeclared.Load(), int64(0))
			})
		})
	}
}

// TestOneWayCutCausesNoSuspicion guards against suspicion of a node that only one other node cannot reach: the
// indirect probes through the others must prevent it.
func TestOneWayCutCausesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.stop()
		nodes := f.startMany(9, 1)
		is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 9) }) < joinLimit)
		f.mutex.Lock()
		f.blocked = func(from, to string) bool { return from == nodes[3].address && to == nodes[5].address }
		f.mutex.Unlock()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(allViewsHaveSize(nodes, 9)) // the other nodes reach both ends of the cut
			is.Equal(suspectCount(nodes), 0)
		}
	})
}

// TestRegionsRejoinAfterNetworkPartition guards against the two sides of a network partition not probing each other any
// more after they declared each other dead.
func TestRegionsRejoinAfterNetworkPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		defer f.stop()
		nodes := f.startMany(18, 2)
		is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 18) }) < joinLimit)
		side := map[string]int{}
		for i, n := range nodes {
			side[n.address] = i % 2
		}
		f.mutex.Lock()
		f.blocked = func(from, to string) bool { return side[from] != side[to] }
		f.mutex.Unlock()
		took := waitFor(recoveryLimit, func() bool { return allViewsHaveSize(nodes, 9) })
		is.True(took < recoveryLimit) // each side declared the other dead
		time.Sleep(10 * time.Minute)
		is.True(allViewsHaveSize(nodes, 9)) // each side kept its own members
		f.mutex.Lock()
		f.blocked = func(string, string) bool { return false }
		f.mutex.Unlock()
		took = waitFor(recoveryLimit, func() bool { return allViewsHaveSize(nodes, 18) })
		t.Logf("views complete %v after the network partition ended", took)
		is.True(took < recoveryLimit)
	})
}

// TestReplacementVMTakesOverAddress guards against views that keep the process of a replaced VM when a new process,
// under the same or another name, has its peer address.
func TestReplacementVMTakesOverAddress(t *testing.T) {
	for _, name := range []string{"node-0004", "node-new"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(5)
				defer f.stop()
				nodes := f.startMany(9, 1)
				is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 9) }) < joinLimit)
				nodes[4].killed.Store(true)
				nodes[4].cancel()
				time.Sleep(300 * time.Millisecond)
				nodes[4] = f.start(4, 1, name, nodeAddress(0))
				startedAt := time.Now().UnixNano()
				replaced := func() bool {
					for _, n := range nodes {
						for _, m := range n.prober.Members() {
							if m.GetPeerAddress() == nodeAddress(4) && (m.GetName() != name || m.GetStartedAt() < startedAt) {
								return false
							}
						}
					}
					return allViewsHaveSize(nodes, 9)
				}
				is.True(waitFor(recoveryLimit, replaced) < recoveryLimit)
			})
		})
	}
}

// TestLeavingNodeLeavesEveryView guards against views that still give work to a node that said it is leaving.
func TestLeavingNodeLeavesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(6)
		defer f.stop()
		nodes := f.startMany(9, 1)
		is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 9) }) < joinLimit)
		nodes[8].prober.Leave()
		took := waitFor(detectionLimit, func() bool { return viewsWithMember(nodes, "node-0008") == 0 })
		is.True(took < 5*time.Second) // rumours take a few seconds
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(viewsWithMember(nodes, "node-0008"), 0) // no view adds the node again
		}
	})
}

// TestAddressesWithoutNodeAreProbedRarely guards against a high probe rate when the candidates are the VMs of an
// upstream, few of which run a node: here 3 of 500 do.
func TestAddressesWithoutNodeAreProbedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7)
		defer f.stop()
		var list []string
		for i := range 500 {
			list = append(list, nodeAddress(i))
		}
		nodes := []*node{f.start(0, 1, "node-a"), f.start(1, 1, "node-b"), f.start(2, 1, "node-c")}
		for _, n := range nodes {
			n.prober.AddCandidates(list)
		}
		is.True(waitFor(10*joinLimit, func() bool { return allViewsHaveSize(nodes, 3) }) < 10*joinLimit)
		before := f.messages.Load()
		time.Sleep(time.Minute)
		rate := float64(f.messages.Load()-before) / 60 / 3
		t.Logf("%.2f messages/s a node", rate)
		is.True(rate < 6) // 2 probes and 2 replies a second, and one probe of a non-member in 8 periods
	})
}

// TestMessageLossCausesNoDeath guards against live nodes that are declared dead because single messages are lost.
func TestMessageLossCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		defer f.stop()
		nodes := f.startMany(30, 1)
		is.True(waitFor(joinLimit, func() bool { return allViewsHaveSize(nodes, 30) }) < joinLimit)
		f.mutex.Lock()
		f.lossRate = 0.05
		f.mutex.Unlock()
		time.Sleep(5 * time.Minute)
		for _, n := range nodes {
			is.Equal(n.deathsDeclared.Load(), int64(0)) // with 5% loss in each direction
		}
	})
}
