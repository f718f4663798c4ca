package forwarder

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/activator"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/sanitizer"
	"github.com/magnoliastep/magnoliastep/internal/records/bootstrapper"
	"github.com/magnoliastep/magnoliastep/internal/records/elector"
	"github.com/magnoliastep/magnoliastep/internal/records/gossiper"
	"github.com/magnoliastep/magnoliastep/internal/records/monitor"
	"github.com/magnoliastep/magnoliastep/internal/records/patcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

const (
	// watchWait is how long one watch of configuration and leaves waits for a change. A watch that the store has lost
	// is noticed only when this time is over, so it is well below the time within which a change must be in force.
	watchWait = time.Second
	// evacuationWait is how long one watch of evacuations waits. It is longer because evacuations may take more time.
	evacuationWait = 2500 * time.Millisecond
	// rolloutWait is how long one watch of roll-outs waits. They last a minute or more.
	rolloutWait = 5 * time.Second
	// evacuationTime and rolloutTime are the times within which evacuations and roll-outs must be in force.
	evacuationTime = 5 * time.Second
	rolloutTime    = 10 * time.Second
	// overdueMargin is how much longer than the wait of a watch a confirmation may take.
	overdueMargin = 300 * time.Millisecond
	// discoveryPeriod is the time between two searches in the store for other nodes while none is known.
	discoveryPeriod = 2 * time.Second
	// joinPollPeriod is the time between two checks whether the initial documents have arrived.
	joinPollPeriod = 20 * time.Millisecond
	// maxConfigurationAgeShare is how old the last confirmation of the configuration may be, as a share of the time
	// within which a new one must be in force.
	maxConfigurationAgeShare = 0.8
)

// nodeRecord is the document with which a node registers itself in the store.
type nodeRecord struct {
	PeerAddress string `json:"peer_address"`
}

func (n *Node) assembleRecords() {
	c := n.config
	n.patcher = patcher.New()
	n.activator = activator.New(activator.Config{Activate: n.tryConfiguration, Clock: c.Clock})
	n.replicator = replicator.New(replicator.Config{
		Clock: c.Clock, OnChange: n.documentChanged, OnRenumber: n.patcher.Record,
	})
	kinds := []string{c.Kinds.Configuration, c.Kinds.Leaves, c.Kinds.Evacuations}
	if c.Kinds.Rollouts != "" {
		kinds = append(kinds, c.Kinds.Rollouts)
	}
	n.gossiper = gossiper.New(gossiper.Config{
		Kinds: kinds, PeerAddress: c.PeerAddress, Messenger: n.messenger, Replica: n.replicator,
		Patcher: n.patcher, Monitor: n.monitor, Overdue: n.isOverdue, Peers: n.linkedPeers,
		ForwardChanges: func() bool { return !linker.FullMesh(len(n.prober.Members())) },
		Clock:          c.Clock, Logger: c.Logger,
		OnDocuments: n.observeTransfer, Isolate: n.isolateFrame,
	})
	n.bootstrapper = bootstrapper.New(bootstrapper.Config{
		Seeds: func() []string { return shuffle(n.otherSeeds()) }, IsSeed: n.isSeed, FirstStart: c.FirstStart,
		Puller: n.gossiper, Complete: n.hasInitialDocuments, Clock: c.Clock, Logger: c.Logger,
	})
	for _, k := range kinds {
		n.watchers = append(n.watchers, watcher.New(watcher.Config{
			Kind: k, Store: c.Store, Replica: &announcingReplica{Replicator: n.replicator, announce: n.gossiper.Announce},
			Wait: n.watchWait(k), ShouldRead: func() bool { return n.shouldReadStore(k) },
			Monitor: announcingMonitor{Monitor: n.monitor, announce: n.gossiper.Announce},
			Clock:   c.Clock, Logger: c.Logger,
		}))
	}
}

// shouldReadStore reports whether this node should read a kind from the store now.
func (n *Node) shouldReadStore(kind string) bool {
	position := n.replicator.Position(kind)
	if position.Revision == 0 {
		return n.bootstrapper.ShouldReadStore()
	}
	return n.elector.ShouldRead(elector.Situation{
		Kind: kind, Ranker: n.currentFleet().ranker, ConfirmedAgo: n.config.Clock.Since(position.ConfirmedAt),
		AskedAgo: n.config.Clock.Since(n.monitor.OthersAskedAt(kind)), BehindFor: n.behindFor(kind),
		Wait: n.watchWait(kind), ChangeTime: n.changeTime(kind),
	})
}

// watchWait returns how long one watch of a kind waits for a change.
func (n *Node) watchWait(kind string) time.Duration {
	switch kind {
	case n.config.Kinds.Evacuations:
		return evacuationWait
	case n.config.Kinds.Rollouts:
		return rolloutWait
	default:
		return watchWait
	}
}

// changeTime returns the time within which a change of a kind must be in force.
func (n *Node) changeTime(kind string) time.Duration {
	s := n.settings.Load()
	switch {
	case kind == n.config.Kinds.Evacuations:
		return evacuationTime
	case kind == n.config.Kinds.Rollouts:
		return rolloutTime
	case kind == n.config.Kinds.Leaves && s.DrainTime > 0:
		return s.DrainTime
	default:
		return s.ConfigurationTime
	}
}

// isOverdue reports whether the documents of a kind should have been confirmed before now.
func (n *Node) isOverdue(kind string) bool {
	return n.config.Clock.Since(n.replicator.Position(kind).ConfirmedAt) > n.watchWait(kind)+overdueMargin
}

// behindFor returns how long this node has known of documents of a kind that it has not got; 0 if it knows of none.
func (n *Node) behindFor(kind string) time.Duration {
	since, behind := n.gossiper.BehindSince(kind)
	if !behind {
		return 0
	}
	return n.config.Clock.Since(since)
}

func (n *Node) isSeed() bool {
	return len(n.settings.Load().SeedPeers) == 0 || slices.Contains(n.settings.Load().SeedPeers, n.config.PeerAddress)
}

// announcingReplica is a replica that notifies other nodes of each list and change read from the store.
type announcingReplica struct {
	*replicator.Replicator
	announce func()
}

func (a *announcingReplica) ApplyChanges(
	kind string, after replicator.Point, documents []replicator.Document, at replicator.Point, confirmedAt time.Time,
) bool {
	applied := a.Replicator.ApplyChanges(kind, after, documents, at, confirmedAt)
	a.announce()
	return applied
}

func (a *announcingReplica) ApplyList(
	kind string, documents []replicator.Document, at replicator.Point, confirmedAt time.Time,
) {
	a.Replicator.ApplyList(kind, documents, at, confirmedAt)
	a.announce()
}

// announcingMonitor is a monitor that notifies other nodes when this node begins to read the store, so that those with
// a later turn leave it to this one.
type announcingMonitor struct {
	*monitor.Monitor
	announce func()
}

func (a announcingMonitor) SetReading(kind string, reading bool) {
	a.Monitor.SetReading(kind, reading)
	if reading {
		a.announce()
	}
}

// documentChanged applies a document that is new to this node. A panic leaves out this document only.
func (n *Node) documentChanged(d replicator.Document, confirmedBefore time.Time) {
	_ = n.isolator.Run(workDocument, func() { n.applyDocument(d, confirmedBefore) }, "kind", d.Kind, "document", d.Name,
		"revision", d.Revision)
}

func (n *Node) applyDocument(d replicator.Document, confirmedBefore time.Time) {
	n.patcher.Record(d)
	switch d.Kind {
	case n.config.Kinds.Configuration:
		n.activator.Add(d, confirmedBefore)
	case n.config.Kinds.Leaves:
		n.leafChanged(d, confirmedBefore)
	case n.config.Kinds.Evacuations:
		n.evacuationChanged(d)
	case n.config.Kinds.Rollouts:
		n.rolloutChanged(d)
	}
}

// tryConfiguration activates a configuration. If that panics, the last one stays in force.
func (n *Node) tryConfiguration(d replicator.Document, confirmedBefore time.Time) {
	_ = n.isolator.Run(workDocument, func() { n.activateConfiguration(d, confirmedBefore) }, "kind", d.Kind,
		"document", d.Name, "revision", d.Revision)
}

// activateConfiguration puts a version of the configuration in force unless it is older than the one in force.
func (n *Node) activateConfiguration(d replicator.Document, confirmedBefore time.Time) {
	if d.Deleted {
		n.config.Logger.Warn("configuration was deleted in the store; the last one stays in force", "document", d.Name)
		return
	}
	c, ok, err := n.config.Decoder.Configuration(d)
	if !ok {
		return
	}
	if err != nil {
		n.config.Logger.Error("configuration is not usable; the last one stays in force", "revision", d.Revision,
			"error", err)
		return
	}
	if old := n.matcher.Load(); old != nil && old.Version() >= c.Version {
		return
	}
	for _, problem := range sanitizer.Sanitize(&c) {
		n.config.Logger.Warn("configuration has an unusable value", "problem", problem.Text, "config_version", c.Version)
		n.config.Metrics.GetOrCreateCounter(unusableValuesName).Inc()
	}
	services := make(map[string]balancer.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = balancer.Service{MaxConnections: s.MaxConnections, WarmUpRate: s.WarmUpRate}
	}
	n.balancer.SetServices(services)
	n.setQuotas(c)
	c.KeySecret = n.keySecret
	m := matcher.New(c)
	n.pruneMetrics(n.matcher.Swap(m), m)
	n.gatherer.Recheck()
	n.pruneAccounts(m)
	n.config.Logger.Info("configuration in force", "config_version", c.Version, "revision", d.Revision,
		"routes", len(c.Routes), "services", len(c.Services), "accounts", len(c.Accounts), "bytes", len(d.Data),
		"previous_confirmed_ago", n.config.Clock.Since(confirmedBefore))
}

func (n *Node) leafChanged(d replicator.Document, confirmedBefore time.Time) {
	switch {
	case d.Deleted && d.Restored:
		n.enroller.AwaitReturn(d.Name)
		return
	case d.Deleted:
		n.enroller.ScheduleRemoval(d.Name, confirmedBefore)
		return
	}
	entry, err := n.config.Decoder.Leaf(d)
	switch {
	case err != nil:
		n.enroller.RemoveUnusable(d.Name, err)
	case d.Restored:
		n.enroller.PutRestored(entry)
	default:
		n.enroller.Put(entry)
	}
}

// discoverNodes searches the store for other nodes as long as none is known, because the seeds may be out of date.
func (n *Node) discoverNodes(ctx context.Context) {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock, discoveryPeriod) {
		if n.prober.Joined() || n.config.Clock.Since(n.startedAt) < discoveryPeriod {
			continue
		}
		documents, _, err := n.config.Store.List(ctx, n.config.Kinds.Nodes)
		if err != nil {
			n.config.Logger.Info("no other node is known and the store does not answer", "error", err)
			continue
		}
		for _, d := range documents {
			n.addCandidate(d)
		}
	}
}

func (n *Node) addCandidate(d replicator.Document) {
	var r nodeRecord
	if err := json.Unmarshal(d.Data, &r); err != nil || r.PeerAddress == "" {
		n.config.Logger.Warn("node record is not usable", "node", d.Name, "error", err)
		return
	}
	if r.PeerAddress != n.config.PeerAddress {
		n.prober.AddCandidates([]string{r.PeerAddress})
	}
}

// join waits for the initial documents from the store or from other nodes, then joins the view of the other nodes.
func (n *Node) join(ctx context.Context) {
	n.startLoop(ctx, n.discoverNodes)
	n.startLoop(ctx, n.bootstrapper.Run)
	for ; !n.hasInitialDocuments(); sleeper.Sleep(ctx, n.config.Clock, joinPollPeriod) {
		if ctx.Err() != nil {
			return
		}
	}
	n.awaitRollouts(ctx)
	n.ready.Store(true)
	n.config.Logger.Info("node is ready", "after", n.config.Clock.Since(n.startedAt))
	n.startLoop(ctx, n.register)
	n.prober.Run(ctx)
}

// hasInitialDocuments reports whether the node has the configuration and the leaves.
func (n *Node) hasInitialDocuments() bool {
	return n.matcher.Load() != nil && n.replicator.Position(n.config.Kinds.Leaves).Revision > 0
}

// configurationCurrent reports whether the configuration in force was confirmed so recently that no newer one can be
// due yet, and no newer one is known.
func (n *Node) configurationCurrent() bool {
	kind := n.config.Kinds.Configuration
	age := n.config.Clock.Since(n.replicator.Position(kind).ConfirmedAt)
	return age < n.maxConfigurationAge() && n.configurationSurpassedFor() == 0
}

// configurationOutdated reports whether a newer configuration than the one in force has been known for so long that it
// is due.
func (n *Node) configurationOutdated() bool {
	return n.configurationSurpassedFor() > n.maxConfigurationAge()
}

// configurationSurpassedFor returns how long a newer configuration than the one in force has been known, whether or not
// this node has got it; 0 if none is known.
func (n *Node) configurationSurpassedFor() time.Duration {
	waited := time.Duration(0)
	if since, pending := n.activator.PendingSince(); pending {
		waited = max(n.config.Clock.Since(since), 1)
	}
	return max(waited, n.behindFor(n.config.Kinds.Configuration))
}

func (n *Node) maxConfigurationAge() time.Duration {
	return time.Duration(maxConfigurationAgeShare * float64(n.settings.Load().ConfigurationTime))
}
