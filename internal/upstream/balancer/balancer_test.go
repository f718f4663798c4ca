package balancer_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const typicalLatency = 10 * time.Millisecond

func newBalancer(coldShare float64) *balancer.Balancer {
	return balancer.New(balancer.Config{
		Zone: "z1", MaxAnswerBytes: 1, ColdShare: func(string) float64 { return coldShare },
		Localizer: localizer.New(localizer.Config{TrafficCost: 3, Random: func() float64 { return 0.5 }}),
		Random:    func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// call is a call of a request whose target is a few times the typical latency.
func call() balancer.Call {
	return balancer.Call{
		TypicalLatency: typicalLatency,
		Call: localizer.Call{
			InTime:    localizer.Stake{Left: 5 * typicalLatency, Loss: 0.9},
			InAnyCase: localizer.Stake{Left: 50 * typicalLatency, Loss: 0.1},
			Bytes:     1 << 10,
		},
	}
}

func entry(id, zone string) balancer.Entry {
	return balancer.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Slots: 4}
}

func noneTried(*balancer.Leaf) bool { return false }

func pick(b *balancer.Balancer, now time.Time) string {
	l, _ := b.Pick("s", call(), noneTried, now)
	if l == nil {
		return ""
	}
	return l.Entry().ID
}

// usableLeaf returns the usable leaf with the id, or nil.
func usableLeaf(b *balancer.Balancer, id string) *balancer.Leaf {
	for _, l := range b.UsableLeaves("s") {
		if l.Entry().ID == id {
			return l
		}
	}
	return nil
}

func TestPickPrefersLocalZoneUntilItsLeafIsSlower(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	b.Put(entry("far", "z2"), now)
	b.Put(entry("near", "z1"), now)
	is.Equal(pick(b, now), "near")
	for range 4 {
		usableLeaf(b, "near").Scorer().Begin(now)
		usableLeaf(b, "near").Scorer().End(now, now.Add(3*typicalLatency), 3*typicalLatency, typicalLatency, scorer.Success)
	}
	is.Equal(pick(b, now), "far")
	l, _ := b.Pick("s", call(), func(l *balancer.Leaf) bool { return l.Entry().ID == "far" }, now)
	is.Equal(l.Entry().ID, "near") // the other leaf is excluded as tried
}

func TestPickSkipsEvacuatedDrainingAndSuspendedLeaves(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	b.Put(entry("a", "z1"), now)
	b.Put(entry("b", "z2"), now)
	b.SetEvacuatedZones(map[string]bool{"z1": true})
	is.Equal(pick(b, now), "b")
	is.Equal(b.Usable("s"), 1)
	b.SetEvacuatedZones(nil)
	draining := entry("a", "z1")
	draining.Draining = true
	b.Put(draining, now)
	is.Equal(pick(b, now), "b")
	usableLeaf(b, "b").Suspend(now)
	is.Equal(pick(b, now), "") // another process answered at its address
	is.Equal(pick(b, now.Add(3*time.Second)), "b")
	b.Remove("b", "test")
	is.Equal(b.Usable("s"), 0)
}

// A restarted leaf must not be judged by the latencies and failures of its earlier process.
func TestNewIncarnationGetsNewScorer(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	e := entry("a", "z1")
	b.Put(e, now)
	previous := usableLeaf(b, "a")
	e.Slots = 5
	b.Put(e, now)
	is.True(usableLeaf(b, "a").Scorer() == previous.Scorer()) // the same process with a changed entry
	e.Incarnation = 2
	b.Put(e, now)
	is.True(usableLeaf(b, "a").Scorer() != previous.Scorer())
}

// A cold leaf is overloaded when each node applies the whole warm-up rate. Here all nodes call the only leaf, which
// is cold, as often as they can; together they may not exceed its rate.
func TestCallsToColdLeafStayWithinWarmUpRate(t *testing.T) {
	is := is.New(t)
	const nodes = 4
	rate := 10.0
	start, calls := time.Now(), 0
	var pools []*balancer.Balancer
	for range nodes {
		b := newBalancer(0.9 / nodes)
		b.SetServices(map[string]balancer.Service{"s": {WarmUpRate: rate}})
		e := entry("a", "z1")
		e.WarmUpLeft = 3 * time.Second
		b.Put(e, start)
		pools = append(pools, b)
	}
	for at := time.Duration(0); at < 2900*time.Millisecond; at += time.Millisecond {
		for _, b := range pools {
			if pick(b, start.Add(at)) != "" {
				calls++
			}
		}
	}
	is.True(float64(calls) <= rate*2.9+nodes)
	is.True(float64(calls) >= rate*2.9*0.6)
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a") // warm: no limit
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a")
}

// The entry of a cold leaf changes with each heartbeat, because it states how long the leaf stays cold. A change must
// neither hand out a token anew nor take away what has been saved up for the next call.
func TestChangedEntryKeepsLevelOfColdTokens(t *testing.T) {
	is := is.New(t)
	const (
		rate      = 2.0
		heartbeat = 400 * time.Millisecond
		coldFor   = 8 * time.Second
	)
	b, start, calls := newBalancer(1), time.Now(), 0
	b.SetServices(map[string]balancer.Service{"s": {WarmUpRate: rate}})
	for at := time.Duration(0); at < coldFor; at += 10 * time.Millisecond {
		if at%heartbeat == 0 {
			e := entry("a", "z1")
			e.WarmUpLeft = coldFor - at
			b.Put(e, start.Add(at))
		}
		if pick(b, start.Add(at)) != "" {
			calls++
		}
	}
	allowed := rate * coldFor.Seconds()
	is.True(float64(calls) <= allowed)
	is.True(float64(calls) >= 0.8*allowed)
}

func TestSummaryCountsUsableLeavesByZoneAndTheirSlots(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	is.Equal(b.Summary().Slots, 0)
	for id, zone := range map[string]string{"a": "z1", "b": "z1", "c": "z2", "d": "z3"} {
		e := entry(id, zone)
		if id == "d" {
			e.Slots = 9
		}
		b.Put(e, now)
	}
	b.SetEvacuatedZones(map[string]bool{"z2": true})
	is.Equal(b.Summary(), balancer.Summary{ByZone: map[string]int{"z1": 2, "z3": 1}, Slots: 4})
}

func TestConnectionLimitIsSharedByLiveNodes(t *testing.T) {
	is := is.New(t)
	b, now := newBalancer(1), time.Now()
	b.Put(entry("a", "z1"), now)
	b.SetServices(map[string]balancer.Service{"s": {MaxConnections: 26}})
	for nodes, want := range map[int]int{1: 22, 9: 2, 100: 1} {
		b.SetLiveNodes(nodes, 0)
		is.Equal(usableLeaf(b, "a").Exchanger().ConnectionLimit(), want)
	}
}
