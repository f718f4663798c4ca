package forwarder

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
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
	m.GetOrCreateCounter(`stepfront_requests_total{route="` + route + `",outcome="` + outcome + `"}`).Inc()
	m.GetOrCreateHistogram(`stepfront_connection_wait_seconds`).Update(r.Queued.Seconds())
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

// dropMetrics ends the metrics of routes and services that the configuration does not have any more. They come and go
// with each change, while a process stays for months.
func (n *Node) dropMetrics(old, present *matcher.Matcher) {
	if old == nil {
		return
	}
	gone := goneLabels("route", old.RouteNames(), present.RouteNames())
	gone = append(gone, goneLabels("service", old.ServiceNames(), present.ServiceNames())...)
	for _, name := range n.config.Metrics.ListMetricNames() {
		for _, label := range gone {
			if strings.Contains(name, label) {
				n.config.Metrics.UnregisterMetric(name)
			}
		}
	}
}

func goneLabels(label string, old, present []string) []string {
	var gone []string
	for _, name := range old {
		if !slices.Contains(present, name) {
			gone = append(gone, label+`="`+name+`"`)
		}
	}
	return gone
}

// measureServices sets what is read from the present state of each service: its leaves, what this node believes of
// them and the second sends that are left.
func (n *Node) measureServices() {
	m := n.matcher.Load()
	if m == nil {
		return
	}
	now := n.config.Clock.Now()
	for _, s := range m.ServiceNames() {
		open, slowest := 0, 0.0
		leaves := n.pooler.UsableLeaves(s)
		for _, l := range leaves {
			open += l.Scorer().Open()
			slowest = max(slowest, l.Scorer().Own(now, time.Second).Seconds())
		}
		label := `{service="` + s + `"}`
		for name, value := range map[string]float64{
			"stepfront_leaves": float64(len(leaves)), "stepfront_leaf_calls_open": float64(open),
			"stepfront_leaf_slowest_factor": slowest, "stepfront_second_sends_left": n.gatherer.Budget(s).Tokens(),
		} {
			n.config.Metrics.GetOrCreateGauge(name+label, nil).Set(value)
		}
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.measureServices()
	n.config.Metrics.WritePrometheus(w)
}
