package frontend

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/entrance/namer"
	"github.com/magnoliastep/magnoliastep/internal/logging/writer"
	"github.com/magnoliastep/magnoliastep/internal/node/forwarder"
	"github.com/magnoliastep/magnoliastep/platform"
)

const (
	// logLinesPerSecond bounds the log of one node.
	logLinesPerSecond = 200
	// settingsPeriod is the time between two looks at the settings file, which may change without a signal.
	settingsPeriod = 2 * time.Second
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
	n := forwarder.New(v.config(s, logger))
	go v.followSettings(ctx, c, n, logger)
	return n.Run(ctx)
}

// followSettings takes changes of the settings file, after SIGHUP or unannounced.
func (v *runVerb) followSettings(ctx context.Context, c *Config, n *forwarder.Node, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	path := settingsPath(v.Settings, c)
	last, err := os.ReadFile(path)
	if err != nil {
		logger.Warn("settings file can't be read again", "path", path, "error", err)
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !asked && bytes.Equal(data, last) {
			continue
		}
		s, decodeError := platform.DecodeSettings(data)
		if err = errors.CombineErrors(err, decodeError); err != nil {
			logger.Error("settings are not usable; the last ones stay in force", "path", path, "error", err)
			last = data
			continue
		}
		last = data
		n.Reload(bounds(s))
	}
}

func bounds(s platform.Settings) forwarder.Bounds {
	return forwarder.Bounds{
		SeedPeers: s.SeedPeers, RetryShare: s.RetryShare, RetrySlack: s.RetrySlack, DrainTime: s.DrainTime,
		StopTime: s.StopTime, ConfigurationTime: s.ConfigurationTime,
	}
}

func (v *runVerb) config(s platform.Settings, logger *slog.Logger) forwarder.Config {
	set := metrics.NewSet()
	return forwarder.Config{
		NodeName: s.NodeName, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress, PeerAddress: s.PeerAddress,
		DirectoryAddress: s.DirectoryAddress, MetricsAddress: s.MetricsAddress,
		CPUShare: s.CPUShare, FirstStart: s.FirstStart, DirectoryTime: s.DirectoryTime,
		Bounds: bounds(s),
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
