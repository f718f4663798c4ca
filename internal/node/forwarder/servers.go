package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/server"
	"github.com/magnoliastep/magnoliastep/internal/forward/tracer"
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
	// answerReserveShare is the share of StopTime, and maxAnswerReserve the longest time, before the end of StopTime at
	// which all requests are answered, if need be with a failure.
	answerReserveShare = 0.1
	maxAnswerReserve   = 600 * time.Millisecond
	// finishReserveShare is the share of StopTime, and maxFinishReserve the longest time, before the end of StopTime at
	// which the process ends even if answers are still being written.
	finishReserveShare = 0.03
	maxFinishReserve   = 180 * time.Millisecond
	// stopPollPeriod is the time between two checks whether callers' connections are still in use.
	stopPollPeriod = 5 * time.Millisecond
)

// servers returns the servers without which the node can't serve; the first one serves callers.
func (n *Node) servers() []*http.Server {
	callers := newServer(n.config.CallerAddress, n.server)
	callers.IdleTimeout = 0
	callers.ConnState = n.reaper.Observe
	callers.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return tracer.NewContext(server.ConnContext(ctx), c)
	}
	return []*http.Server{
		callers,
		newServer(n.config.ReadinessAddress, n.config.ReadinessHandler(n.Ready)),
		newServer(n.config.DirectoryAddress, n.config.DirectoryHandler(n.selector, n.Ready)),
	}
}

// serve runs a server until it is shut down or fails. When the context ends, it does not begin to listen any more.
func (n *Node) serve(ctx context.Context, s *http.Server) error {
	l, err := n.listen(ctx, s.Addr)
	if err != nil {
		return err
	}
	if s.Addr == n.config.CallerAddress {
		n.callerListener.Store(&l)
		l = n.reaper.Listener(n.tracer.Listener(l))
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

// stopSchedule has the steps of a planned stop, as times after its start.
type stopSchedule struct {
	// serveFor is how long callers that have the node's address are served. All requests are answered by answerBy, if
	// need be with a failure, and the process ends by finishBy.
	serveFor, answerBy, finishBy time.Duration
}

// scheduleStop returns the steps of a stop that may take the given time.
func scheduleStop(stopTime time.Duration) stopSchedule {
	return stopSchedule{
		serveFor: shareOf(stopTime, stopServeShare),
		answerBy: stopTime - min(shareOf(stopTime, answerReserveShare), maxAnswerReserve),
		finishBy: stopTime - min(shareOf(stopTime, finishReserveShare), maxFinishReserve),
	}
}

// stop keeps serving until callers have learned that this node is leaving, then takes no further connections and lets
// requests in progress end.
func (n *Node) stop(ctx context.Context, servers []*http.Server, reason string) {
	startedAt, schedule := n.config.Clock.Now(), scheduleStop(n.settings.Load().StopTime)
	n.stopping.Store(true)
	n.gatherer.Stop(schedule.answerBy)
	n.server.Stop(schedule.answerBy)
	n.config.Logger.Info("stop began", "reason", reason, "in_progress", n.server.InProgress(),
		"open_connections", n.reaper.Busy())
	n.prober.Leave()
	go n.prober.Announce(ctx)
	go n.logRequestsEnding(ctx, schedule.answerBy)
	sleeper.Sleep(ctx, n.config.Clock, schedule.serveFor)
	finish, cancel := context.WithTimeout(ctx, schedule.finishBy-schedule.serveFor)
	defer cancel()
	n.config.Logger.Info("stop takes no further connections", "in_progress", n.server.InProgress(),
		"open_connections", n.reaper.Busy())
	n.drainCallers(finish)
	for _, s := range servers[1:] {
		if err := s.Shutdown(finish); err != nil {
			n.config.Logger.Warn("server did not shut down in time", "address", s.Addr, "error", err)
		}
	}
	n.config.Logger.Info("stop complete", "in_progress", n.server.InProgress(), "open_connections", n.reaper.Busy(),
		"requests", n.RequestsInProgress(), "took", n.config.Clock.Since(startedAt))
}

// drainCallers takes no further connections of callers and waits until all requests in progress have been answered, at
// most until the context ends. http.Server.Shutdown is not used, because it may close an idle connection in the moment
// in which a request arrives, and the request would be passed on all the same.
func (n *Node) drainCallers(ctx context.Context) {
	if l := n.callerListener.Load(); l != nil {
		if err := (*l).Close(); err != nil {
			n.config.Logger.Warn("failed to close the listener for callers", "error", err)
		}
	}
	n.reaper.Drain()
	for n.reaper.Busy() > 0 && ctx.Err() == nil {
		sleeper.Sleep(ctx, n.config.Clock, stopPollPeriod)
	}
}

// shareOf returns a share of a time.
func shareOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
