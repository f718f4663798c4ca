// Package forwarder assembles and runs the node that forwards callers' requests to leaves. The node keeps nothing on
// disk: after each start it reads configuration and leaf entries from the platform's store or from other nodes.
package forwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/account/labeler"
	"github.com/magnoliastep/magnoliastep/internal/account/weigher"
	"github.com/magnoliastep/magnoliastep/internal/discovery/reaper"
	"github.com/magnoliastep/magnoliastep/internal/discovery/selector"
	"github.com/magnoliastep/magnoliastep/internal/forward/activator"
	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/forward/tracer"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/invariant/isolator"
	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
	"github.com/magnoliastep/magnoliastep/internal/records/bootstrapper"
	"github.com/magnoliastep/magnoliastep/internal/records/elector"
	"github.com/magnoliastep/magnoliastep/internal/records/gossiper"
	"github.com/magnoliastep/magnoliastep/internal/records/monitor"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
	"github.com/magnoliastep/magnoliastep/internal/rollout/conductor"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/enroller"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	// With probePeriod, probeTimeout and suspicionPeriod all nodes learn of a killed node within about 3 seconds.
	probePeriod     = 200 * time.Millisecond
	probeTimeout    = 400 * time.Millisecond
	suspicionPeriod = time.Second
	// defaultDirectoryTTL is how long callers keep an answer of the directory, unless the settings ask for less.
	defaultDirectoryTTL = 2 * time.Second
)

type (
	// Store is the platform's store.
	Store interface {
		watcher.Store
		// Put creates or replaces one document.
		Put(ctx context.Context, kind, name string, data []byte) error
	}

	// Decoder decodes the documents of the store.
	Decoder interface {
		// Configuration decodes the configuration. ok is false for a document that is not the configuration.
		Configuration(d replicator.Document) (c matcher.Config, ok bool, err error)
		// Leaf decodes the entry of a leaf.
		Leaf(d replicator.Document) (balancer.Entry, error)
	}

	// Kinds are the names of the kinds of documents in the store.
	Kinds struct {
		Configuration, Leaves, Evacuations, Nodes string
		// Rollouts may be empty: software versions aren't rolled out then.
		Rollouts string
	}

	// ReloadableSettings are the settings that may change while a node runs.
	ReloadableSettings struct {
		// SeedPeers are peer addresses that may be out of date.
		SeedPeers []string
		// RetryShare and RetrySlack bound the hedges and retries of all nodes to a service: a share of its requests, and
		// a fixed number on top.
		RetryShare, RetrySlack float64
		// RolloutShare and RolloutSlack bound what a bad software version gets before it is completed: a share of the
		// requests to its service, and a fixed number on top.
		RolloutShare, RolloutSlack float64
		// DrainTime is how long a leaf continues to serve after its entry says that it is draining.
		DrainTime time.Duration
		// StopTime is the time from the start of a planned stop to the end of the process.
		StopTime time.Duration
		// ConfigurationTime is the time within which a new configuration must be in force.
		ConfigurationTime time.Duration
		// QuotaBounds say how exactly the quotas of client accounts must hold.
		QuotaBounds limiter.Bounds
	}

	// Config holds what a Node needs.
	Config struct {
		NodeName         string
		AvailabilityZone string
		Region           string
		// Each address has an IP and a port. MetricsAddress may be empty: metrics are not served then.
		CallerAddress, ReadinessAddress, PeerAddress, DirectoryAddress, MetricsAddress string
		// CPUShare is the number of cores that the VM has; it may be a fraction.
		CPUShare float64
		// MemoryBytes is the memory of the VM.
		MemoryBytes int64
		// DirectoryTime is the maximum time for which callers may keep an answer of the directory; 0 is no bound.
		DirectoryTime time.Duration
		// ZoneTrafficCost is what a megabyte between availability zones costs, in units of the value of one request; at
		// least 0.
		ZoneTrafficCost float64
		// FirstStart is set when all nodes start for the first time. There is time then to let only few of them read the
		// store.
		FirstStart bool
		// ReloadableSettings may change while the node runs.
		ReloadableSettings ReloadableSettings
		Store              Store
		Decoder            Decoder
		Kinds              Kinds
		// RolloutStore and DecodeRollout must be set with Kinds.Rollouts. DecodeRollout decodes an order to roll out a
		// version of a service's software.
		RolloutStore  conductor.Store
		DecodeRollout func(d replicator.Document) (conductor.Order, error)
		HeaderNames   server.HeaderNames
		// DirectoryHandler answers callers that ask where to connect, and ReadinessHandler answers the platform.
		DirectoryHandler func(n *selector.Selector, ready func() bool) http.Handler
		ReadinessHandler func(ready func() bool) http.Handler
		// Listen opens a listener for an address; nil means TCP.
		Listen  func(ctx context.Context, address string) (net.Listener, error)
		Clock   quartz.Clock
		Logger  *slog.Logger
		Metrics *metrics.Set
	}

	// Node forwards the requests of callers. All its parts run until the context of Run ends.
	Node struct {
		config    Config
		settings  atomic.Pointer[ReloadableSettings]
		startedAt time.Time
		matcher   atomic.Pointer[matcher.Matcher]
		// keySecret is the key of the digests of account keys, random for this process.
		keySecret []byte
		// weigher weighs the use of the leaves by client accounts.
		weigher *weigher.Weigher
		// accountLabels names the accounts in metrics.
		accountLabels *labeler.Labeler
		stopping      atomic.Bool
		ready         atomic.Bool
		replicator    *replicator.Replicator
		watchers      []*watcher.Watcher
		patcher       *patcher.Patcher
		elector       *elector.Elector
		monitor       *monitor.Monitor
		activator     *activator.Activator
		reaper        *reaper.Reaper
		tracer        *tracer.Tracer
		isolator      *isolator.Isolator
		gossiper      *gossiper.Gossiper
		// bootstrapper brings this node its first documents.
		bootstrapper *bootstrapper.Bootstrapper
		messenger    *messenger.Messenger
		prober       *prober.Prober
		balancer     *balancer.Balancer
		enroller     *enroller.Enroller
		gatherer     *gatherer.Gatherer
		server       *server.Server
		// answerMemory and bodyMemory bound the large answers of leaves and the large bodies of requests that are held.
		answerMemory, bodyMemory *reserver.Reserver
		selector                 *selector.Selector
		quotas                   *quotas
		// conductor conducts roll-outs; nil if Kinds.Rollouts is empty.
		conductor *conductor.Conductor
		// unusableRollouts has the orders that can't be used, by service.
		unusableRollouts sync.Map
		// callerListener accepts the connections of callers; nil until it has been opened.
		callerListener atomic.Pointer[net.Listener]
		mutex          sync.Mutex
		// evacuatedZones is the set of zones that are out of service.
		evacuatedZones map[string]bool
		// evacuationEnds and rolloutEnds have the pending end of each order that is missing in a new era of the store, by
		// zone and by service.
		evacuationEnds, rolloutEnds *pendingEnds
		// helpers is the number of further serving nodes that this node asks for.
		helpers atomic.Uint32
		// joined is set for good once another node has been known.
		joined atomic.Bool
		// failures receives the errors of servers and loops without which this node can't go on.
		failures   chan error
		departures departureLog
		// fleet is the cached result of currentFleet; nil before its first call.
		fleet atomic.Pointer[fleetState]
	}
)

// New assembles a node. It does nothing until Run is called.
func New(c Config) *Node {
	if c.Listen == nil {
		c.Listen = listenTCP
	}
	n := &Node{
		config: c, startedAt: c.Clock.Now(), evacuatedZones: map[string]bool{},
		evacuationEnds: newPendingEnds(c.Clock), rolloutEnds: newPendingEnds(c.Clock), failures: make(chan error, 8),
	}
	n.assembleAccounts()
	n.setSettings(c.ReloadableSettings, defaultSettings())
	n.elector = elector.New(elector.Config{NodeName: c.NodeName, AvailabilityZone: c.AvailabilityZone})
	n.monitor = monitor.New(monitor.Config{Clock: c.Clock})
	n.reaper = reaper.New(reaper.Config{Timeout: n.idleTimeout, Clock: c.Clock})
	n.isolator = isolator.New(isolator.Config{Logger: c.Logger, OnPanic: n.countPanic})
	n.tracer = tracer.New(tracer.Config{OnUnanswered: n.observeUnanswered, Logger: c.Logger})
	n.assembleMemory()
	n.assembleFleet()
	n.assembleLeaves()
	n.assembleRollouts()
	n.assembleRecords()
	n.assembleQuotas()
	n.server = server.New(server.Config{
		Gatherer: n.gatherer, Use: n.accountUse, HeaderNames: c.HeaderNames, Matcher: n.matcher.Load,
		ConfigCurrent:  n.configurationCurrent,
		ConfigOutdated: n.configurationOutdated, Draining: n.stopping.Load, Observe: n.observeRequest,
		ObserveAccount: n.observeAccount,
		OnPanic:        func() { n.countPanic(workRequest) }, Logger: c.Logger, Random: rand.Float64,
		Memory: n.bodyMemory, Quota: n.quotas,
	})
	n.selector = selector.New(selector.Config{
		View: n.prober, Leaves: n.leafSummary, KeepFor: directoryTTL(c.DirectoryTime),
	})
	n.registerGauges()
	n.registerUnanswered()
	n.registerPanics()
	n.registerDepartures()
	return n
}

// directoryTTL returns how long callers are told to keep an answer of the directory. A maximum of 0 means no bound.
func directoryTTL(maximum time.Duration) time.Duration {
	if maximum <= 0 {
		return defaultDirectoryTTL
	}
	return min(defaultDirectoryTTL, maximum)
}

func (n *Node) assembleFleet() {
	c := n.config
	n.messenger = messenger.New(messenger.Config{
		NodeName: c.NodeName, Handler: n, Logger: c.Logger, Dial: dialPeer,
		IdleLinkThreshold: idleLinkThreshold, MaxFrameBytes: maxFrameBytes, OnFrameSent: n.observeFrame,
		ConfigDigest: func() uint64 { return 0 }, OnConfigDigest: func(string, uint64) {},
	})
	n.prober = prober.New(prober.Config{
		Self: n.selfMember(), Messenger: n.messenger, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
		Asserter:    asserter.New(asserter.Config{Logger: c.Logger}),
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load only
		ProbePeriod: probePeriod, ProbeTimeout: probeTimeout, SuspicionPeriod: suspicionPeriod,
		FilterTargets: func(names []string) []string { return linker.ChoosePeers(names, c.NodeName) },
		SeedPeers:     n.otherSeeds(), Load: func() uint32 { return uint32(n.server.InProgress()) },
		Helpers: n.helpers.Load, OnDeath: n.messenger.CloseLink, Isolate: n.isolateFrame,
	})
}

func (n *Node) assembleLeaves() {
	c := n.config
	connections := c.Metrics.NewCounter("stepfront_leaf_connections_opened_total")
	n.balancer = balancer.New(balancer.Config{
		Zone: c.AvailabilityZone, HeaderNames: c.HeaderNames.HeaderNames,
		MaxAnswerBytes: maxAnswerBytesOf(c.MemoryBytes), Memory: n.answerMemory, ColdShare: n.coldShare,
		OnConnect: connections.Inc, OnExcessBytes: c.Metrics.NewCounter("stepfront_leaf_answers_too_long_total").Inc,
		Localizer:  localizer.New(localizer.Config{TrafficCost: c.ZoneTrafficCost, Random: rand.Float64}),
		OnZoneLeft: n.observeDeparture, OnZoneBytes: func(bytes int) { n.countZoneBytes(leafCallBytes, bytes) },
		Random: rand.Float64, Logger: c.Logger,
	})
	n.enroller = enroller.New(enroller.Config{
		Pool: leafPool{n.balancer}, DrainTime: func() time.Duration { return n.settings.Load().DrainTime },
		StoreFailedAt: n.monitor.LastFailure, Clock: c.Clock, Logger: c.Logger,
	})
	n.gatherer = gatherer.New(gatherer.Config{
		Pool: n.balancer, Budget: n.budget, Nodes: n.servingNodes,
		Misdirected: func(l *balancer.Leaf) {
			c.Logger.Info("leaf answered for another", "leaf", l.Entry().ID, "address", l.Entry().Address)
		},
		OnCall: n.observeCall,
		OnPanic: func(requestID string, l *balancer.Leaf, value any) {
			n.isolator.Report(workCall, value, "request_id", requestID, "leaf", l.Entry().ID)
		},
	})
}

// Reload puts changed settings in force.
func (n *Node) Reload(s ReloadableSettings) {
	old := n.settings.Load()
	s = n.setSettings(s, *old)
	n.quotas.limiter.SetBounds(s.QuotaBounds, n.config.Clock.Now())
	n.config.Logger.Info("settings reloaded", "seeds", len(s.SeedPeers), "retry_share", s.RetryShare,
		"retry_slack", s.RetrySlack, "drain_time", s.DrainTime, "stop_time", s.StopTime,
		"configuration_time", s.ConfigurationTime, "former_seeds", len(old.SeedPeers))
	n.prober.AddCandidates(n.otherSeeds())
}

func (n *Node) budget() budgeter.Config {
	s := n.settings.Load()
	return budgeter.Config{Share: s.RetryShare, Slack: s.RetrySlack}
}

// Run runs the node until the context ends, then makes a planned stop. If a server or loop fails without which the node
// can't serve, it makes the planned stop, too, and returns that error.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if ctx.Err() != nil {
		n.config.Logger.Info("node ends before it has started", "reason", context.Cause(ctx))
		return nil
	}
	go func() { n.failures <- errors.Wrap(n.servePeers(ctx, background), "serve peers") }()
	servers := n.servers()
	for _, s := range servers {
		go func() {
			if err := n.serve(ctx, s); !errors.Is(err, http.ErrServerClosed) {
				n.failures <- errors.Wrapf(err, "serve %s", s.Addr)
			}
		}()
	}
	if n.config.MetricsAddress != "" {
		go n.runMetricsServer(background)
	}
	n.startLoops(background)
	n.config.Logger.Info("node started", "caller_address", n.config.CallerAddress, "zone", n.config.AvailabilityZone)
	var err error
	select {
	case <-ctx.Done():
		n.stop(background, servers, context.Cause(ctx).Error())
	case err = <-n.failures:
		n.handleFailure(background, servers, err)
	}
	n.messenger.Close()
	return err
}

func (n *Node) startLoops(ctx context.Context) {
	for _, w := range n.watchers {
		n.startLoop(ctx, w.Run)
	}
	if n.conductor != nil {
		n.startLoop(ctx, n.conductor.Run)
	}
	for _, run := range []func(context.Context){
		n.activator.Run, n.gossiper.Run, n.join, n.observeProcessorTime,
		n.quotas.reporter.Run,
	} {
		n.startLoop(ctx, run)
	}
}
