package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout bound connections to which no configuration applies or whose
	// configuration is not known yet. They are longer than the timeouts of configurations.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// stopServeShare is the share of StopTime during which a stopping node still serves callers that have its address.
	stopServeShare = 0.7
	// stopFinishShare is the share of StopTime after which requests in progress must have ended.
	stopFinishShare = 0.92
)

// servers returns the servers of the node; the first one serves callers.
func (n *Node) servers() []*http.Server {
	callers := newServer(n.config.CallerAddress, n.server)
	callers.IdleTimeout = 0
	callers.ConnState = n.reaper.Observe
	callers.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return server.ConnContext(ctx) }
	servers := []*http.Server{
		callers,
		newServer(n.config.ReadinessAddress, n.config.ReadinessHandler(n.Ready)),
		newServer(n.config.DirectoryAddress, n.config.DirectoryHandler(n.selector, n.Ready)),
	}
	if n.config.MetricsAddress != "" {
		servers = append(servers, newServer(n.config.MetricsAddress, http.HandlerFunc(n.serveMetrics)))
	}
	return servers
}

// serve runs a server until it is shut down or fails.
func (n *Node) serve(ctx context.Context, s *http.Server) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return err
	}
	if s.Addr == n.config.CallerAddress {
		l = n.reaper.Listener(l)
	}
	return s.Serve(l)
}

// idleTimeout returns how long a caller's connection may stay idle.
func (n *Node) idleTimeout() time.Duration {
	if m := n.matcher.Load(); m != nil && m.Limits().IdleTimeout > 0 {
		return m.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Ready reports whether the node can serve callers: it has the configuration and the leaves and is not stopping.
func (n *Node) Ready() bool {
	return n.ready.Load() && !n.stopping.Load()
}

// stop keeps serving until callers have learned that this node is leaving, then shuts the servers down and lets
// requests in progress end.
func (n *Node) stop(ctx context.Context, servers []*http.Server) {
	startedAt := n.config.Clock.Now()
	n.stopping.Store(true)
	n.config.Logger.Info("stop began", "in_progress", n.server.InProgress())
	n.prober.Leave()
	go n.prober.Announce(ctx)
	sleeper.Sleep(ctx, n.config.Clock, time.Duration(stopServeShare*float64(n.settings.Load().StopTime)))
	finish, cancel := context.WithTimeout(ctx,
		time.Duration((stopFinishShare-stopServeShare)*float64(n.settings.Load().StopTime)))
	defer cancel()
	for i := range servers {
		if err := servers[i].Shutdown(finish); err != nil {
			n.config.Logger.Warn("server did not shut down in time", "address", servers[i].Addr, "error", err)
		}
	}
	n.config.Logger.Info("stop complete", "in_progress", n.server.InProgress(), "took", n.config.Clock.Since(startedAt))
}
