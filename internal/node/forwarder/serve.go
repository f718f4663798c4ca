package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/entrance/idler"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
)

const (
	// headerTimeout and idleTimeout bound callers whose configuration is not known yet, and are longer than
	// what configurations ask for.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// serveShare of the time for a planned stop is spent serving callers that still have this node's address.
	serveShare = 0.7
	// finishShare of that time is when requests in progress must have ended.
	finishShare = 0.92
)

// servers returns the servers of the node; the first one serves callers.
func (n *Node) servers() []*http.Server {
	callers := newServer(n.config.CallerAddress, n.server)
	callers.IdleTimeout = 0
	callers.ConnState = idler.New(idler.Config{Timeout: n.idleTimeout, Clock: n.config.Clock}).Observe
	callers.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return server.ConnContext(ctx) }
	servers := []*http.Server{
		callers,
		newServer(n.config.ReadinessAddress, n.config.ReadinessHandler(n.Ready)),
		newServer(n.config.DirectoryAddress, n.config.DirectoryHandler(n.namer, n.Ready)),
	}
	if n.config.MetricsAddress != "" {
		servers = append(servers, newServer(n.config.MetricsAddress, http.HandlerFunc(n.serveMetrics)))
	}
	return servers
}

// idleTimeout is how long a caller's connection may stay idle.
func (n *Node) idleTimeout() time.Duration {
	if m := n.matcher.Load(); m != nil && m.Limits().IdleTimeout > 0 {
		return m.Limits().IdleTimeout
	}
	return idleTimeout
}

func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Ready tells whether the node can serve callers: it knows the configuration and the leaves and is not stopping.
func (n *Node) Ready() bool {
	return n.ready.Load() && !n.stopping.Load()
}

// stop serves on until callers have learned that this node goes, then lets requests in progress end.
func (n *Node) stop(ctx context.Context, servers []*http.Server) {
	startedAt := n.config.Clock.Now()
	n.stopping.Store(true)
	n.config.Logger.Info("stop began", "in_progress", n.server.InProgress())
	n.prober.Leave()
	go n.prober.Announce(ctx)
	sleeper.Sleep(ctx, n.config.Clock, time.Duration(serveShare*float64(n.bounds.Load().StopTime)))
	finish, cancel := context.WithTimeout(ctx, time.Duration((finishShare-serveShare)*float64(n.bounds.Load().StopTime)))
	defer cancel()
	for i := range servers {
		if err := servers[i].Shutdown(finish); err != nil {
			n.config.Logger.Warn("server did not end in time", "address", servers[i].Addr, "error", err)
		}
	}
	n.config.Logger.Info("stop complete", "in_progress", n.server.InProgress(), "took", n.config.Clock.Since(startedAt))
}
