package relayer_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	inForceLimit = 7 * time.Second // required limit from acceptance until the change is in force on the last node
	startLimit   = time.Minute
)

// inForce returns how many nodes must receive the version of the zone and how many of them have it or a newer one.
func (f *fleet) inForce(name string, version int64, mustReceive func(n *node) bool) (having, total int) {
	for _, n := range f.nodes {
		if !mustReceive(n) {
			continue
		}
		total++
		if n.keeper.Versions()[keyOf(name)] >= version {
			having++
		}
	}
	return having, total
}

// waitInForce returns how long the version takes to be in force on every node that must receive it, or the limit.
func (f *fleet) waitInForce(
	limit time.Duration, name string, version int64, mustReceive func(n *node) bool,
) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		if having, total := f.inForce(name, version, mustReceive); having == total {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(startedAt)
}

func everyNode(*node) bool { return true }

func isUp(n *node) bool { return !n.down.Load() }

func (f *fleet) relays() []*node {
	var relays []*node
	for _, n := range f.nodes {
		if n.relayer.IsRelay() {
			relays = append(relays, n)
		}
	}
	return relays
}

// fault is a failure around an accepted change, with the nodes that must still receive the change in time.
type fault struct {
	name string
	// beforeChange is called before the change is accepted and afterChange directly after it.
	beforeChange, afterChange func(f *fleet)
	mustReceive               func(n *node) bool
}

func faults() []fault {
	noop := func(*fleet) {}
	return []fault{
		{"steady", noop, noop, everyNode},
		{"relay killed", func(f *fleet) { f.relays()[0].down.Store(true) }, noop, isUp},
		{"all relays killed", func(f *fleet) {
			for _, n := range f.relays() {
				n.down.Store(true)
			}
			time.Sleep(3 * time.Second) // time until the view of the others drops them
			for _, n := range f.nodes {
				n.dead.Store(n.down.Load())
			}
		}, noop, isUp},
		{"relay cut off from the platform", func(f *fleet) {
			for _, n := range f.relays()[:2] {
				n.cutOff.Store(true)
			}
		}, noop, everyNode},
		// The node that served the operator has the change at once; then the platform fails.
		{"outage after acceptance", noop, func(f *fleet) { f.store.setOutage(true) }, everyNode},
		{"node frozen", func(f *fleet) { f.nodes[7].down.Store(true) }, noop, isUp},
		{"zone cut off", func(f *fleet) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.blocked = func(from, to int) bool { return (from%zones == 0) != (to%zones == 0) }
			for i := 0; i < len(f.nodes); i += zones {
				f.nodes[i].cutOff.Store(true)
			}
		}, noop, func(n *node) bool { return n.index%zones != 0 }},
	}
}

// acceptChange stores a change as the operator API does: the node that served the request applies it at once.
func (f *fleet) acceptChange(name string) int64 {
	version := f.store.put(name)
	for _, n := range f.nodes {
		if isUp(n) && !n.cutOff.Load() && !n.relayer.IsRelay() {
			n.keeper.Apply(configOf(name, version), 0)
			break
		}
	}
	return version
}

// TestChangeIsInForceInTimeUnderFaults guards against a change that reaches a node too late or never, because a
// relay, a node, a zone's network or the platform fails around the time of its acceptance.
func TestChangeIsInForceInTimeUnderFaults(t *testing.T) {
	for _, c := range faults() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t.Context(), 9, 1)
				defer f.stop()
				first := f.store.put("first")
				is.True(f.waitInForce(startLimit, "first", first, everyNode) < startLimit)
				time.Sleep(3 * time.Second)
				c.beforeChange(f)
				version := f.acceptChange("second")
				c.afterChange(f)
				took := f.waitInForce(2*inForceLimit, "second", version, c.mustReceive)
				t.Logf("in force on the last node after %v", took)
				is.True(took < inForceLimit)
				// After the fault has ended, the nodes that did not have to receive the change get it too.
				f.mutex.Lock()
				f.blocked = func(int, int) bool { return false }
				f.mutex.Unlock()
				f.store.setOutage(false)
				for _, n := range f.nodes {
					n.down.Store(false)
					n.dead.Store(false)
					n.cutOff.Store(false)
				}
				is.True(f.waitInForce(2*inForceLimit, "second", version, everyNode) < inForceLimit)
			})
		})
	}
}

func TestOnlyRelaysCallThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t.Context(), 30, 2)
		defer f.stop()
		version := f.store.put("first")
		is.True(f.waitInForce(startLimit, "first", version, everyNode) < startLimit)
		is.Equal(len(f.relays()), 2*zones)
		before := f.store.calls.Load()
		time.Sleep(10 * time.Minute)
		rate := float64(f.store.calls.Load()-before) / 600
		t.Logf("%.2f platform calls/s of 30 nodes, %d relays", rate, 2*zones)
		is.True(rate < 2*zones*0.1) // a watch waits 20 s and a full list is read every 10 minutes
	})
}

// TestRevisionGoingBackLosesNoObject guards against a watcher that waits for revisions above the old one and so
// misses new objects after the platform was restored from an older state.
func TestRevisionGoingBackLosesNoObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t.Context(), 3, 3)
		defer f.stop()
		for i := range 20 {
			f.store.put(fmt.Sprint("zone-", i))
		}
		is.True(f.waitInForce(startLimit, "zone-19", 20, everyNode) < startLimit)
		f.store.mutex.Lock()
		f.store.revision = 5 // restored from an older state; later objects get versions below those seen before
		f.store.mutex.Unlock()
		version := f.store.put("late")
		is.Equal(version, int64(6))
		is.True(f.waitInForce(startLimit, "late", version, everyNode) < startLimit)
	})
}

// TestMeasureTimeToInForce prints a table of the times until a change is in force, if MAGNOLIASTEP_MEASURE lists
// fleet sizes, for example 9,30,100,300.
func TestMeasureTimeToInForce(t *testing.T) {
	sizes := os.Getenv("MAGNOLIASTEP_MEASURE")
	if sizes == "" {
		t.Skip("MAGNOLIASTEP_MEASURE is not set")
	}
	t.Logf("%6s %-32s %8s %8s %8s %10s %12s", "nodes", "fault", "p50 ms", "last ms", "runs", "calls/s", "bytes/s node")
	for sizeText := range strings.SplitSeq(sizes, ",") {
		size, err := strconv.Atoi(sizeText)
		is.New(t).NoErr(err)
		for _, c := range faults() {
			synctest.Test(t, func(t *testing.T) { measureTimeToInForce(t, size, c) })
		}
	}
}

func measureTimeToInForce(t *testing.T, size int, c fault) {
	const runs = 5
	var times, lastTimes []time.Duration
	var calls, bytes float64
	for seed := range runs {
		f := newFleet(t.Context(), size, uint64(seed))
		f.waitInForce(startLimit, "first", f.store.put("first"), everyNode)
		time.Sleep(time.Duration(3+seed) * time.Second)
		callsBefore, bytesBefore := f.store.calls.Load(), f.bytes.Load()
		time.Sleep(time.Minute)
		calls += float64(f.store.calls.Load()-callsBefore) / 60 / runs
		bytes += float64(f.bytes.Load()-bytesBefore) / 60 / runs / float64(size)
		c.beforeChange(f)
		startedAt := time.Now()
		version := f.acceptChange("second")
		c.afterChange(f)
		seen := map[int]bool{}
		for time.Since(startedAt) < 4*inForceLimit {
			missing := 0
			for _, n := range f.nodes {
				if seen[n.index] || !c.mustReceive(n) {
					continue
				}
				if n.keeper.CompleteTo() >= version || n.keeper.Versions()[keyOf("second")] >= version {
					seen[n.index] = true
					times = append(times, time.Since(startedAt))
				} else {
					missing++
				}
			}
			if missing == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		lastTimes = append(lastTimes, time.Since(startedAt))
		f.stop()
	}
	slices.Sort(times)
	t.Logf("%6d %-32s %8d %8d %8d %10.2f %12.1f", size, c.name, times[len(times)/2].Milliseconds(),
		slices.Max(lastTimes).Milliseconds(), runs, calls, bytes)
}
