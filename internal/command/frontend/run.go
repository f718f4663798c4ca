package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/entrance/namer"
	"github.com/magnoliastep/magnoliastep/internal/logging/writer"
	"github.com/magnoliastep/magnoliastep/internal/node/forwarder"
	"github.com/magnoliastep/magnoliastep/platform"
)

const (
	// logLinesPerSecond bounds the log of one node.
	logLinesPerSecond = 200
	// memoryShare of the memory that the VM gives is what the garbage collector aims to stay below.
	memoryShare = 0.7
	// garbagePercent is how much the heap may grow before a collection; live data is small and memory is paid for.
	garbagePercent = 60
)

// runVerb runs the node.
type runVerb struct {
	Settings string `help:"Path of the settings file; by default the one that the platform names." placeholder:"FILE"`
	LogLevel string `help:"Lowest level that is logged." default:"info" enum:"debug,info,warn,error"`
}

// Run runs the node until the process is told to stop.
func (v *runVerb) Run(c *Config) error {
	s, err := platform.ReadSettings(settingsPath(v.Settings, c))
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbagePercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	lines := writer.New(writer.Config{Output: c.Output, LinesPerSecond: logLinesPerSecond})
	defer lines.Close()
	var level slog.Level
	if err := level.UnmarshalText([]byte(v.LogLevel)); err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level})).With("node", s.NodeName)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return forwarder.New(v.config(s, logger)).Run(ctx)
}

func (v *runVerb) config(s platform.Settings, logger *slog.Logger) forwarder.Config {
	set := metrics.NewSet()
	return forwarder.Config{
		NodeName: s.NodeName, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress, PeerAddress: s.PeerAddress,
		DirectoryAddress: s.DirectoryAddress, MetricsAddress: s.MetricsAddress, SeedPeers: s.SeedPeers,
		RetryShare: s.RetryShare, RetrySlack: s.RetrySlack, DrainTime: s.DrainTime, StopTime: s.StopTime,
		ConfigurationTime: s.ConfigurationTime,
		Store: platform.NewStore(s.StoreAddress, func(call, result string) {
			set.GetOrCreateCounter(`stepfront_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
		}),
		Decoder: platform.Decoder{},
		Kinds: forwarder.Kinds{
			Configuration: platform.KindConfiguration, Leaves: platform.KindLeaves,
			Evacuations: platform.KindEvacuations, Nodes: platform.KindNodes,
		},
		Names: platform.HeaderNames(),
		DirectoryHandler: func(n *namer.Namer, ready func() bool) http.Handler {
			return platform.DirectoryHandler(n, ready)
		},
		ReadinessHandler: platform.ReadinessHandler,
		Clock:            quartz.NewReal(), Logger: logger, Metrics: set,
	}
}
