// Package assembler constructs the components of a node, connects them and runs them. The store, the clock,
// the dialer of peers and the connections to leaves are passed in, so that tests can replace them by fakes.
package assembler

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/config/relayer"
	"github.com/magnoliastep/magnoliastep/internal/config/repairer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	"github.com/magnoliastep/magnoliastep/internal/entry/admitter"
	"github.com/magnoliastep/magnoliastep/internal/entry/publisher"
	"github.com/magnoliastep/magnoliastep/internal/entry/searcher"
	entryserver "github.com/magnoliastep/magnoliastep/internal/entry/server"
	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	"github.com/magnoliastep/magnoliastep/internal/entry/tracker"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/dispatcher"
	"github.com/magnoliastep/magnoliastep/internal/leaf/placer"
	"github.com/magnoliastep/magnoliastep/internal/operator/pager"
	operatorserver "github.com/magnoliastep/magnoliastep/internal/operator/server"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/submission/grouper"
	"github.com/magnoliastep/magnoliastep/internal/submission/registrar"
	"github.com/magnoliastep/magnoliastep/internal/submission/submitter"
	"github.com/magnoliastep/magnoliastep/internal/view/lister"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	readHeaderTimeout = 5 * time.Second
)

type (
	// Store is the subset of the platform client that a node uses.
	Store interface {
		Get(ctx context.Context, key string) (client.Object, error)
		List(ctx context.Context, prefix string) (client.Listing, error)
		Watch(ctx context.Context, after int64, wait time.Duration) (client.Listing, error)
		Create(ctx context.Context, key string, value []byte) (int64, error)
		Update(ctx context.Context, key string, value []byte, version int64) (int64, error)
		VMs(ctx context.Context) ([]client.VM, error)
	}

	// Config holds what a Node needs.
	Config struct {
		// Settings must be valid and have all defaults filled in.
		Settings *pb.NodeSettings
		Store    Store
		Clock    quartz.Clock
		Logger   *slog.Logger
		// NewSender connects to a leaf; nil means HTTP.
		NewSender func(l *pb.Leaf) dispatcher.LeafSender
		// Dial connects to a peer; nil means TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
	}

	// Node is one assembled node.
	Node struct {
		config   Config
		asserter *asserter.Asserter
		metrics  *metrics.Set
		// stopping is true from the start of a planned stop.
		stopping atomic.Bool
		// peerCallsInFlight counts the calls from other nodes that have not been answered yet.
		peerCallsInFlight atomic.Int64
		keeper            *keeper.Keeper
		watcher           *watcher.Watcher
		repairer          *repairer.Repairer
		relayer           *relayer.Relayer
		messenger         *messenger.Messenger
		prober            *prober.Prober
		lister            *lister.Lister
		placer            *placer.Placer
		dispatcher        *dispatcher.Dispatcher
		tracker           *tracker.Tracker
		publisher         *publisher.Publisher
		router            *router.Router
		searcher          *searcher.Searcher
		submitter         *submitter.Submitter
		grouper           *grouper.Grouper
		registrar         *registrar.Registrar
		entry             *entryserver.Server
		operator          *operatorserver.Server
		tallier           *tallier.Tallier
		admitter          *admitter.Admitter
		pager             *pager.Pager
	}
)

// New constructs a node. Nothing runs until Run is called.
func New(c Config) *Node {
	n := &Node{config: c, metrics: metrics.NewSet()}
	n.asserter = asserter.New(asserter.Config{Logger: c.Logger, Fatal: c.Settings.GetFatalInvariants()})
	n.keeper = keeper.New(keeper.Config{Asserter: n.asserter})
	n.messenger = messenger.New(messenger.Config{
		NodeName:       c.Settings.GetNodeName(),
		Handler:        n,
		ConfigDigest:   n.keeper.Digest,
		OnConfigDigest: func(from string, digest uint64) { n.repairer.ObserveDigest(from, digest) },
		Dial:           c.Dial,
		Logger:         c.Logger,
	})
	n.assembleView()
	n.assembleLeafSide()
	n.assembleEntrySide()
	n.assembleOperatorSide()
	return n
}

// Run starts the background loops, then the servers for peers, callers and operators, and returns when the
// context ends or a server fails. It returns the first error of a server, or nil after a planned stop.
func (n *Node) Run(ctx context.Context) error {
	// The loops end after the servers, so that requests in flight can finish during a stop.
	loopContext, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){
		n.watcher.Run, n.relayer.Run, n.repairer.Run, n.prober.Run, n.lister.Run,
		n.dispatcher.Run, n.tracker.Run, n.publisher.Run, n.pullRosterUntilReady,
		n.pager.Run,
	} {
		loops.Go(func() { run(loopContext) })
	}
	err := n.serve(ctx)
	stopLoops()
	loops.Wait()
	n.messenger.Close()
	return err
}

// Asserter returns the checker of this node's invariants.
func (n *Node) Asserter() *asserter.Asserter {
	return n.asserter
}

// Keeper returns the holder of the configuration in force.
func (n *Node) Keeper() *keeper.Keeper {
	return n.keeper
}

// Status returns the state of this node that operators see.
func (n *Node) Status() *pb.GetStatusResponse {
	return &pb.GetStatusResponse{
		Code:                pb.ResultCode_RESULT_CODE_OK,
		NodeName:            n.config.Settings.GetNodeName(),
		Members:             n.prober.Members(),
		Leaves:              n.dispatcher.Statuses(),
		ConfigVersions:      n.keeper.Versions(),
		ConfigDigest:        n.keeper.Digest(),
		InvariantViolations: n.asserter.Violations(),
		PlatformReachable:   n.watcher.Reachable(),
		InProgress:          n.entry.InProgress(),
		Stopping:            n.stopping.Load(),
	}
}

// serve runs the three servers until the context ends or one of them fails.
func (n *Node) serve(ctx context.Context) error {
	if ctx.Err() != nil {
		n.config.Logger.Info("node ends before it has started", "reason", context.Cause(ctx))
		return nil
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.config.Settings.GetPeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	callerHandler, err := n.entry.Handler()
	if err != nil {
		return err
	}
	callers := n.callerServer(callerHandler)
	operators := n.operatorServer(n.operator.Handler())
	failures := make(chan error, 3)
	go func() { failures <- n.messenger.Serve(peers) }()
	go func() { failures <- errors.Wrap(n.listenAndServe(callers), "serve callers") }()
	go func() { failures <- errors.Wrap(n.listenAndServe(operators), "serve operators") }()
	n.config.Logger.Info("node started", "node", n.config.Settings.GetNodeName(),
		"caller_address", n.config.Settings.GetCallerAddress())
	select {
	case err = <-failures:
	case <-ctx.Done():
		n.stop(callers, operators)
	}
	_ = peers.Close()
	return err
}

func (n *Node) httpServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}
