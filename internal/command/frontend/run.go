package frontend

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/timekeeper"
	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
	"github.com/magnoliastep/magnoliastep/internal/logging/writer"
	"github.com/magnoliastep/magnoliastep/internal/node/forwarder"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
	"github.com/magnoliastep/magnoliastep/platform"
)

const (
	// maxLogLinesPerSecond limits the log of one node; the log writer drops lines above it.
	maxLogLinesPerSecond = 200
	// settingsPollPeriod is the time between two reads of the settings file, which may change without a signal.
	settingsPollPeriod = 2 * time.Second
	// lastReloadTimeout bounds by how long reading the settings file may delay a planned stop.
	lastReloadTimeout = 100 * time.Millisecond
	// memoryLimitShare is the share of the memory in the settings that becomes the garbage collector's soft limit.
	memoryLimitShare = 0.7
	// gcPercent is the heap growth that triggers a collection, in percent of the live heap. It is below
	// Go's default of 100, because live data is small and memory costs money.
	gcPercent = 60
)

// runCommand runs the node.
type runCommand struct {
	Settings        string  `help:"Path of the settings file; default: the platform's." placeholder:"FILE"`
	ZoneTrafficCost float64 `help:"Cost of a megabyte between zones, in values of one request." default:"3"`
	LogLevel        string  `help:"Lowest level that is logged." default:"info" enum:"debug,info,warn,error"`
}

// Run runs the node until SIGTERM or SIGINT.
func (v *runCommand) Run(c *Config) error {
	if !(v.ZoneTrafficCost >= 0) || math.IsInf(v.ZoneTrafficCost, 1) {
		return errors.Newf("--zone-traffic-cost must be a number of at least 0, not %v", v.ZoneTrafficCost)
	}
	data, err := os.ReadFile(settingsPath(v.Settings, c))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := platform.DecodeSettings(data)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	logWriter := writer.New(writer.Config{Output: c.Output, LinesPerSecond: maxLogLinesPerSecond})
	defer logWriter.Close()
	var level slog.Level
	if err := level.UnmarshalText([]byte(v.LogLevel)); err != nil {
		return err
	}
	logger := slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: level})).With("node", s.NodeName)
	ctx := c.Signals.Context()
	set := metrics.NewSet()
	clock := timekeeper.New(timekeeper.Config{Clock: quartz.NewReal()})
	store := platform.NewStore(platform.StoreConfig{
		Address: s.StoreAddress, Clock: clock, OnCall: func(call, result string) {
			set.GetOrCreateCounter(`stepfront_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
		},
		OnUnreadable: unreadableReporter(set, logger), OnUnusedEra: unusedEraReporter(set, logger),
	})
	node := nodeConfig(s)
	node.ZoneTrafficCost = v.ZoneTrafficCost
	node.Store, node.RolloutStore, node.Clock, node.Logger, node.Metrics = store, store, clock, logger, set
	n := forwarder.New(node)
	stopContext, beginStop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer beginStop(nil)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		v.watchSettings(ctx, c, logger, data, func(s platform.Settings) {
			store.SetAddress(s.StoreAddress)
			n.Reload(reloadableSettings(s))
		})
	}()
	go func() {
		<-ctx.Done()
		select {
		case <-watched:
		case <-time.After(lastReloadTimeout):
		}
		beginStop(context.Cause(ctx))
	}()
	err = n.Run(stopContext)
	logWriter.Close()
	logEnd(ctx, slog.New(slog.NewTextHandler(c.Output, nil)).With("node", s.NodeName), n, logWriter.DroppedLines(), err)
	return err
}

// logEnd writes the last line of the process. The logger must not drop it.
func logEnd(ctx context.Context, logger *slog.Logger, n *forwarder.Node, droppedLines uint64, err error) {
	reason := err
	if reason == nil {
		reason = context.Cause(ctx)
	}
	logger.Info("process ends", "reason", reason.Error(), "in_progress", n.InProgress(),
		"requests", n.RequestsInProgress(), "log_lines_dropped", droppedLines)
}

// watchSettings calls reload with the settings after SIGHUP and when it finds that the file has changed since its last
// content was read. It returns when the context ends, after a last look at the file: the time for a planned stop may
// change together with the stop.
func (v *runCommand) watchSettings(
	ctx context.Context, c *Config, logger *slog.Logger, last []byte, reload func(s platform.Settings),
) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	path := settingsPath(v.Settings, c)
	for {
		select {
		case <-ctx.Done():
			reloadSettings(path, last, false, logger, reload)
			return
		case <-c.Signals.Reloads():
			last = reloadSettings(path, last, true, logger, reload)
		case <-ticker.C:
			last = reloadSettings(path, last, false, logger, reload)
		}
	}
}

// reloadSettings calls reload with the settings in the file if they are usable and have changed from the last content,
// or if forced. It returns the content.
func reloadSettings(
	path string, last []byte, forced bool, logger *slog.Logger, reload func(s platform.Settings),
) []byte {
	data, err := os.ReadFile(path)
	if err == nil && !forced && bytes.Equal(data, last) {
		return data
	}
	s, decodeError := platform.DecodeSettings(data)
	if err = errors.CombineErrors(err, decodeError); err != nil {
		logger.Error("settings are not usable; the last ones stay in force", "path", path, "error", err)
		return data
	}
	reload(s)
	return data
}

// reloadableSettings returns the settings that may change while the node runs.
func reloadableSettings(s platform.Settings) forwarder.ReloadableSettings {
	return forwarder.ReloadableSettings{
		SeedPeers: s.SeedPeers, RetryShare: s.RetryShare, RetrySlack: s.RetrySlack, DrainTime: s.DrainTime,
		RolloutShare: s.RolloutShare, RolloutSlack: s.RolloutSlack,
		StopTime: s.StopTime, ConfigurationTime: s.ConfigurationTime,
		QuotaBounds: limiter.Bounds{Window: s.QuotaWindow, Over: s.QuotaOver, Slack: s.QuotaSlack},
	}
}

// unreadableReporter returns a function that counts objects of the store that can't be read, and logs the first of each
// kind.
func unreadableReporter(set *metrics.Set, logger *slog.Logger) func(kind string, objects int) {
	name := func(kind string) string { return `stepfront_store_objects_unreadable_total{kind="` + kind + `"}` }
	for _, kind := range []string{
		platform.KindConfiguration, platform.KindLeaves, platform.KindEvacuations, platform.KindRollouts,
	} {
		set.NewCounter(name(kind))
	}
	var logged sync.Map
	return func(kind string, objects int) {
		set.GetOrCreateCounter(name(kind)).Add(objects)
		if _, repeated := logged.LoadOrStore(kind, true); !repeated {
			logger.Warn("objects of the store have no usable name or revision and are left out", "kind", kind,
				"objects", objects)
		}
	}
}

// unusedEraReporter returns a function that counts answers of the store whose era can't be used, and logs the first for
// each reason.
func unusedEraReporter(set *metrics.Set, logger *slog.Logger) func(reason string) {
	name := func(reason string) string { return `stepfront_store_eras_unused_total{reason="` + reason + `"}` }
	for _, reason := range []string{platform.EraMissing, platform.EraNoNumber, platform.EraWentBack} {
		set.NewCounter(name(reason))
	}
	var logged sync.Map
	return func(reason string) {
		set.GetOrCreateCounter(name(reason)).Inc()
		if _, repeated := logged.LoadOrStore(reason, true); !repeated {
			logger.Warn("answer of the store states no usable era; the era counts as unchanged", "reason", reason)
		}
	}
}

// rolloutKind returns the kind of the orders of roll-outs, or "" if the settings do not bound roll-outs: then there are
// none, and nodes do not ask the store for them.
func rolloutKind(s platform.Settings) string {
	if s.RolloutShare <= 0 {
		return ""
	}
	return platform.KindRollouts
}

// nodeConfig returns what the settings say of a node.
func nodeConfig(s platform.Settings) forwarder.Config {
	return forwarder.Config{
		NodeName: s.NodeName, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress, PeerAddress: s.PeerAddress,
		DirectoryAddress: s.DirectoryAddress, MetricsAddress: s.MetricsAddress,
		CPUShare: s.CPUShare, MemoryBytes: s.MemoryBytes, FirstStart: s.FirstStart, DirectoryTime: s.DirectoryTime,
		ReloadableSettings: reloadableSettings(s),
		Decoder:            platform.Decoder{},
		Kinds: forwarder.Kinds{
			Configuration: platform.KindConfiguration, Leaves: platform.KindLeaves,
			Evacuations: platform.KindEvacuations, Nodes: platform.KindNodes, Rollouts: rolloutKind(s),
		},
		DecodeRollout: platform.DecodeRollout,
		HeaderNames:   platform.HeaderNames(),
		DirectoryHandler: func(n *selector.Selector, ready func() bool) http.Handler {
			return platform.DirectoryHandler(n, ready)
		},
		ReadinessHandler: platform.ReadinessHandler,
	}
}
