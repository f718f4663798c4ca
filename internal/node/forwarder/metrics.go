package forwarder

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/pruner"
	"github.com/magnoliastep/magnoliastep/internal/records/gossiper"
)

// registerGauges registers the gauges whose values are computed when metrics are read.
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
		"stepfront_store_era":     func() float64 { return float64(n.storeEra()) },
		"stepfront_serving_nodes": func() float64 { return float64(n.servingNodes()) },
		"stepfront_in_progress":   func() float64 { return float64(n.server.InProgress()) },
		"stepfront_leaves_left_alone": func() float64 {
			return float64(n.balancer.LeftAlone(time.Now()))
		},
	} {
		n.config.Metrics.NewGauge(name, read)
	}
}

// observeRequest records the outcome of a request, its duration, and its hedges and retries.
func (n *Node) observeRequest(route, outcome string, took time.Duration, r gatherer.Result) {
	m := n.config.Metrics
	label := "route=" + strconv.Quote(route)
	m.GetOrCreateCounter(`stepfront_requests_total{` + label + `,outcome="` + outcome + `"}`).Inc()
	m.GetOrCreateHistogram(`stepfront_connection_wait_seconds`).Update(r.ConnectionWait.Seconds())
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="hedge"}`).Add(r.Hedges)
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="retry"}`).Add(r.Retries)
	m.GetOrCreateCounter(`stepfront_second_sends_total{kind="blocked"}`).Add(r.BudgetBlocked)
	if route != "" {
		m.GetOrCreateHistogram(`stepfront_request_seconds{` + label + `}`).Update(took.Seconds())
	}
}

// observeFrame counts a frame that this node sends to another.
func (n *Node) observeFrame(kind string, to net.Addr, bytes int) {
	n.config.Metrics.GetOrCreateCounter(`stepfront_peer_frames_total{kind="` + kind + `"}`).Inc()
	n.config.Metrics.GetOrCreateCounter(`stepfront_peer_bytes_total{kind="` + kind + `"}`).Add(bytes)
	if n.isInOtherZone(to) {
		n.countZoneBytes(kind, bytes)
	}
}

// observeTransfer logs and counts documents that came from another node.
func (n *Node) observeTransfer(t gossiper.Transfer) {
	n.config.Logger.Info("documents learned from a node", "from", t.From, "documents", t.Documents, "bytes", t.Bytes,
		"took", t.Took, "superseded", t.Superseded)
	m := n.config.Metrics
	m.GetOrCreateHistogram(`stepfront_document_pull_seconds`).Update(t.Took.Seconds())
	m.GetOrCreateCounter(`stepfront_document_pulled_bytes_total`).Add(t.Bytes)
	superseded := m.GetOrCreateCounter(`stepfront_document_pulls_superseded_total`)
	if t.Superseded {
		superseded.Inc()
	}
}

// pruneMetrics unregisters the metrics of routes and services that the new configuration does not have any more.
func (n *Node) pruneMetrics(old, current *matcher.Matcher) {
	if old == nil {
		return
	}
	p := pruner.New(pruner.Config{Metrics: n.config.Metrics})
	p.Prune("route", old.RouteNames(), current.RouteNames())
	p.Prune("service", old.ServiceNames(), current.ServiceNames())
}

// updateServiceGauges sets the gauges of each service: its usable leaves, the calls open to them, the factor of the
// slowest leaf and the hedges and retries that the budget still allows.
func (n *Node) updateServiceGauges() {
	m := n.matcher.Load()
	if m == nil {
		return
	}
	now := time.Now()
	for _, s := range m.ServiceNames() {
		open, slowest := 0, 0.0
		leaves := n.balancer.UsableLeaves(s)
		for _, l := range leaves {
			open += l.Scorer().OpenCalls()
			slowest = max(slowest, l.Scorer().ServiceTime(now, time.Second).Seconds())
		}
		label := "{service=" + strconv.Quote(s) + "}"
		for name, value := range map[string]float64{
			"stepfront_leaves": float64(len(leaves)), "stepfront_leaf_calls_open": float64(open),
			"stepfront_leaf_slowest_factor": slowest, "stepfront_second_sends_left": n.gatherer.Budget(s).Tokens(),
		} {
			n.config.Metrics.GetOrCreateGauge(name+label, nil).Set(value)
		}
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.updateServiceGauges()
	n.config.Metrics.WritePrometheus(w)
}
