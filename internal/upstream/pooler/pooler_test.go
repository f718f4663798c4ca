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

const typical = 10 * time.Millisecond

func newPool(coldShare float64) *pooler.Pooler {
	return pooler.New(pooler.Config{
		Zone: "z1", MaxAnswerBytes: 1, ColdShare: func(string) float64 { return coldShare },
		Random: func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func entry(id, zone string) pooler.Entry {
	return pooler.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zone, Slots: 4}
}

func none(*pooler.Leaf) bool { return false }

func pick(p *pooler.Pooler, now time.Time) string {
	l, _ := p.Pick("s", typical, none, now)
	if l == nil {
		return ""
	}
	return l.Entry().ID
}

// leafOf returns the usable leaf with the id, or nil.
func leafOf(p *pooler.Pooler, id string) *pooler.Leaf {
	for _, l := range p.UsableLeaves("s") {
		if l.Entry().ID == id {
			return l
		}
	}
	return nil
}

func TestTheNearLeafIsPickedUntilItIsSlower(t *testing.T) {
	is := is.New(t)
	p, now := newPool(1), time.Now()
	p.Put(entry("far", "z2"), now)
	p.Put(entry("near", "z1"), now)
	is.Equal(pick(p, now), "near")
	for range 4 {
		leafOf(p, "near").Scorer().Begin(now)
		leafOf(p, "near").Scorer().End(now, now.Add(3*typical), 3*typical, typical, scorer.Success)
	}
	is.Equal(pick(p, now), "far")
	l, _ := p.Pick("s", typical, func(l *pooler.Leaf) bool { return l.Entry().ID == "far" }, now)
	is.Equal(l.Entry().ID, "near") // the other one was tried
}

func TestLeavesThatGetNothing(t *testing.T) {
	is := is.New(t)
	p, now := newPool(1), time.Now()
	p.Put(entry("a", "z1"), now)
	p.Put(entry("b", "z2"), now)
	p.Evacuate(map[string]bool{"z1": true})
	is.Equal(pick(p, now), "b")
	is.Equal(p.Usable("s"), 1)
	p.Evacuate(nil)
	draining := entry("a", "z1")
	draining.Draining = true
	p.Put(draining, now)
	is.Equal(pick(p, now), "b")
	leafOf(p, "b").LeaveOut(now)
	is.Equal(pick(p, now), "") // another process answered at its address
	is.Equal(pick(p, now.Add(3*time.Second)), "b")
	p.Remove("b", "test")
	is.Equal(p.Usable("s"), 0)
}

func TestANewIncarnationHasNoPast(t *testing.T) {
	is := is.New(t)
	p, now := newPool(1), time.Now()
	e := entry("a", "z1")
	p.Put(e, now)
	old := leafOf(p, "a")
	e.Slots = 5
	p.Put(e, now)
	is.True(leafOf(p, "a").Scorer() == old.Scorer()) // the same process, told anew
	e.Incarnation = 2
	p.Put(e, now)
	is.True(leafOf(p, "a").Scorer() != old.Scorer())
}

// The load: calls as fast as can be at the only leaf, which is cold. All nodes together may send no more than
// the rate it bears.
func TestAColdLeafGetsWhatItBears(t *testing.T) {
	is := is.New(t)
	const nodes = 4
	rate := 10.0
	start, calls := time.Now(), 0
	var pools []*pooler.Pooler
	for range nodes {
		p := newPool(0.9 / nodes)
		p.Declare(map[string]pooler.Service{"s": {WarmUpRate: rate}})
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
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a") // warm: no bound
	is.Equal(pick(pools[0], start.Add(4*time.Second)), "a")
}

func TestConnectionsAreSharedByAllNodes(t *testing.T) {
	is := is.New(t)
	p, now := newPool(1), time.Now()
	p.Put(entry("a", "z1"), now)
	p.Declare(map[string]pooler.Service{"s": {MaxConnections: 26}})
	for nodes, want := range map[int]int{1: 22, 9: 2, 100: 1} {
		p.SetNodes(nodes)
		is.Equal(leafOf(p, "a").Exchanger().Limit(), want)
	}
}
