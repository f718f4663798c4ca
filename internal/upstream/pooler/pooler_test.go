package pooler_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const typicalLatency = 10 * time.Millisecond

func newPooler(coldShare float64) *pooler.Balancer {
	return pooler.New(pooler.Config{
		Zone: "z1", MaxAnswerBytes: 1, ColdShare: func(string) float64 { return coldShare },
		Random: func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func entry(id, zone string) pooler.Entry {
	return pooler.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Slots: 4}
}

func noneTried(*pooler.Leaf) bool { return false }

func pick(p *pooler.Balancer, now time.Time) string {
	l, _ := p.Pick("s", typicalLatency, noneTried, now)
	if l == nil {
		return ""
	}
	return l.Entry().ID
}

// usableLeaf returns the usable leaf with the id, or nil.
func usableLeaf(p *pooler.Balancer, id string) *pooler.Leaf {
	for _, l := range p.UsableLeaves("s") {
		if l.Entry().ID == id {
			return l
		}
	}
	return nil
}

func TestPickPrefersLocalZoneUntilItsLeafIsSlower(t *testing.T) {
	is := is.New(t)
	p, now := newPooler(1), time.Now()
	p.Put(entry("far", "z2"), now)
	p.Put(entry("near", "z1"), now)
	is.Equal(pick(p, now), "near")
	for range 4 {
		usableLeaf(p, "near").Scorer().Begin(now)
		usableLeaf(p, "near").Scorer().End(now, now.Add(3*typicalLatency), 3*typicalLatency, typicalLatency, scorer.Success)
	}
	is.Equal(pick(p, now), "far")
	l, _ := p.Pick("s", typicalLatency, func(l *pooler.Leaf) bool { return l.Entry().ID == "far" }, now)
	is.Equal(l.Entry().ID, "near") // the other leaf is excluded as tried
}

func TestPickSkipsEvacuatedDrainingAndSuspendedLeaves(t *testing.T) {
	is := is.New(t)
	p, now := newPooler(1), time.Now()
	p.Put(entry("a", "z1"), now)
	p.Put(entry("b", "z2"), now)
	p.SetEvacuatedZones(map[string]bool{"z1": true})
	is.Equal(pick(p, now), "b")
	is.Equal(p.Usable("s"), 1)
	p.SetEvacuatedZones(nil)
	draining := entry("a", "z1")
	draining.Draining = true
	p.Put(draining, now)
	is.Equal(pick(p, now), "b")
	usableLeaf(p, "b").Suspend(now)
	is.Equal(pick(p, now), "") // another process answered at its address
	is.Equal(pick(p, now.Add(3*time.Second)), "b")
	p.Remove("b", "test")
	is.Equal(p.Usable("s"), 0)
}

// A restarted leaf must not be judged by the latencies and failures of its earlier process.
func TestNewIncarnationGetsNewScorer(t *testing.T) {
	is := is.New(t)
	p, now := newPooler(1), time.Now()
	e := entry("a", "z1")
	p.Put(e, now)
	previous := usableLeaf(p, "a")
	e.Slots = 5
	p.Put(e, now)
	is.True(usableLeaf(p, "a").Scorer() == previous.Scorer()) // the same process with a changed entry
	e.Incarnation = 2
	p.Put(e, now)
	is.True(usableLeaf(p, "a").Scorer() != previous.Scorer())
}

// A cold leaf is overloaded when each node applies the whole warm-up rate. Here all nodes call the only leaf, which
// is cold, as often as they can; together they may not exceed its rate.
func TestCallsToColdLeafStayWithinWarmUpRate(t *testing.T) {
	is := is.New(t)
	const nodes = 4
	rate := 10.0
	start, calls := time.Now(), 0
	var pools []*pooler.Balancer
	for range nodes {
		p := newPooler(0.9 / nodes)
		p.SetServices(map[string]pooler.Service{"s": {WarmUpRate: rate}})
		e := entry("a", "z1")
		e.WarmUpLeft = 3 * time.Second
		p.Put(e, start)
		pools = append(pools, p)
	}
	for at := time.Duration(0); at < 2900*time.Millisecond; at += time.Millisecond {
		for _, p := range pools {
			if pick(p, start.Add(at)) != "" {
				calls++
			}
		}
	}
	is.True(float64(calls) <= rate*2.9+nodes)
	is.True(float64(calls) >= rate*2.9*0.6)
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a") // warm: no limit
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a")
}

func TestConnectionLimitIsSharedByLiveNodes(t *testing.T) {
	is := is.New(t)
	p, now := newPooler(1), time.Now()
	p.Put(entry("a", "z1"), now)
	p.SetServices(map[string]pooler.Service{"s": {MaxConnections: 26}})
	for nodes, want := range map[int]int{1: 22, 9: 2, 100: 1} {
		p.SetLiveNodes(nodes)
		is.Equal(usableLeaf(p, "a").Exchanger().ConnectionLimit(), want)
	}
}
