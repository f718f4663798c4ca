package forwarder

import (
	"context"
	"strings"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/tracer"
)

const (
	// maxLoggedRequests bounds the requests in progress that one line of the log names.
	maxLoggedRequests = 20
	// unansweredMetric counts connections that ended with an unanswered request.
	unansweredMetric = "stepfront_connections_unanswered_total"
)

// RequestsInProgress names the oldest requests in progress for the log: ID, route, what they wait for, and age.
func (n *Node) RequestsInProgress() string {
	var names []string
	for _, r := range n.server.RequestsInProgress(maxLoggedRequests) {
		names = append(names, r.String())
	}
	return strings.Join(names, ",")
}

// InProgress returns the number of requests in progress.
func (n *Node) InProgress() int64 {
	return n.server.InProgress()
}

// logRequestsEnding logs the requests that are still in progress when a planned stop ends all requests, after a time.
func (n *Node) logRequestsEnding(ctx context.Context, after time.Duration) {
	sleeper.Sleep(ctx, n.config.Clock, after)
	if ctx.Err() != nil || n.server.InProgress() == 0 {
		return
	}
	n.config.Logger.Info("stop ends requests", "in_progress", n.server.InProgress(), "requests", n.RequestsInProgress())
}

// registerUnanswered registers the counters of unanswered requests.
func (n *Node) registerUnanswered() {
	for _, c := range tracer.Causes() {
		n.config.Metrics.NewCounter(unansweredName(c))
	}
}

func (n *Node) observeUnanswered(c tracer.Cause) {
	n.config.Metrics.GetOrCreateCounter(unansweredName(c)).Inc()
}

func unansweredName(c tracer.Cause) string {
	return unansweredMetric + `{cause="` + string(c) + `"}`
}
