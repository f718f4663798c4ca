// Package limiter holds one node's quotas of all client accounts and what it knows of the other nodes' grants. It reads
// no clock and sends nothing: the times are arguments, and the reports are returned to be sent.
//
// It answers a load in which callers of many accounts, a few of them large, send to any of the nodes while nodes are
// killed, restarted, cut off from others or cut off in one direction. Reports carry totals, so that a lost one does no
// harm. Accounts far below their quota are reported seldom, those near it as soon as it matters.
//
// A node takes its share of what is left of a quota only while it is permitted to: while it has exchanged reports with
// most of the nodes that serve within contactPeriod. What a silent node may have taken until its permission ended stays
// reserved. Afterwards its share goes to the others, if these are most of the fleet.
package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/granter"
)

const (
	// DefaultWindow applies if the settings have no usable window.
	DefaultWindow = 5 * time.Second
	// ReportPeriod is the shortest time between two reports to the same node.
	ReportPeriod = 100 * time.Millisecond
	// heartbeatPeriod is the time between reports that are not urgent.
	heartbeatPeriod = time.Second
	// silentAfter is the age of the last report from which a node is silent.
	silentAfter = 1600 * time.Millisecond
	// contactPeriod is how long after the last report that another node has confirmed a node is in contact with it.
	contactPeriod = 3 * time.Second
	// releaseMargin is how long after the end of a silent node's permission its share stays reserved.
	releaseMargin = 500 * time.Millisecond
	// calmPeriod is the time without a refusal after which an account is no longer limited.
	calmPeriod = 5 * time.Second
	// maxEntries bounds the accounts in one report.
	maxEntries = 40
	// refreshEntries is the number of accounts that each report that is not urgent repeats.
	refreshEntries = 8
	// assumedNodes is the least number of nodes that may grant while the view of the others is not known.
	assumedNodes = 6
	// sentReports is the number of latest reports whose times are kept.
	sentReports = 64
	// maxRate bounds rates and bursts; a larger one sets no limit.
	maxRate = 1e9
	// demandUnits is the number of units of reported demand in one request per second.
	demandUnits = 1000
)

type (
	// Account is the quota of a client account.
	Account struct {
		Name string
		// Rate is in requests per second; 0 sets no limit. Burst is the number of requests on top.
		Rate, Burst float64
	}

	// Bounds say how exactly quotas must hold. In any Window an account may exceed its quota by the share Over and by
	// Slack requests.
	Bounds struct {
		Window      time.Duration
		Over, Slack float64
	}

	// View is what the node knows of the fleet.
	View struct {
		// Known is false while other nodes may run that this node has never heard of.
		Known bool
		// Serving is set if this node serves callers, so that other nodes expect its reports.
		Serving bool
		// Peers has the names of the other nodes that serve callers.
		Peers []string
		// Alive and Lost are the numbers of nodes of the fleet that are alive, this one included, and that have failed or
		// can't be reached.
		Alive, Lost int
	}

	// Change describes an account that begins or ceases to be refused requests at this node.
	Change struct {
		Account string
		// Limited is set if requests are refused from now on.
		Limited bool
		// Level is the estimate of what all nodes may still grant, Share this node's share of it, and Demand and
		// OthersDemand are the requests per second that callers ask of this node and of the others.
		Level, Share, Demand, OthersDemand float64
		// Largest is the other node with the largest demand and LargestDemand its demand; "" if none has any.
		Largest       string
		LargestDemand float64
		// Nodes is the number of nodes that may grant, Silent how many of them are silent, and OldestReport the age of the
		// oldest latest report of one of them.
		Nodes, Silent int
		OldestReport  time.Duration
		// Permitted is set if the node may take its share of the level.
		Permitted bool
		// Granted and Refused count this node's decisions since the last change.
		Granted, Refused int64
	}

	// Report is a message for another node.
	Report struct {
		To      string
		Message *pb.QuotaReport
	}

	// Config holds what a Limiter needs.
	Config struct {
		NodeName string
		// Process identifies this process among those of the same node. It must not be 0.
		Process uint32
		Bounds  Bounds
		// OnChange is called when an account begins or ceases to be limited, with a lock held; nil means no call.
		OnChange func(c Change)
	}

	// Limiter holds the quotas of all accounts. It is safe for concurrent use.
	Limiter struct {
		config Config
		mutex  sync.Mutex
		bounds Bounds
		view   View
		// accounts has the accounts with a quota by name, and byHash the same ones by the hash of the name.
		accounts map[string]*account
		byHash   map[uint64]*account
		// active has the accounts of which the other nodes may not know all; rotation is the next one to be reported.
		active   []*account
		rotation int
		peers    map[string]*peer
		// sequence is the number of the last report, and sentAt has the times of the latest ones.
		sequence      uint64
		sentAt        [sentReports]time.Time
		lastReport    time.Time
		lastHeartbeat time.Time
		contact       contact
	}
)

// New returns a Limiter without accounts.
func New(c Config) *Limiter {
	return &Limiter{
		config: c, bounds: usableBounds(c.Bounds), accounts: map[string]*account{}, byHash: map[uint64]*account{},
		peers: map[string]*peer{}, contact: contact{nodes: assumedNodes},
	}
}

// SetBounds puts changed bounds in force.
func (l *Limiter) SetBounds(b Bounds, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b = usableBounds(b)
	if b == l.bounds {
		return
	}
	l.bounds = b
	for _, a := range l.accounts {
		a.granter.Reconfigure(l.granterConfig(a.quota), l.situation(a, now))
		l.updateExtra(a)
	}
}

// SetAccounts puts the quotas of a configuration in force, and returns the names of accounts whose quota is not usable.
// These have no limit. The state of accounts that remain is kept.
func (l *Limiter) SetAccounts(accounts []Account, now time.Time) (unusable []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[string]*account, len(accounts))
	for _, q := range accounts {
		if !usable(q) {
			unusable = append(unusable, q.Name)
			continue
		}
		if q.Rate == 0 || kept[q.Name] != nil {
			continue
		}
		a := l.accounts[q.Name]
		switch {
		case a == nil:
			a = &account{hash: xxhash.Sum64String(q.Name), granter: granter.New(l.granterConfig(q), now)}
			a.quota = q
			l.updateExtra(a)
		case a.quota != q:
			a.granter.Reconfigure(l.granterConfig(q), l.situation(a, now))
			a.quota = q
			l.updateExtra(a)
		}
		kept[q.Name] = a
	}
	l.accounts = kept
	l.byHash = make(map[uint64]*account, len(kept))
	for _, a := range kept {
		l.byHash[a.hash] = a
	}
	l.active = slices.DeleteFunc(l.active, func(a *account) bool { return kept[a.quota.Name] != a })
	return unusable
}

// Take grants or refuses a request of an account. For a refused one it returns when one can be granted. Accounts
// without a quota are always granted.
func (l *Limiter) Take(name string, now time.Time) (granted bool, retryIn time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[name]
	if a == nil {
		return true, 0
	}
	if !l.participates() {
		a.granter.Empty(l.situation(a, now))
	}
	l.activate(a)
	s := l.situation(a, now)
	s.LargeShare = l.largeShare(a, s)
	granted, retryIn = a.granter.Take(s)
	if granted {
		a.grants++
		return true, 0
	}
	if !a.limited {
		a.limited = true
		l.reportChange(a, s)
	}
	a.refusals++
	a.refusedAt = now
	return false, retryIn
}

// Return gives back the grant of a request that no leaf has run.
func (l *Limiter) Return(name string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.accounts[name]; a != nil {
		a.granter.Return(l.situation(a, now))
		l.activate(a)
	}
}

// SetView updates what the node knows of the fleet.
func (l *Limiter) SetView(v View, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	began := v.Serving && !l.participates()
	l.view = v
	if began {
		for _, a := range l.accounts {
			a.granter.Empty(l.situation(a, now))
		}
	}
	for _, name := range v.Peers {
		if l.peers[name] == nil && name != l.config.NodeName {
			l.addPeer(name, now)
		}
	}
	l.updatePeers(now)
}

// Active tells whether any account has a quota.
func (l *Limiter) Active() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.accounts) > 0
}

// Permitted tells whether this node may take its share of the quotas.
func (l *Limiter) Permitted() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.contact.permitted
}

// Limited returns the number of accounts that are refused requests at this node.
func (l *Limiter) Limited() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limited := 0
	for _, a := range l.accounts {
		if a.limited {
			limited++
		}
	}
	return limited
}

func (l *Limiter) granterConfig(q Account) granter.Config {
	return granter.Config{
		Rate: q.Rate, Burst: q.Burst, Window: l.bounds.Window, Over: l.bounds.Over, Slack: l.bounds.Slack,
	}
}

// situation returns what this node knows of the others' demand for an account.
func (l *Limiter) situation(a *account, now time.Time) granter.Situation {
	s := granter.Situation{
		Now: now, Nodes: l.contact.nodes, Silent: l.contact.silent, Permitted: l.contact.permittedAt(now),
		Extra: a.extra, ExtraNodes: l.extraNodes(a), Rank: a.rank,
		OthersDemand: a.othersDemand, SilentDemand: a.silentDemand, Confirmed: l.contact.confirmed,
	}
	return s
}

// largeShare returns what Situation has as LargeShare. It matters only to nodes without Extra.
func (l *Limiter) largeShare(a *account, s granter.Situation) float64 {
	sum := 0.0
	if a.extra > 0 {
		return sum
	}
	for _, p := range l.peers {
		sum += a.granter.LargeShareOf(s, float64(a.entry(p.slot).demand))
	}
	return min(1, sum)
}

// extraNodes returns how many nodes may grant requests of an account beyond their share.
func (l *Limiter) extraNodes(a *account) int {
	return int(min(a.extraOfAll, float64(l.contact.nodes)))
}

// updateExtra updates how many requests this node may grant an account beyond its share within a window. If the
// tolerance does not suffice for one at each node, some nodes have one at any time and others while the level is high.
func (l *Limiter) updateExtra(a *account) {
	a.extraOfAll, a.rank = l.granterConfig(a.quota).ExtraOfAll(), 0
	a.extra = int(min(a.extraOfAll/float64(l.contact.nodes), math.MaxInt32))
	if a.extra > 0 {
		return
	}
	own := rankOf(a.hash, l.config.NodeName)
	for name := range l.peers {
		if rankOf(a.hash, name) < own {
			a.rank++
		}
	}
	if a.rank < int(a.extraOfAll) {
		a.extra = 1
	}
}

func (l *Limiter) reportChange(a *account, s granter.Situation) {
	if l.config.OnChange == nil {
		return
	}
	c := Change{
		Account: a.quota.Name, Limited: a.limited, Level: a.granter.Level(), Share: a.granter.Share(s),
		Demand: a.granter.Demand(s.Now), OthersDemand: a.othersDemand, Nodes: s.Nodes, Silent: s.Silent,
		Permitted: s.Permitted, Granted: a.grants, Refused: a.refusals,
	}
	for _, p := range l.peers {
		c.OldestReport = max(c.OldestReport, s.Now.Sub(p.heardAt))
		demand := float64(a.entry(p.slot).demand)
		if demand > c.LargestDemand || demand == c.LargestDemand && demand > 0 && p.name < c.Largest {
			c.Largest, c.LargestDemand = p.name, demand
		}
	}
	a.grants, a.refusals = 0, 0
	l.config.OnChange(c)
}

// rankOf returns the rank of a node for an account, which is the same on all nodes.
func rankOf(hash uint64, node string) uint64 {
	return xxhash.Sum64String(node) ^ hash*0x9E3779B97F4A7C15
}

func usable(a Account) bool {
	return a.Rate >= 0 && a.Rate <= maxRate && a.Burst >= 0 && a.Burst <= maxRate
}

// usableBounds replaces values that are missing or not usable by the strictest ones.
func usableBounds(b Bounds) Bounds {
	if b.Window <= 0 {
		b.Window = DefaultWindow
	}
	if !(b.Over >= 0 && b.Over <= 1) {
		b.Over = 0
	}
	if !(b.Slack >= 0 && b.Slack <= maxRate) {
		b.Slack = 0
	}
	return b
}
