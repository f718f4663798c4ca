package conductor_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/rollout/conductor"
)

const (
	duration = 40 * time.Second
	// exposeShare of the calls and exposeSlack more may go to a bad version.
	exposeShare = 0.1
	exposeSlack = 50
	// stopTime is the time after its 50th bad answer from which a bad version may get no calls.
	stopTime = 5 * time.Second
)

func orderOf(version string) conductor.Order {
	return conductor.Order{Service: service, TargetVersion: version, Duration: duration}
}

// A good version that isn't completed by the deadline must not be the price of caution, whatever the rate of calls.
func TestConductorCompletesGoodVersionInTime(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		is := is.New(t)
		f := newFleet(t, 5)
		f.order(orderOf(newVersion))
		f.run(duration/2, rate)
		is.Equal(f.state(), conductor.StateRunning)
		is.True(float64(f.exposed) <= exposeShare*float64(f.total)+exposeSlack) // unproven
		f.run(duration/2, rate)
		is.Equal(f.state(), conductor.StateCompleted)
		f.total, f.exposed = 0, 0
		f.run(time.Second, rate)
		is.Equal(f.exposed, f.total) // leaves of the other version have stopped
	}
}

// A bad version must get no more than its share before it is stopped, and nothing soon after its 50th bad answer.
func TestConductorRevertsBadVersion(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64
		worse func(f *fleet, age time.Duration, leaf string) bool
	}{
		{"from the start, 200 a second", 200, func(f *fleet, _ time.Duration, _ string) bool {
			return f.random.Float64() < 0.3
		}},
		{"from the start, 10 a second", 10, func(f *fleet, _ time.Duration, _ string) bool {
			return f.random.Float64() < 0.5
		}},
		{"late", 200, func(f *fleet, age time.Duration, _ string) bool {
			return age > duration/2 && f.random.Float64() < 0.3
		}},
		{"under load", 200, func(f *fleet, _ time.Duration, _ string) bool {
			return f.exposed > 200 && f.random.Float64() < 0.5
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 5)
			f.worse = func(age time.Duration, leaf string) bool { return c.worse(f, age, leaf) }
			f.order(orderOf(newVersion))
			for f.badAnswers < 50 && f.state() != conductor.StateReverted && f.clock.Since(f.start) < duration {
				f.run(period, c.rate)
			}
			f.run(stopTime, c.rate)
			f.exposedSince = 0
			f.run(max(duration-f.clock.Since(f.start), time.Second), c.rate)
			t.Log("exposed", f.exposed, "of", f.total, "bad", f.badAnswers, f.store.writes)
			is.Equal(f.state(), conductor.StateReverted)
			is.Equal(f.exposedSince, 0)
			is.True(float64(f.exposed) <= exposeShare*float64(f.total)+exposeSlack)
		})
	}
}

// One bad leaf of a good version must not keep the version from being completed.
func TestConductorCompletesGoodVersionWithOneBadLeaf(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	f.worse = func(_ time.Duration, leaf string) bool { return leaf == "leaf-4" && f.random.Float64() < 0.5 }
	f.order(orderOf(newVersion))
	f.run(duration, 100)
	is.Equal(f.state(), conductor.StateCompleted)
}

// The node that decides may be killed, frozen or cut off at any time. Its successor must bring the roll-out to its end
// in time, and a leader that comes back must not decide by what it knew.
func TestConductorSucceedsLostLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(n *node)
		back func(n *node)
	}{
		{"killed", func(n *node) { n.dead.Store(true) }, nil},
		{"frozen for some seconds", func(n *node) { n.frozen.Store(true) }, func(n *node) { n.frozen.Store(false) }},
		{"cut off for some seconds", func(n *node) { n.cut.Store(true) }, func(n *node) { n.cut.Store(false) }},
	} {
		for _, bad := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5)
				f.worse = func(time.Duration, string) bool { return bad && f.random.Float64() < 0.3 }
				f.order(orderOf(newVersion))
				if bad {
					f.run(time.Second, 100)
				} else {
					f.run(duration*3/4, 100)
				}
				leader := f.leader()
				c.lose(leader)
				f.run(3*time.Second, 100)
				if c.back != nil {
					c.back(leader)
				}
				f.run(duration-f.clock.Since(f.start), 100)
				if bad {
					is.Equal(f.state(), conductor.StateReverted)
				} else {
					is.Equal(f.state(), conductor.StateCompleted)
				}
				is.Equal(len(f.store.writes), 2) // running and the end, each once
			})
		}
	}
}

// A node that is cut off from the others can't learn of their bad answers, so it must send nothing to a version that
// hasn't proved itself.
func TestConductorSendsNothingToNewVersionWhileCutOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	f.order(orderOf(newVersion))
	f.run(4*time.Second, 100)
	is.True(f.exposed > 0)
	lost := f.nodes[3]
	lost.cut.Store(true)
	f.run(2*time.Second, 100)
	f.exposed = 0
	for range 200 {
		f.call(lost)
	}
	is.Equal(f.exposed, 0)
}

// The store may be away when a status is due, or lose the answer to the write.
func TestConductorWritesStatusDespiteStoreTrouble(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.order(orderOf(newVersion))
	f.run(duration-11*time.Second, 50)
	f.store.setDown(true)
	f.run(8*time.Second, 50)
	f.store.setDown(false)
	f.run(3*time.Second, 50)
	is.Equal(f.state(), conductor.StateCompleted)

	f = newFleet(t, 3)
	f.store.losesAnswers = true
	f.order(orderOf(newVersion))
	f.run(duration, 50)
	is.Equal(f.state(), conductor.StateCompleted)
	is.Equal(f.store.writes, []string{"running", "completed"})
}

// If another node has decided, its decision in the store must be taken over whatever this one would decide.
func TestConductorAdoptsDecisionInStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.order(orderOf(newVersion))
	f.run(duration/2, 50)
	f.store.mutex.Lock()
	f.store.order.State = conductor.StateReverted
	f.store.order.Revision++
	f.store.mutex.Unlock()
	f.run(time.Second, 50)
	f.exposed = 0
	f.run(duration, 50)
	is.Equal(f.state(), conductor.StateReverted)
	is.Equal(f.exposed, 0)
	is.Equal(f.store.writes, []string{"running"})
}

// The status that was written is gone if the store comes back from an older copy, and revisions go back. What is in
// force must be written again.
func TestConductorWritesStatusAgainAfterStoreCameBackFromCopy(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.order(orderOf(newVersion))
	f.run(duration, 50)
	is.Equal(f.state(), conductor.StateCompleted)
	f.store.mutex.Lock()
	f.store.order.State, f.store.order.Revision = conductor.StateNone, 1
	f.store.mutex.Unlock()
	f.run(4*time.Second, 50)
	is.Equal(f.state(), conductor.StateCompleted)
}

// An order that is replaced or removed halfway must leave nothing behind: the share, the verdict and the age are those
// of the next order.
func TestConductorForgetsReplacedOrRemovedOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.worse = func(time.Duration, string) bool { return true }
	f.order(orderOf(newVersion))
	f.run(10*time.Second, 100)
	is.Equal(f.state(), conductor.StateReverted)
	f.order(orderOf("v3")) // no leaf has it
	f.run(duration-5*time.Second, 20)
	is.Equal(f.state(), conductor.StateRunning)
	f.run(10*time.Second, 20)
	is.Equal(f.state(), conductor.StateReverted)
	for _, n := range f.nodes {
		n.conductor.RemoveOrder(service)
		is.True(!n.conductor.Active())
	}
	f.store.order.Service = ""
	f.exposed, f.total = 0, 0
	f.run(2*time.Second, 100)
	is.True(f.exposed > 0) // all versions are used again
	is.True(f.exposed < f.total)
}

// A node that starts after a roll-out must use leaves of later versions, and none of a version that was reverted.
func TestConductorStartsWithEndedRollout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	o := orderOf("v0")
	o.State = conductor.StateCompleted
	f.order(o)
	f.run(time.Second, 100)
	is.True(f.total > 50)

	f = newFleet(t, 1)
	o = orderOf(newVersion)
	o.State = conductor.StateReverted
	f.order(o)
	f.run(time.Second, 100)
	is.True(f.total > 50)
	is.Equal(f.exposed, 0)
	for _, id := range []string{"leaf-0", "leaf-1", "leaf-2"} {
		f.nodes[0].balancer.Remove(id, "test")
	}
	f.total = 0
	f.run(time.Second, 100)
	is.Equal(f.total, 0) // also if no leaf of another version is left
}

// Two nodes may both believe that they decide while their views differ. Each decision must be written once, and what is
// in the store must hold for both.
func TestConductorWritesEachDecisionOnceWithTwoLeaders(t *testing.T) {
	for _, bad := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, 5)
		f.worse = func(time.Duration, string) bool { return bad && f.random.Float64() < 0.4 }
		for _, n := range f.nodes {
			if n != f.leader() {
				n.claims.Store(true)
				break
			}
		}
		f.order(orderOf(newVersion))
		f.run(duration, 100)
		is.Equal(len(f.store.writes), 2)
		is.True(f.state() == conductor.StateCompleted || bad)
		is.True(f.state() == conductor.StateReverted || !bad)
	}
}

// Reports would be large if they repeated what the nodes that decide have been told, and counts would be lost if a node
// that has started again were not told them again.
func TestConductorReportsNewCountsOnlyAndAllAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	f.order(orderOf(newVersion))
	f.run(5*time.Second, 100)
	reporter := f.nodes[0]
	if reporter == f.leader() {
		reporter = f.nodes[1]
	}
	f.run(time.Second, 0)
	is.Equal(reporter.reportedCounts.Load(), int64(0))
	reporter.toldAgain.Store(false)
	i := slices.Index(f.nodes, f.leader())
	f.nodes[i] = f.newNode(f.nodes[i].name)
	f.deliver()
	f.run(750*time.Millisecond, 0)
	is.True(reporter.toldAgain.Load())
}

// While the store is away no status can say that a version is bad. All nodes must stop all the same.
func TestConductorStopsBadVersionWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	f.worse = func(time.Duration, string) bool { return f.random.Float64() < 0.5 }
	f.order(orderOf(newVersion))
	f.store.setDown(true)
	for f.badAnswers < 10 && f.clock.Since(f.start) < duration/2 {
		f.run(period, 100)
	}
	is.True(f.badAnswers > 0)
	f.run(stopTime, 100)
	f.exposedSince = 0
	f.run(5*time.Second, 100)
	is.Equal(f.exposedSince, 0)
	is.Equal(len(f.store.writes), 0)
}

// A leader that was frozen while the others found the version bad and the store was away must not complete it when it
// wakes: it knows nothing of what the others have found.
func TestConductorDoesNotDecideByWhatItKnewBeforeItWasFrozen(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	bad := false
	f.worse = func(time.Duration, string) bool { return bad && f.random.Float64() < 0.5 }
	f.order(orderOf(newVersion))
	f.run(duration/2, 100)
	leader := f.leader()
	leader.frozen.Store(true)
	f.store.setDown(true)
	bad = true
	f.run(duration/2-time.Second, 100)
	leader.frozen.Store(false)
	f.store.setDown(false)
	leader.conductor.Tick(t.Context()) // before any other node
	f.run(3*time.Second, 100)
	is.Equal(f.state(), conductor.StateReverted)
}
