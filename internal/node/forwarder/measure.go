package forwarder

import (
	"net/http"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// registerGauges registers what is read when metrics are asked for.
func (n *Node) registerGauges() {
	for name, read := range map[string]func() float64{
		"stepfront_config_version": func() float64 {
			if m := n.matcher.Load(); m != nil {
				return float64(m.Version())
			}
			return 0
		},
		"stepfront_config_age_seconds": func() float64 {
			position := n.replicator.Position(n.config.Kinds.Configuration)
			return n.config.Clock.Since(position.ConfirmedAt).Seconds()
		},
		"stepfront_serving_nodes": func() float64 { return float64(n.servingNodes()) },
		"stepfront_in_progress":   func() float64 { return float64(n.server.InProgress()) },
	} {
		n.config.Metrics.NewGauge(name, read)
	}
}

// observe counts how a request ended.
func (n *Node) observe(route, outcome string, took time.Duration, r gatherer.Result) {
	m := n.config.Metrics
	m.GetOrCreateCounter(`stepfront_requests_total{outcome="` + outcome + `"}`).Inc()
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="hedge"}`).Add(r.Hedges)
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="retry"}`).Add(r.Retries)
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="blocked"}`).Add(r.Blocked)
	if route != "" {
		m.GetOrCreateHistogram(`stepfront_request_seconds{route="` + route + `"}`).Update(took.Seconds())
	}
}

// observeFrame counts what this node writes to others.
func (n *Node) observeFrame(kind string, bytes int) {
	n.config.Metrics.GetOrCreateCounter(`stepfront_peer_frames_total{kind="` + kind + `"}`).Inc()
	n.config.Metrics.GetOrCreateCounter(`stepfront_peer_bytes_total{kind="` + kind + `"}`).Add(bytes)
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.config.Metrics.WritePrometheus(w)
}
