package forwarder

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/records/spreader"
	"github.com/magnoliastep/magnoliastep/internal/records/watcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// watchWait is how long one watch of configuration and leaves waits for a change. A watch that the store has
	// forgotten is noticed when it is over, so it is well below the time in which a change must be in force.
	watchWait = time.Second
	// evacuationWait is longer: evacuations have more time.
	evacuationWait = 2500 * time.Millisecond
	// lonelyPeriod is the time between two looks into the store for other nodes while none is known.
	lonelyPeriod = 2 * time.Second
	// registerPause is the time after which a node registers: the view is whole by then.
	registerPause = 3 * time.Second
	// readerAge is how old the confirmation of what this node knows may be, beyond the wait of a watch, before it
	// reads the store itself.
	readerAge = 600 * time.Millisecond
	// readerStep is added for each node that is to read before this one.
	readerStep = 150 * time.Millisecond
	// maxReaderRank is how many nodes read in turn. The others read only when all of these seem to be turned
	// away, after lateReaderAge and up to lateReaderSpread more: an outage must not make all nodes call.
	maxReaderRank    = 8
	lateReaderAge    = 4 * time.Second
	lateReaderSpread = 20 * time.Second
	// seedPause is how long a node that is no seed waits for the seeds to tell what they have read.
	seedPause = 150 * time.Millisecond
	// firstSeedPause is that time at the first start of all nodes.
	firstSeedPause = 2 * time.Second
	// joinPause is the time between two looks whether the first documents have come.
	joinPause = 20 * time.Millisecond
	// seedPeriod is the time between two questions to the seeds.
	seedPeriod = 300 * time.Millisecond
	// freshShare of the time in which a configuration must be in force is how old its confirmation may be.
	freshShare = 0.8
)

// readerKey ranks the nodes that read a kind from the store.
const readerKey = "store-reader/"

// nodeRecord is what a node writes of itself into the store.
type nodeRecord struct {
	PeerAddress string `json:"peer_address"`
}

func (n *Node) assembleRecords() {
	c := n.config
	n.replicator = replicator.New(replicator.Config{Clock: c.Clock, Changed: n.documentChanged})
	kinds := []string{c.Kinds.Configuration, c.Kinds.Leaves, c.Kinds.Evacuations}
	n.spreader = spreader.New(spreader.Config{
		Kinds: kinds, PeerAddress: c.PeerAddress, Messenger: n.messenger, Replica: n.replicator, Peers: n.linkedPeers,
		Forward: func() bool { return !linker.Small(len(n.prober.Members())) },
		Clock:   c.Clock, Logger: c.Logger,
		Learned: func(from string, documents int) {
			c.Logger.Info("documents learned from a node", "from", from, "documents", documents)
		},
	})
	for _, k := range kinds {
		wait := watchWait
		if k == c.Kinds.Evacuations {
			wait = evacuationWait
		}
		n.watchers = append(n.watchers, watcher.New(watcher.Config{
			Kind: k, Store: c.Store, Replica: &announcer{Replicator: n.replicator, announce: n.spreader.Announce},
			Wait: wait, Due: func() bool { return n.readsStore(k, wait) }, Clock: c.Clock, Logger: c.Logger,
		}))
	}
}

// readsStore tells whether this node is to read a kind from the store now. One node reads on behalf of all, the
// same in the view of all; the next ones do when what they know has not been confirmed for too long.
func (n *Node) readsStore(kind string, wait time.Duration) bool {
	position := n.replicator.Position(kind)
	if position.Revision == 0 {
		pause := seedPause
		if n.config.FirstStart {
			pause = firstSeedPause
		}
		return n.isSeed() || n.config.Clock.Since(n.startedAt) > pause
	}
	age := n.config.Clock.Since(position.ConfirmedAt)
	for i, m := range n.currentFleet().ranker.Leading(ranker.Key{Name: readerKey + kind}, maxReaderRank) {
		if m.GetName() == n.config.NodeName {
			return i == 0 || age > wait+readerAge+time.Duration(i)*readerStep
		}
	}
	return age > wait+lateReaderAge+n.readerSpread
}

func (n *Node) isSeed() bool {
	return len(n.bounds.Load().SeedPeers) == 0 || slices.Contains(n.bounds.Load().SeedPeers, n.config.PeerAddress)
}

// announcer tells other nodes what came from the store.
type announcer struct {
	*replicator.Replicator
	announce func()
}

func (a *announcer) ApplyChanges(
	kind string, after int64, documents []replicator.Document, revision int64, confirmedAt time.Time,
) bool {
	applied := a.Replicator.ApplyChanges(kind, after, documents, revision, confirmedAt)
	a.announce()
	return applied
}

func (a *announcer) ApplyList(kind string, documents []replicator.Document, revision int64, confirmedAt time.Time) {
	a.Replicator.ApplyList(kind, documents, revision, confirmedAt)
	a.announce()
}

// documentChanged passes on a document that is new to this node.
func (n *Node) documentChanged(d replicator.Document, confirmedBefore time.Time) {
	switch d.Kind {
	case n.config.Kinds.Configuration:
		n.configurationChanged(d)
	case n.config.Kinds.Leaves:
		n.leafChanged(d, confirmedBefore)
	case n.config.Kinds.Evacuations:
		n.evacuationChanged(d)
	}
}

func (n *Node) configurationChanged(d replicator.Document) {
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
	services := make(map[string]pooler.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = pooler.Service{MaxConnections: s.MaxConnections, WarmUpRate: s.WarmUpRate}
	}
	n.pooler.Declare(services)
	m := matcher.New(c)
	n.dropMetrics(n.matcher.Swap(m), m)
	n.config.Logger.Info("configuration in force", "config_version", c.Version, "revision", d.Revision,
		"routes", len(c.Routes), "services", len(c.Services))
}

func (n *Node) leafChanged(d replicator.Document, confirmedBefore time.Time) {
	if d.Deleted {
		n.enroller.Vanished(d.Name, confirmedBefore)
		return
	}
	entry, err := n.config.Decoder.Leaf(d)
	if err != nil {
		n.enroller.Unreadable(d.Name, err)
		return
	}
	n.enroller.Put(entry)
}

func (n *Node) evacuationChanged(d replicator.Document) {
	n.mutex.Lock()
	if d.Deleted {
		delete(n.evacuated, d.Name)
	} else {
		n.evacuated[d.Name] = true
	}
	zones := maps.Clone(n.evacuated)
	n.mutex.Unlock()
	n.pooler.Evacuate(zones)
	n.config.Logger.Info("zone evacuation changed", "zone", d.Name, "out_of_service", !d.Deleted, "revision", d.Revision)
}

// findNodes looks into the store for other nodes as long as none is known: seeds may be out of date.
func (n *Node) findNodes(ctx context.Context) {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock, lonelyPeriod) {
		if n.prober.Joined() || n.config.Clock.Since(n.startedAt) < lonelyPeriod {
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

// join gets what the node needs from the store or from other nodes, and then joins the others.
func (n *Node) join(ctx context.Context) {
	go n.findNodes(ctx)
	var asked time.Time
	for ; !n.complete(); sleeper.Sleep(ctx, n.config.Clock, joinPause) {
		if ctx.Err() != nil {
			return
		}
		if now := n.config.Clock.Now(); now.Sub(asked) > seedPeriod {
			asked = now
			n.askSeeds(ctx)
		}
	}
	n.ready.Store(true)
	n.config.Logger.Info("node is ready", "after", n.config.Clock.Since(n.startedAt))
	go n.register(ctx)
	n.prober.Run(ctx)
}

// askSeeds asks other nodes, all at once, for what they know.
func (n *Node) askSeeds(ctx context.Context) {
	for _, seed := range n.otherSeeds() {
		go func() {
			if err := n.spreader.Pull(ctx, seed); err != nil {
				n.config.Logger.Info("seed did not answer", "peer_address", seed, "error", err)
			}
		}()
	}
}

// complete tells whether the node knows the configuration and the leaves.
func (n *Node) complete() bool {
	return n.matcher.Load() != nil && n.replicator.Position(n.config.Kinds.Leaves).Revision > 0
}

// register writes this node's address into the store if it serves callers, so that nodes which start later find
// one when all seeds are gone.
func (n *Node) register(ctx context.Context) {
	data, err := json.Marshal(nodeRecord{PeerAddress: n.config.PeerAddress})
	if err != nil {
		n.config.Logger.Error("node record can't be encoded", "error", err)
		return
	}
	for sleeper.Sleep(ctx, n.config.Clock, registerPause); ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock,
		registerPause) {
		if _, serves := n.namer.Serving(n.config.NodeName); !serves {
			continue
		}
		failure := n.config.Store.Put(ctx, n.config.Kinds.Nodes, n.config.NodeName, data)
		if failure == nil {
			return
		}
		n.config.Logger.Info("node not registered yet", "error", failure)
	}
}

// fresh tells whether the configuration in force was confirmed so lately that no newer one can be due.
func (n *Node) fresh() bool {
	age := n.config.Clock.Since(n.replicator.Position(n.config.Kinds.Configuration).ConfirmedAt)
	return age < time.Duration(freshShare*float64(n.bounds.Load().ConfigurationTime))
}
