package assembler

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
)

const (
	// leaveSpreadProbePeriods is the number of probe periods within which every other node learns that this one leaves.
	leaveSpreadProbePeriods = 10
	peerIdlePollPeriod      = 50 * time.Millisecond
	// peerIdlePeriod without calls from peers ends the wait for them.
	peerIdlePeriod = 500 * time.Millisecond
	// stopReserve is the part of the stop deadline that is reserved for the steps after the waits.
	stopReserve = 500 * time.Millisecond
)

type (
	// leafHandoverer hands leaves over to their next owners and waits for the calls in flight to them.
	leafHandoverer interface {
		HandOver(ctx context.Context) error
	}
)

// stop shuts the node down gracefully: it leaves the view and the list of entries, keeps serving until no caller
// can still hold a list of entries that names it, hands its leaves over and waits for calls in flight. The stop
// deadline of the settings bounds all of this; work that is interrupted by the deadline is logged.
func (n *Node) stop(callers, operators *http.Server) {
	t := n.config.Settings.GetTimings()
	deadline := t.GetStopDeadline().AsDuration()
	entriesLifetime := t.GetEntriesKeepFor().AsDuration() + leaveSpreadProbePeriods*t.GetProbePeriod().AsDuration()
	n.config.Logger.Info("stop began", "deadline", deadline, "kept_answers", entriesLifetime)
	startedAt := n.config.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline-min(stopReserve, deadline/2))
	defer cancel()
	n.stopping.Store(true)
	n.prober.Leave()
	n.prober.Announce(ctx)
	sleeper.Sleep(ctx, n.config.Clock, entriesLifetime)
	n.waitForWork(ctx, "callers", callers.Shutdown)
	if h, ok := any(n.dispatcher).(leafHandoverer); ok {
		n.waitForWork(ctx, "leaf calls", h.HandOver)
	}
	n.waitForWork(ctx, "peer work", n.waitForPeerCalls)
	n.waitForWork(ctx, "operators", operators.Shutdown)
	n.config.Logger.Info("stop complete", "in_progress", n.entry.InProgress(), "peer_work", n.peerCallsInFlight.Load(),
		"took", n.config.Clock.Since(startedAt))
}

// waitForWork waits for one kind of work to end. Work that outlasts the deadline is interrupted and logged.
func (n *Node) waitForWork(ctx context.Context, work string, wait func(ctx context.Context) error) {
	if err := wait(ctx); err != nil {
		n.config.Logger.Error("stop cuts work", "work", work, "error", err.Error(),
			"in_progress", n.entry.InProgress(), "peer_work", n.peerCallsInFlight.Load())
	}
}

// waitForPeerCalls returns when all calls from other nodes have been answered and none came for peerIdlePeriod.
func (n *Node) waitForPeerCalls(ctx context.Context) error {
	for idleSince := n.config.Clock.Now(); n.config.Clock.Since(idleSince) < peerIdlePeriod; {
		if n.peerCallsInFlight.Load() > 0 {
			idleSince = n.config.Clock.Now()
		}
		sleeper.Sleep(ctx, n.config.Clock, peerIdlePollPeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// closeWhenStopping closes connections that callers keep alive, so that their next request goes to another node.
func (n *Node) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
