package elector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/elector"
)

// Guards against nodes that follow the store too late after the loss of any of the others at once, and against a load
// on the store from those that are left. Found by review/9 and review/10.
func TestNodesLeftAreConfirmedInTimeAfterLossOfOthers(t *testing.T) {
	losses := map[int][]int{
		2: {1}, 3: {1, 2}, 7: {4, 6}, 9: {7, 8}, 12: {6, 11}, 18: {14, 16, 17}, 60: {20, 59}, 195: {194}, 300: {299},
	}
	for nodes, counts := range losses {
		for _, lost := range counts {
			for _, c := range []struct {
				name   string
				random bool
				how    nodeState
			}{
				{"first in turn, silent", false, silent},
				{"first in turn, killed", false, killed},
				{"at random, silent", true, silent},
			} {
				t.Run(fmt.Sprintf("%d of %d nodes %s", lost, nodes, c.name), func(t *testing.T) {
					playFleet(t, nodes, uint64(lost), func(is *is.I, f *playedFleet, r *rand.Rand) {
						names := f.readOrder()
						if c.random {
							r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
						}
						is.True(f.checkLoss(t, is, r, names[:lost], c.how) < maxCallsPerSecond)
					})
				})
			}
		}
	}
}

// loseFirstHalf plays the loss of those 150 of 300 nodes that have the first turns, and returns the greatest number of
// calls of the others in a second.
func loseFirstHalf(t *testing.T, how nodeState) (calls int) {
	playFleet(t, 300, 150, func(is *is.I, f *playedFleet, r *rand.Rand) {
		calls = f.checkLoss(t, is, r, f.readOrder()[:150], how)
	})
	return calls
}

// Guards against nodes of a large fleet that follow the store too late after the loss of half of it.
func TestNodesLeftAreConfirmedInTimeAfterLossOfHalfOfLargeFleet(t *testing.T) {
	for how, name := range map[nodeState]string{killed: "killed", silent: "silent"} {
		t.Run(name, func(t *testing.T) { loseFirstHalf(t, how) })
	}
}

// Guards against a burst of calls to the store when the nodes with the first turns are lost: the turns of the others
// lie close together.
func TestCallsAreBoundedAfterLossOfHalfOfLargeFleet(t *testing.T) {
	for how, name := range map[nodeState]string{killed: "killed", silent: "silent"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(loseFirstHalf(t, how) < maxCallsPerSecond)
		})
	}
}

// Guards against the same when a whole zone is lost, the reader's among them.
func TestNodesLeftAreConfirmedInTimeAfterLossOfZone(t *testing.T) {
	for _, nodes := range []int{9, 60, 300} {
		for zone := range zonesCount {
			t.Run(fmt.Sprintf("zone %d of %d nodes", zone, nodes), func(t *testing.T) {
				playFleet(t, nodes, uint64(zone), func(is *is.I, f *playedFleet, r *rand.Rand) {
					calls := f.checkLoss(t, is, r, f.inZone(fmt.Sprintf("zone-%d", zone)), silent)
					is.True(calls < maxCallsPerSecond)
				})
			})
		}
	}
}

// Guards against nodes left that follow the store too late because the next reader is lost each time.
func TestNodesLeftAreConfirmedInTimeAfterLossesInSeries(t *testing.T) {
	for _, nodes := range []int{9, 18, 60} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			playFleet(t, nodes, 1, func(is *is.I, f *playedFleet, _ *rand.Rand) {
				order := f.readOrder()
				for i := range nodes - 2 {
					f.lose(order[i:i+1], silent)
					oldest, _ := f.observe(time.Second)
					is.True(oldest < maxConfirmedAge)
				}
			})
		})
	}
}

// Guards against an outage of the store in which hundreds of nodes call it, and against one after which it is not read.
func TestCallsAreBoundedWhileStoreIsAway(t *testing.T) {
	for _, nodes := range []int{9, 60, 300} {
		for state, name := range map[storeState]string{refusing: "refuses", mute: "is silent"} {
			t.Run(fmt.Sprintf("%d nodes, store %s", nodes, name), func(t *testing.T) {
				playFleet(t, nodes, 1, func(is *is.I, f *playedFleet, _ *rand.Rand) {
					f.setStore(state)
					_, calls := f.observe(15 * time.Second)
					t.Logf("at most %d calls a second", calls)
					is.True(calls < maxCallsPerSecond)
					f.setStore(answering)
					time.Sleep(4 * time.Second)
					is.True(f.oldestConfirmation() < maxConfirmedAge)
				})
			})
		}
	}
}

// Guards against nodes that leave the store to others although it turns away just those.
func TestStoreThatTurnsReadersAwayIsReadByOthers(t *testing.T) {
	playFleet(t, 300, 1, func(is *is.I, f *playedFleet, _ *rand.Rand) {
		f.turnAway(f.readOrder()[:150]...)
		for _, n := range f.nodes {
			if n.elector.ShouldRead(elector.Situation{
				Kind: playedKind, Ranker: f.ranker, Wait: wait, ChangeTime: playedChangeTime, ConfirmedAgo: 2500 * time.Millisecond,
			}) {
				f.turnAway(n.name)
			}
		}
		oldest, calls := f.observe(15 * time.Second)
		t.Logf("oldest confirmation %v, at most %d calls a second", oldest, calls)
		is.True(oldest < 10*time.Second)
		is.True(calls < maxCallsPerSecond)
	})
}

// Guards against nodes that wait for a reader that reads for itself only, or that was paused and has come back.
func TestReaderWithoutPeersIsReplaced(t *testing.T) {
	for _, nodes := range []int{9, 60} {
		for name, how := range map[string]nodeState{"cut off": cutOff, "paused": silent} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, nodes), func(t *testing.T) {
				playFleet(t, nodes, 1, func(is *is.I, f *playedFleet, _ *rand.Rand) {
					reader := f.readOrder()[:1]
					f.lose(reader, how)
					oldest, _ := f.observe(5 * time.Second)
					is.True(oldest < maxConfirmedAge)
					f.lose(reader, running)
					time.Sleep(time.Second)
					oldest, _ = f.observe(5 * time.Second)
					is.True(oldest < maxConfirmedAge)
				})
			})
		}
	}
}
