package forwarder

import (
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// Guards against a cold leaf that counts as warm, or a warm one as cold, because the time of day was changed.
func TestWarmUpOfLeafEndsInTimeAfterChangeOfTimeOfDay(t *testing.T) {
	for _, c := range []struct {
		name string
		back time.Duration
	}{
		{"unchanged", 0},
		{"set back", time.Hour},
		{"set forward", -time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := New(Config{
				NodeName: "n1", AvailabilityZone: "z1", Clock: steppedClock{quartz.NewReal(), c.back},
				Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
				ReadinessHandler: func(func() bool) http.Handler { return nil },
			})
			n.balancer.SetServices(map[string]balancer.Service{"s": {WarmUpRate: 1}})
			n.enroller.Put(balancer.Entry{
				ID: "leaf", Service: "s", Address: "10.0.0.1:1", Zone: "z1", Slots: 1, WarmUpLeft: time.Minute,
			})
			picked := func(at time.Time) bool {
				call := balancer.Call{TypicalLatency: time.Millisecond}
				l, _ := n.balancer.Pick("s", call, func(*balancer.Leaf) bool { return false }, at)
				return l != nil
			}
			now := time.Now()
			is.True(!picked(now)) // a cold leaf bears no request in the first second
			is.True(picked(now.Add(2 * time.Minute)))
			is.True(picked(now.Add(2 * time.Minute))) // a warm leaf bears any number
		})
	}
}
