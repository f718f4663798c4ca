// Package balancer balances calls over the leaves of each service: it holds the leaves of all services and picks the
// leaf at which the answer loses least for each call. Leaves that are draining, in an evacuated zone, or suspended
// because another process answered at their address are not picked. A leaf is draining if its entry or one of its
// answers says so; what it has said in an answer holds until its process has been started again, which its entry shows
// by another incarnation or address.
//
// It is built for services of a few leaves, of which one at a time pauses, slows down, fails or vanishes while the
// others have spare capacity. Each node picks by its own observations, so that a call needs no request to another
// process first.
package balancer

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/apportioner"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// usableConnectionShare is the share of a leaf's connections that all nodes use together. The rest is in
	// reserve because joining nodes are counted a little late.
	usableConnectionShare = 0.85
	// coldFactor multiplies the expected latency of a leaf that is still cold after its start.
	coldFactor = 1.6
	// latencyJitter is the largest random share added to an expected latency, so that nodes don't all pick the
	// same leaf.
	latencyJitter = 0.08
	// lastResortPenalty is added to the expected latency of a leaf whose last answer was too long. It is more than the
	// expected latency of any other.
	lastResortPenalty = time.Minute
	// maxDeparted bounds the number of leaves that are remembered as having left.
	maxDeparted = 4096
	// defaultMaxConnections is the limit per leaf of a service that declares none.
	defaultMaxConnections = 64
)

type (
	// Entry describes a leaf as the leaf itself published it.
	Entry struct {
		ID      string
		Service string
		// Address is its IP and port.
		Address string
		Zone    string
		// Slots is how many requests the leaf runs at once, at least 1.
		Slots int
		// Draining is set when the leaf takes no new requests.
		Draining bool
		// WarmUpLeft is how long the leaf stays cold, counted from when the entry was written.
		WarmUpLeft time.Duration
		// Incarnation changes with each start of the leaf's process.
		Incarnation int64
		// Version is the version of the leaf's software; "" if it states none.
		Version string
	}

	// Service has the limits that the configuration declares for the leaves of a service.
	Service struct {
		MaxConnections int
		// WarmUpRate is how many requests per second all nodes together may send to a cold leaf; 0 means no limit.
		WarmUpRate float64
	}

	// Summary describes the leaves that may be called. It is not changed once it has been returned.
	Summary struct {
		// ByZone is the number of leaves in each availability zone.
		ByZone map[string]int
		// Slots is the most frequent number of slots of a leaf; 0 if there is no leaf.
		Slots int
	}

	// Config holds what a Balancer needs.
	Config struct {
		// Zone is this node's availability zone.
		Zone        string
		HeaderNames exchanger.HeaderNames
		// MaxAnswerBytes bounds the body of a leaf's answer.
		MaxAnswerBytes int64
		// Memory bounds the bytes of large answers that are held at once; nil sets no bound.
		Memory *reserver.Reserver
		// ColdShare returns this node's share of a cold leaf's WarmUpRate, 0 to 1.
		ColdShare func(leafID string) float64
		// Localizer decides which calls leave the zone. Nil sets one with the default cost of traffic.
		Localizer *localizer.Localizer
		// OnZoneLeft, if not nil, is called for each call that leaves the zone.
		OnZoneLeft func(Departure)
		// OnZoneBytes, if not nil, is called with the bytes of each exchange with a leaf of another zone.
		OnZoneBytes func(bytes int)
		// OnConnect is called for each attempt to connect to a leaf.
		OnConnect func()
		// OnExcessBytes, if not nil, is called for each answer that had more bytes than an answer may have.
		OnExcessBytes func()
		// Random returns random numbers from 0 to 1. It must be safe for concurrent use.
		Random func() float64
		Logger *slog.Logger
	}

	// Balancer holds the leaves of all services and picks among them. It is safe for concurrent use.
	Balancer struct {
		config Config
		mutex  sync.Mutex
		leaves map[string]*Leaf
		// leavesByService has all leaves of each service, by leaf ID.
		leavesByService map[string]map[string]*Leaf
		// usable has the leaves of each service that may be called. Readers use its slices without the mutex, so a
		// slice is replaced, never changed.
		usable        map[string][]*Leaf
		serviceLimits map[string]Service
		// summary describes the usable leaves; nil while it must be computed again.
		summary *Summary
		// evacuatedZones has the zones whose leaves get no calls.
		evacuatedZones map[string]bool
		// departed has leaves that have said that they are leaving and whose entry was removed or replaced afterwards, the
		// oldest first, at most maxDeparted.
		departed  []process
		liveNodes int
		// zoneNodes is how many of them are known to be in this node's zone; 0 if that is not known.
		zoneNodes int
		// splits has the split of each service whose software version is being rolled out.
		splits map[string]Split
	}

	// process identifies one start of a leaf's process.
	process struct {
		id, address string
		incarnation int64
	}
)

// New returns a Balancer without leaves.
func New(c Config) *Balancer {
	if c.Localizer == nil {
		c.Localizer = localizer.New(localizer.Config{
			TrafficCost: localizer.DefaultTrafficCost, Random: c.Random,
		})
	}
	return &Balancer{
		config: c, leaves: map[string]*Leaf{}, leavesByService: map[string]map[string]*Leaf{},
		usable: map[string][]*Leaf{}, serviceLimits: map[string]Service{},
		evacuatedZones: map[string]bool{}, liveNodes: 1, splits: map[string]Split{},
	}
}

// Put adds or updates the leaf of an entry. A leaf with a new address, incarnation or service starts with a new
// latency estimate and new connections.
func (b *Balancer) Put(e Entry, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := b.leaves[e.ID]
	if l != nil && l.entry == e {
		return
	}
	previous := l
	if l == nil || l.entry.Address != e.Address || l.entry.Incarnation != e.Incarnation || l.entry.Service != e.Service {
		l = b.newLeaf(e)
	} else {
		l = &Leaf{
			entry: e, scorer: l.scorer, exchanger: l.exchanger,
			coldUntil: l.coldUntil, suspendedUntil: l.suspendedUntil,
			coldTokens: l.coldTokens, coldTokensUpdatedAt: l.coldTokensUpdatedAt,
		}
		b.applyLimitsLocked(l)
	}
	if e.WarmUpLeft > 0 {
		l.coldUntil = now.Add(e.WarmUpLeft)
	}
	b.leaves[e.ID] = l
	if previous != nil {
		delete(b.leavesByService[previous.entry.Service], e.ID)
	}
	if b.leavesByService[e.Service] == nil {
		b.leavesByService[e.Service] = map[string]*Leaf{}
	}
	b.leavesByService[e.Service][e.ID] = l
	if previous != nil && previous.exchanger != l.exchanger {
		b.closeLocked(previous)
	}
	b.config.Logger.Info("leaf changed", "leaf", e.ID, "service", e.Service, "address", e.Address, "zone", e.Zone,
		"draining", e.Draining, "warm_up_left", e.WarmUpLeft, "new", previous == nil)
	b.updateUsableLocked(e.Service)
	if previous != nil && previous.entry.Service != e.Service {
		b.updateUsableLocked(previous.entry.Service)
	}
}

// Remove removes a leaf and closes its connections.
func (b *Balancer) Remove(id, reason string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := b.leaves[id]
	if l == nil {
		return
	}
	delete(b.leaves, id)
	delete(b.leavesByService[l.entry.Service], id)
	b.updateUsableLocked(l.entry.Service)
	b.closeLocked(l)
	b.config.Logger.Info("leaf removed", "leaf", id, "service", l.entry.Service, "reason", reason)
}

// closeLocked closes the connections to a leaf. If the leaf has said that it is leaving, that holds on when an older
// entry of the same process comes back. A process that states no incarnation can't be told from the next one.
func (b *Balancer) closeLocked(l *Leaf) {
	l.exchanger.Close()
	if !l.exchanger.Leaving() || l.entry.Incarnation == 0 {
		return
	}
	if len(b.departed) == maxDeparted {
		b.departed = b.departed[1:]
	}
	b.departed = append(b.departed, l.entry.process())
}

// process returns the process that published the entry.
func (e Entry) process() process {
	return process{id: e.ID, address: e.Address, incarnation: e.Incarnation}
}

// leafLeaves is called when a leaf has said in an answer that it is leaving.
func (b *Balancer) leafLeaves(e Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.updateUsableLocked(e.Service)
	b.config.Logger.Info("leaf says that it is leaving", "leaf", e.ID, "service", e.Service, "address", e.Address,
		"zone", e.Zone)
}

// SetServices replaces the configured limits of all services.
func (b *Balancer) SetServices(services map[string]Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.serviceLimits = services
	b.applyAllLimitsLocked()
}

// SetLiveNodes sets the number of live nodes, which share each leaf's connections, and how many of them are known to be
// in this node's zone; 0 if that is not known.
func (b *Balancer) SetLiveNodes(nodes, inZone int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	nodes = max(1, nodes)
	inZone = min(max(0, inZone), nodes)
	if b.liveNodes != nodes || b.zoneNodes != inZone {
		b.liveNodes, b.zoneNodes = nodes, inZone
		b.applyAllLimitsLocked()
	}
}

// SetEvacuatedZones replaces the set of zones whose leaves get no calls.
func (b *Balancer) SetEvacuatedZones(zones map[string]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.evacuatedZones = zones
	for service := range b.leavesByService {
		b.updateUsableLocked(service)
	}
}

// Usable returns how many leaves of a service may be called.
func (b *Balancer) Usable(service string) int {
	return len(b.UsableLeaves(service))
}

// PausedFor returns after what time the first usable leaf of a service may be called that has asked for a pause. It is
// 0 if one may be called now, or if none is usable.
func (b *Balancer) PausedFor(service string, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, l := range b.UsableLeaves(service) {
		d := l.exchanger.PausedUntil().Sub(now)
		if d <= 0 {
			return 0
		}
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// UsableLeaves returns the leaves of a service that may be called. Callers must not change the slice.
func (b *Balancer) UsableLeaves(service string) []*Leaf {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.usable[service]
}

func (b *Balancer) newLeaf(e Entry) *Leaf {
	var onBytes func(int)
	if e.Zone != b.config.Zone {
		onBytes = b.config.OnZoneBytes
	}
	x := exchanger.New(exchanger.Config{
		OnBytes: onBytes,
		Address: e.Address, LeafID: e.ID, HeaderNames: b.config.HeaderNames, MaxAnswerBytes: b.config.MaxAnswerBytes,
		OnConnect: b.config.OnConnect, Memory: b.config.Memory,
		OnLeaving: func() { b.leafLeaves(e) },
		OnPause: func(d time.Duration) {
			b.config.Logger.Info("leaf asks for a pause", "leaf", e.ID, "service", e.Service, "pause", d)
		},
		OnExcessBytes: func() { b.noteExcess(e) },
	})
	if slices.Contains(b.departed, e.process()) {
		x.SetLeaving()
	}
	l := &Leaf{entry: e, scorer: scorer.New(), exchanger: x}
	b.applyLimitsLocked(l)
	return l
}

// connectionLimit returns this node's share of the connections of a leaf.
func (b *Balancer) connectionLimit(service string) int {
	connections := b.serviceLimits[service].MaxConnections
	if connections <= 0 {
		connections = defaultMaxConnections
	}
	return max(1, int(float64(connections)*usableConnectionShare/float64(b.liveNodes)))
}

func (b *Balancer) applyAllLimitsLocked() {
	for _, l := range b.leaves {
		b.applyLimitsLocked(l)
	}
}

// applyLimitsLocked sets this node's share of the leaf's connections and slots.
func (b *Balancer) applyLimitsLocked(l *Leaf) {
	l.exchanger.SetConnectionLimit(b.connectionLimit(l.entry.Service))
	share := apportioner.CallsInFlight(l.entry.Slots, b.liveNodes)
	if l.entry.Zone == b.config.Zone {
		share = apportioner.CallsInFlightInZone(l.entry.Slots, b.zoneNodes, b.liveNodes-b.zoneNodes)
	}
	l.exchanger.SetShare(share)
}

// updateUsableLocked rebuilds the list of the service's leaves that may be called. Calls that wait for one that may
// not be called end.
func (b *Balancer) updateUsableLocked(service string) {
	var leaves []*Leaf
	for _, l := range b.leavesByService[service] {
		usable := !l.entry.Draining && !l.exchanger.Leaving() && !b.evacuatedZones[l.entry.Zone] &&
			!b.excludedLocked(l.entry)
		l.exchanger.SetCallable(usable)
		if usable {
			leaves = append(leaves, l)
		}
	}
	b.usable[service] = leaves
	b.summary = nil
	if len(b.leavesByService[service]) == 0 {
		delete(b.usable, service)
		delete(b.leavesByService, service)
	}
}
