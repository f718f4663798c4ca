package balancer_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

// Guards against a zone that is not helped at once when its leaf can't be called, is cold or has stalled, against one
// that is helped for longer, and against a wrong reason in the log.
func TestCallLeavesZoneWhileItsLeafIsNoUse(t *testing.T) {
	now := time.Now()
	later := now.Add(5 * time.Second)
	for _, c := range []struct {
		name string
		// spoil makes the leaf of the own zone useless at now, and mend ends that before later.
		spoil, mend func(b *balancer.Balancer)
		reason      balancer.Reason
	}{
		{
			"evacuated", func(b *balancer.Balancer) { b.SetEvacuatedZones(map[string]bool{"z1": true}) },
			func(b *balancer.Balancer) { b.SetEvacuatedZones(nil) }, balancer.ReasonNoLeaf,
		},
		{"draining", func(b *balancer.Balancer) {
			e := entry("near", "z1")
			e.Draining = true
			b.Put(e, now)
		}, func(b *balancer.Balancer) { b.Put(entry("near", "z1"), now) }, balancer.ReasonNoLeaf},
		{"cold and called as often as it may be", func(b *balancer.Balancer) {
			e := entry("near", "z1")
			e.WarmUpLeft = time.Second
			b.Put(e, now)
		}, func(*balancer.Balancer) {}, balancer.ReasonCold},
		{"stalled", func(b *balancer.Balancer) {
			usableLeaf(b, "near").Scorer().Begin(now.Add(-5 * typicalLatency))
		}, func(b *balancer.Balancer) {
			usableLeaf(b, "near").Scorer().End(now.Add(-5*typicalLatency), now, 5*typicalLatency, typicalLatency, scorer.Success)
		}, balancer.ReasonSlow},
		{"failing", func(b *balancer.Balancer) {
			for range 3 {
				usableLeaf(b, "near").Scorer().Begin(now)
				usableLeaf(b, "near").Scorer().End(now, now, 0, typicalLatency, scorer.Failure)
			}
		}, func(*balancer.Balancer) {}, balancer.ReasonSlow},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var departures []balancer.Departure
			b := balancer.New(balancer.Config{
				Zone: "z1", MaxAnswerBytes: 1, ColdShare: func(string) float64 { return 1 },
				OnZoneLeft: func(d balancer.Departure) { departures = append(departures, d) },
				Random:     func() float64 { return 0.5 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			b.SetServices(map[string]balancer.Service{"s": {WarmUpRate: 1}})
			b.Put(entry("far", "z2"), now)
			b.Put(entry("near", "z1"), now)
			is.Equal(pick(b, now), "near")
			is.Equal(len(departures), 0)
			c.spoil(b)
			is.Equal(pick(b, now), "far")
			is.Equal(len(departures), 1)
			is.Equal(departures[0].Reason, c.reason)
			is.Equal(departures[0].Zone, "z2")
			c.mend(b)
			is.Equal(pick(b, later), "near")
		})
	}
}

// Guards against a second send that is logged as the fault of a leaf.
func TestSecondSendLeavesZoneAsTried(t *testing.T) {
	is := is.New(t)
	var reason balancer.Reason
	b := balancer.New(balancer.Config{
		Zone: "z1", MaxAnswerBytes: 1, ColdShare: func(string) float64 { return 1 },
		OnZoneLeft: func(d balancer.Departure) { reason = d.Reason },
		Random:     func() float64 { return 0.5 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	now := time.Now()
	b.Put(entry("far", "z2"), now)
	b.Put(entry("near", "z1"), now)
	l, _ := b.Pick("s", call(), func(l *balancer.Leaf) bool { return l.Entry().ID == "near" }, now)
	is.Equal(l.Entry().ID, "far")
	is.Equal(reason, balancer.ReasonTried)
}
