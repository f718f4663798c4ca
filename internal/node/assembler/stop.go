package assembler

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
)

const (
	// spreadPeriods of probing let every other node hear that this one leaves.
	spreadPeriods = 10
	quietPoll     = 50 * time.Millisecond
	// quietPeriod without work from peers ends the wait for it.
	quietPeriod = 500 * time.Millisecond
	// cutGrace is left to the end of the stop, within its deadline.
	cutGrace = 500 * time.Millisecond
)

type (
	// handover is the part of the leaf side that gives leaves to their next owners and waits for its calls.
	handover interface {
		HandOver(ctx context.Context) error
	}
)

// stop ends the node gracefully: it leaves the view and the list of entries, serves on until no caller
// can hold an answer that names it, hands its leaves over, finishes what is in flight, and goes. The
// deadline of the settings bounds all of it; what is cut then is logged as such.
func (n *Node) stop(callers, operators *http.Server) {
	t := n.config.Settings.GetTimings()
	deadline := t.GetStopDeadline().AsDuration()
	kept := t.GetEntriesKeepFor().AsDuration() + spreadPeriods*t.GetProbePeriod().AsDuration()
	n.config.Logger.Info("stop begins", "deadline", deadline, "kept_answers", kept)
	startedAt := n.config.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline-min(cutGrace, deadline/2))
	defer cancel()
	n.stopping.Store(true)
	n.prober.Leave()
	n.prober.Announce(ctx)
	sleeper.Sleep(ctx, n.config.Clock, kept)
	n.finish(ctx, "callers", callers.Shutdown)
	if h, ok := any(n.dispatcher).(handover); ok {
		n.finish(ctx, "leaf calls", h.HandOver)
	}
	n.finish(ctx, "peer work", n.waitForPeers)
	n.finish(ctx, "operators", operators.Shutdown)
	n.config.Logger.Info("stop complete", "in_progress", n.entry.InProgress(), "peer_work", n.peerWork.Load(),
		"took", n.config.Clock.Since(startedAt))
}

// finish waits for one kind of work; work that outlasts the deadline is cut and said so.
func (n *Node) finish(ctx context.Context, work string, wait func(ctx context.Context) error) {
	if err := wait(ctx); err != nil {
		n.config.Logger.Error("stop cuts work", "work", work, "error", err.Error(),
			"in_progress", n.entry.InProgress(), "peer_work", n.peerWork.Load())
	}
}

// waitForPeers returns when other nodes have sent nothing for a while and all of theirs is answered.
func (n *Node) waitForPeers(ctx context.Context) error {
	for quietSince := n.config.Clock.Now(); n.config.Clock.Since(quietSince) < quietPeriod; {
		if n.peerWork.Load() > 0 {
			quietSince = n.config.Clock.Now()
		}
		sleeper.Sleep(ctx, n.config.Clock, quietPoll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// closeWhenStopping asks callers that keep a connection to go elsewhere with their next request.
func (n *Node) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
