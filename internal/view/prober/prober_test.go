package prober_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	joinLimit  = 60 * time.Second
	deathLimit = 7 * time.Second
	healLimit  = 60 * time.Second
)

func TestKilledNodeLeavesEveryView(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1)
				defer f.stop()
				nodes := f.startMany(size, 1)
				is.True(waitFor(joinLimit, func() bool { return complete(nodes, size) }) < joinLimit) // all joined
				nodes[2].down.Store(true)
				rest := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
				took := waitFor(deathLimit, func() bool { return sees(rest, "node-0002") == 0 })
				is.True(took < deathLimit) // the killed node left every view
				is.True(complete(rest, size-1))
			})
		})
	}
}

func TestFrozenNodeComesBack(t *testing.T) {
	for _, freeze := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 5 * time.Minute} {
		t.Run(freeze.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(2)
				defer f.stop()
				nodes := f.startMany(9, 1)
				is.True(waitFor(joinLimit, func() bool { return complete(nodes, 9) }) < joinLimit)
				nodes[4].clock.frozen.Store(true)
				time.Sleep(freeze)
				synctest.Wait()
				if freeze > time.Minute {
					is.Equal(sees(nodes, "node-0004"), 1) // only the frozen node still counts itself
				}
				nodes[4].clock.frozen.Store(false)
				time.Sleep(time.Second)
				is.Equal(len(nodes[4].prober.Members()), 9) // the thawed node declared nobody dead
				is.True(waitFor(healLimit, func() bool { return complete(nodes, 9) }) < healLimit)
				is.Equal(nodes[4].dead.Load(), int64(0))
			})
		})
	}
}

func TestOneWayCutKillsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.stop()
		nodes := f.startMany(9, 1)
		is.True(waitFor(joinLimit, func() bool { return complete(nodes, 9) }) < joinLimit)
		f.mutex.Lock()
		f.blocked = func(from, to string) bool { return from == nodes[3].address && to == nodes[5].address }
		f.mutex.Unlock()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(complete(nodes, 9)) // others vouch for both ends of the cut
			is.Equal(suspects(nodes), 0)
		}
	})
}

func TestRegionsMeetAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		defer f.stop()
		nodes := f.startMany(18, 2)
		is.True(waitFor(joinLimit, func() bool { return complete(nodes, 18) }) < joinLimit)
		side := map[string]int{}
		for i, n := range nodes {
			side[n.address] = i % 2
		}
		f.mutex.Lock()
		f.blocked = func(from, to string) bool { return side[from] != side[to] }
		f.mutex.Unlock()
		took := waitFor(healLimit, func() bool { return complete(nodes, 9) })
		is.True(took < healLimit) // each side dropped the other
		time.Sleep(10 * time.Minute)
		is.True(complete(nodes, 9)) // and kept its own
		f.mutex.Lock()
		f.blocked = func(string, string) bool { return false }
		f.mutex.Unlock()
		took = waitFor(healLimit, func() bool { return complete(nodes, 18) })
		t.Logf("views whole %v after the cut ended", took)
		is.True(took < healLimit)
	})
}

func TestReplacedVMTakesItsAddressOver(t *testing.T) {
	for _, name := range []string{"node-0004", "node-new"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(5)
				defer f.stop()
				nodes := f.startMany(9, 1)
				is.True(waitFor(joinLimit, func() bool { return complete(nodes, 9) }) < joinLimit)
				nodes[4].down.Store(true)
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
					return complete(nodes, 9)
				}
				is.True(waitFor(healLimit, replaced) < healLimit)
			})
		})
	}
}

func TestLeavingNodeTakesNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(6)
		defer f.stop()
		nodes := f.startMany(9, 1)
		is.True(waitFor(joinLimit, func() bool { return complete(nodes, 9) }) < joinLimit)
		nodes[8].prober.Leave()
		took := waitFor(deathLimit, func() bool { return sees(nodes, "node-0008") == 0 })
		is.True(took < 5*time.Second) // a few seconds
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(sees(nodes, "node-0008"), 0) // and it stays out of every view
		}
	})
}

// TestUpstreamVMsAreNotProbedForever gives a node a list that names far more VMs without a node than with one.
func TestUpstreamVMsAreNotProbedForever(t *testing.T) {
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
		is.True(waitFor(10*joinLimit, func() bool { return complete(nodes, 3) }) < 10*joinLimit)
		before := f.messages.Load()
		time.Sleep(time.Minute)
		rate := float64(f.messages.Load()-before) / 60 / 3
		t.Logf("%.2f messages/s a node", rate)
		is.True(rate < 6) // two probes and two replies a second, and one slow probe in eight periods
	})
}

func TestLossKillsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8)
		defer f.stop()
		nodes := f.startMany(30, 1)
		is.True(waitFor(joinLimit, func() bool { return complete(nodes, 30) }) < joinLimit)
		f.mutex.Lock()
		f.loss = 0.05
		f.mutex.Unlock()
		time.Sleep(5 * time.Minute)
		for _, n := range nodes {
			is.Equal(n.dead.Load(), int64(0)) // 5% loss in each direction
		}
	})
}
