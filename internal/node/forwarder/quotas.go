package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
	"github.com/magnoliastep/magnoliastep/internal/quota/reporter"
)

// unusableQuotasName is the counter of quotas of a configuration that can't be used.
const unusableQuotasName = "stepfront_quotas_unusable_total"

type (
	// quotas limits the requests of client accounts on all nodes together.
	quotas struct {
		limiter  *limiter.Limiter
		reporter *reporter.Reporter
		clock    quartz.Clock
		count    func(result string)
		// view is derived from the generation of the fleet's view at viewAt. Only the reporter's loop uses it.
		view       limiter.View
		viewAt     time.Time
		generation uint64
	}
)

// assembleQuotas assembles what limits client accounts. It does nothing as long as no account has a quota.
func (n *Node) assembleQuotas() {
	m := n.config.Metrics
	q := &quotas{clock: n.config.Clock, count: func(result string) {
		m.GetOrCreateCounter(`stepfront_quota_requests_total{result="` + result + `"}`).Inc()
	}}
	q.limiter = limiter.New(limiter.Config{
		NodeName: n.config.NodeName, Process: rand.Uint32() | 1, //nolint:gosec // tells processes apart only
		Bounds: n.settings.Load().QuotaBounds, OnChange: n.logQuotaChange,
	})
	q.reporter = reporter.New(reporter.Config{
		Limiter: q.limiter, Messenger: n.messenger, View: n.quotaView, Address: n.prober.Address, Clock: n.config.Clock,
		OnDrop: m.NewCounter("stepfront_quota_reports_dropped_total").Inc, Isolate: n.isolateFrame,
	})
	m.NewCounter(unusableQuotasName)
	m.NewGauge("stepfront_quota_accounts_limited", func() float64 { return float64(q.limiter.Limited()) })
	m.NewGauge("stepfront_quota_share_permitted", func() float64 {
		if q.limiter.Permitted() {
			return 1
		}
		return 0
	})
	n.quotas = q
}

// Take takes one request from an account's quota, or tells when it will have one.
func (q *quotas) Take(account string) (granted bool, retryIn time.Duration) {
	granted, retryIn = q.limiter.Take(account, q.clock.Now())
	if granted {
		q.count("granted")
	} else {
		q.count("refused")
	}
	return granted, retryIn
}

// Return gives back a request that no leaf has run.
func (q *quotas) Return(account string) {
	q.limiter.Return(account, q.clock.Now())
	q.count("returned")
}

// setQuotas puts the quotas of a configuration in force.
func (n *Node) setQuotas(c matcher.Config) {
	accounts := make([]limiter.Account, 0, len(c.Accounts))
	for _, a := range c.Accounts {
		accounts = append(accounts, limiter.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	for _, name := range n.quotas.limiter.SetAccounts(accounts, n.config.Clock.Now()) {
		n.config.Metrics.GetOrCreateCounter(unusableQuotasName).Inc()
		n.config.Logger.Warn("quota is not usable; the account has no limit", "account", name, "config_version", c.Version)
	}
}

// quotaView returns what this node knows of the fleet.
func (n *Node) quotaView() limiter.View {
	q, now, generation := n.quotas, n.config.Clock.Now(), n.prober.Generation()
	if generation == q.generation && now.Sub(q.viewAt) < maxFleetAge {
		return q.view
	}
	serving := n.selector.Serving()
	v := limiter.View{
		Known: !n.viewIsUnknown(now), Serving: serving[n.config.NodeName] != nil,
		Alive: len(n.prober.Members()), Lost: len(n.prober.Lost()),
	}
	for name := range serving {
		if name != n.config.NodeName {
			v.Peers = append(v.Peers, name)
		}
	}
	q.view, q.viewAt, q.generation = v, now, generation
	return v
}

// logQuotaChange logs that an account begins or ceases to be refused requests at this node, and why.
func (n *Node) logQuotaChange(c limiter.Change) {
	message := "quota is used up"
	if !c.Limited {
		message = "quota is free again"
	}
	n.config.Logger.Info(message, "account", c.Account, "level", c.Level, "share", c.Share, "demand", c.Demand,
		"others_demand", c.OthersDemand, "largest_node", c.Largest, "largest_demand", c.LargestDemand, "nodes", c.Nodes,
		"silent_nodes", c.Silent, "oldest_report", c.OldestReport, "permitted", c.Permitted, "granted", c.Granted,
		"refused", c.Refused)
}
