// Package forwarder puts the node together that forwards callers' requests to leaves. Settings and the
// platform's store flow in; a running node flows out. It has no disk: what it knows it has read from the store
// or from other nodes since its start.
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

	"github.com/magnoliastep/magnoliastep/internal/entrance/namer"
	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/spreader"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/enroller"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	// maxAnswerBytes bounds the body of one leaf's answer.
	maxAnswerBytes = 8 << 20
	// probePeriod, probeTimeout and suspicionPeriod make a killed node known to all within about 3 seconds.
	probePeriod     = 200 * time.Millisecond
	probeTimeout    = 400 * time.Millisecond
	suspicionPeriod = time.Second
	// keepAnswers is how long callers keep an answer of the directory.
	keepAnswers = 2 * time.Second
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
		// Configuration returns ok false for a document that is not the configuration.
		Configuration(d replicator.Document) (c matcher.Config, ok bool, err error)
		Leaf(d replicator.Document) (pooler.Entry, error)
	}

	// Kinds are the kinds of documents in the store.
	Kinds struct {
		Configuration, Leaves, Evacuations, Nodes string
	}

	// Bounds are the settings that may change while a node runs.
	Bounds struct {
		// SeedPeers are peer addresses that may be out of date.
		SeedPeers []string
		// RetryShare and RetrySlack bound the second sends of all nodes to a service.
		RetryShare, RetrySlack float64
		// DrainTime is how long a leaf goes on serving after its entry says that it leaves.
		DrainTime time.Duration
		// StopTime is the time from the begin of a planned stop to the end of the process.
		StopTime time.Duration
		// ConfigurationTime is how soon a configuration must be in force.
		ConfigurationTime time.Duration
	}

	// Config holds what a Node needs.
	Config struct {
		NodeName         string
		AvailabilityZone string
		Region           string
		// Addresses are IP and port each. Metrics may be empty.
		CallerAddress, ReadinessAddress, PeerAddress, DirectoryAddress, MetricsAddress string
		// CPUShare is the cores that the VM has.
		CPUShare float64
		// DirectoryTime is the longest time for which callers keep an answer of the directory.
		DirectoryTime time.Duration
		// FirstStart is set when all nodes start for the first time: there is time to let few of them read the store.
		FirstStart bool
		// Bounds may change while the node runs.
		Bounds  Bounds
		Store   Store
		Decoder Decoder
		Kinds   Kinds
		Names   server.Names
		// DirectoryHandler and ReadinessHandler speak to callers and to the platform.
		DirectoryHandler func(n *namer.Namer, ready func() bool) http.Handler
		ReadinessHandler func(ready func() bool) http.Handler
		Clock            quartz.Clock
		Logger           *slog.Logger
		Metrics          *metrics.Set
	}

	// Node is one node. All its parts run from Run to the end of its context.
	Node struct {
		config     Config
		bounds     atomic.Pointer[Bounds]
		startedAt  time.Time
		matcher    atomic.Pointer[matcher.Matcher]
		stopping   atomic.Bool
		ready      atomic.Bool
		replicator *replicator.Replicator
		watchers   []*watcher.Watcher
		spreader   *spreader.Spreader
		messenger  *messenger.Messenger
		prober     *prober.Prober
		pooler     *pooler.Pooler
		enroller   *enroller.Enroller
		gatherer   *gatherer.Gatherer
		server     *server.Server
		namer      *namer.Namer
		mutex      sync.Mutex
		// readerSpread is this node's part of lateReaderSpread.
		readerSpread time.Duration
		// evacuated has the zones that are out of service.
		evacuated map[string]bool
		// fleet is what was last known of the other nodes; nil before the first look.
		fleet atomic.Pointer[fleet]
	}
)

// New assembles a node that does nothing yet.
func New(c Config) *Node {
	n := &Node{config: c, startedAt: c.Clock.Now(), evacuated: map[string]bool{}}
	n.bounds.Store(&c.Bounds)
	n.readerSpread = rand.N(lateReaderSpread) //nolint:gosec // spreads load only
	n.assembleFleet()
	n.assembleLeaves()
	n.assembleRecords()
	n.server = server.New(server.Config{
		Gatherer: n.gatherer, Names: c.Names, Matcher: n.matcher.Load, Fresh: n.fresh, Draining: n.stopping.Load,
		Observe: n.observe, Logger: c.Logger, Random: rand.Float64,
	})
	n.namer = namer.New(namer.Config{View: n.prober, KeepFor: keepFor(c.DirectoryTime)})
	n.registerGauges()
	return n
}

// keepFor returns how long callers are to keep an answer of the directory; 0 as the longest means no bound.
func keepFor(longest time.Duration) time.Duration {
	if longest <= 0 {
		return keepAnswers
	}
	return min(keepAnswers, longest)
}

func (n *Node) assembleFleet() {
	c := n.config
	n.messenger = messenger.New(messenger.Config{
		NodeName: c.NodeName, Handler: n, Logger: c.Logger, Dial: dialPeer,
		KeptLinks: keptLinks, Sent: n.observeFrame,
		Digest: func() uint64 { return 0 }, ObserveDigest: func(string, uint64) {},
	})
	n.prober = prober.New(prober.Config{
		Self: n.self(), Messenger: n.messenger, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
		Asserter:    asserter.New(asserter.Config{Logger: c.Logger}),
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load only
		ProbePeriod: probePeriod, ProbeTimeout: probeTimeout, SuspicionPeriod: suspicionPeriod,
		Targets:   func(names []string) []string { return linker.Choose(names, c.NodeName) },
		SeedPeers: n.otherSeeds(), Load: func() uint32 { return uint32(n.server.InProgress()) }, Dead: n.messenger.Drop,
	})
}

func (n *Node) assembleLeaves() {
	c := n.config
	connections := c.Metrics.NewCounter("stepfront_leaf_connections_opened_total")
	n.pooler = pooler.New(pooler.Config{
		Zone: c.AvailabilityZone, Names: c.Names.Names, MaxAnswerBytes: maxAnswerBytes, ColdShare: n.coldShare,
		Connected: connections.Inc, Random: rand.Float64, Logger: c.Logger,
	})
	n.enroller = enroller.New(enroller.Config{
		Pool: n.pooler, DrainTime: func() time.Duration { return n.bounds.Load().DrainTime },
		Clock: c.Clock, Logger: c.Logger,
	})
	n.gatherer = gatherer.New(gatherer.Config{
		Pool: n.pooler, Budget: n.budget, Nodes: n.servingNodes,
		Misdirected: func(l *pooler.Leaf) {
			c.Logger.Info("leaf answered for another", "leaf", l.Entry().ID, "address", l.Entry().Address)
		},
	})
}

// Reload takes bounds that have changed.
func (n *Node) Reload(b Bounds) {
	old := n.bounds.Swap(&b)
	n.config.Logger.Info("settings reloaded", "seeds", len(b.SeedPeers), "retry_share", b.RetryShare,
		"retry_slack", b.RetrySlack, "drain_time", b.DrainTime, "stop_time", b.StopTime,
		"configuration_time", b.ConfigurationTime, "former_seeds", len(old.SeedPeers))
	n.prober.AddCandidates(n.otherSeeds())
}

func (n *Node) budget() budgeter.Config {
	b := n.bounds.Load()
	return budgeter.Config{Share: b.RetryShare, Slack: b.RetrySlack}
}

// Run works until the context ends, and then stops as planned. It returns the first error of a server.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.config.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	defer func() { _ = peers.Close() }()
	failures := make(chan error, 8)
	go func() { failures <- errors.Wrap(n.messenger.Serve(peers), "serve peers") }()
	servers := n.servers()
	for _, s := range servers {
		go func() {
			if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Wrapf(err, "serve %s", s.Addr)
			}
		}()
	}
	n.runLoops(background)
	n.config.Logger.Info("node started", "caller_address", n.config.CallerAddress, "zone", n.config.AvailabilityZone)
	select {
	case err = <-failures:
	case <-ctx.Done():
		n.stop(background, servers)
	}
	n.messenger.Close()
	return err
}

func (n *Node) runLoops(ctx context.Context) {
	for _, w := range n.watchers {
		go w.Run(ctx)
	}
	go n.spreader.Run(ctx)
	go n.join(ctx)
}
