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
)

// Guards against nodes that start together with seeds that are out of date, each of which takes itself for the only
// node and uses the whole rate of a cold leaf.
func TestNodeThatKnowsNoOtherUsesSmallShareOfColdLeaf(t *testing.T) {
	for _, c := range []struct {
		name    string
		seeds   []string
		elapsed time.Duration
		want    float64
	}{
		{"just started", nil, 0, coldRateShare / assumedServingNodes},
		{"no other node is known", []string{"10.0.0.2:3"}, time.Hour, coldRateShare / assumedServingNodes},
		{"no other node was ever named", nil, time.Hour, coldRateShare},
		{"only itself is named", []string{"10.0.0.1:3"}, time.Hour, coldRateShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := quartz.NewMock(t)
			n := New(Config{
				NodeName: "n1", AvailabilityZone: "z1", PeerAddress: "10.0.0.1:3",
				ReloadableSettings: ReloadableSettings{SeedPeers: c.seeds}, Clock: clock, Metrics: metrics.NewSet(),
				Logger:           slog.New(slog.NewTextHandler(io.Discard, nil)),
				ReadinessHandler: func(func() bool) http.Handler { return nil },
			})
			clock.Advance(c.elapsed)
			is.New(t).Equal(n.coldShare("leaf"), c.want)
		})
	}
}
