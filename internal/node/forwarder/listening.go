package forwarder

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
)

const (
	// listenRetryPeriod is the time between two attempts to listen on an address that is still in use.
	listenRetryPeriod = 50 * time.Millisecond
	// metricsRetryPeriod is the time between two attempts to serve metrics.
	metricsRetryPeriod = time.Second
)

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// listen opens a listener. The process before may still use the address until the end of its stop, so it tries again
// for that long.
func (n *Node) listen(ctx context.Context, address string) (net.Listener, error) {
	deadline := n.config.Clock.Now().Add(n.settings.Load().StopTime)
	for {
		l, err := n.config.Listen(ctx, address)
		passes := errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
		if !passes || ctx.Err() != nil || !n.config.Clock.Now().Before(deadline) {
			return l, err
		}
		sleeper.Sleep(ctx, n.config.Clock, listenRetryPeriod)
	}
}

// servePeers serves other nodes until the background ends. When ctx ends, it does not begin to listen any more.
func (n *Node) servePeers(ctx, background context.Context) error {
	l, err := n.listen(ctx, n.config.PeerAddress)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(background, func() { _ = l.Close() })
	defer stop()
	return n.messenger.Serve(l)
}

// runMetricsServer serves metrics until the context ends. The node serves callers whether or not that succeeds.
func (n *Node) runMetricsServer(ctx context.Context) {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock, metricsRetryPeriod) {
		s := newServer(n.config.MetricsAddress, http.HandlerFunc(n.serveMetrics))
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		err := n.serve(ctx, s)
		stop()
		if ctx.Err() == nil {
			n.config.Logger.Warn("metrics are not served; trying again", "error", err)
		}
	}
}

// handleFailure makes a planned stop after the failure of a server or loop, unless this node has never served callers.
func (n *Node) handleFailure(ctx context.Context, servers []*http.Server, failure error) {
	n.config.Logger.Error("server or loop failed; the node ends", "error", failure.Error(),
		"in_progress", n.server.InProgress())
	if n.callerListener.Load() != nil {
		n.stop(ctx, servers, failure.Error())
	}
}
