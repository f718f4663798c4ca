// Package pooler holds the leaves of all services and picks the one for the next call. Entries of leaves, the
// zones out of service and the number of live nodes flow in; for a service the leaf with the least expected
// time to an answer flows out.
//
// The load it answers: a few leaves a service that pause, slow down, fail or vanish one at a time while the
// others have room. Each node picks by what it sees itself, so nothing has to be asked before a call.
package pooler

import (
	"log/slog"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	// connectionMargin is the part of a leaf's connections that the nodes use together: nodes that join are
	// counted a little late.
	connectionMargin = 0.85
	// otherZoneFactor times the expected time makes a leaf in another zone as good as one in this zone:
	// bytes between zones are paid for.
	otherZoneFactor = 1.5
	// coldFactor times the expected time of a leaf that has just started.
	coldFactor = 1.6
	// jitter is the share by which expected times are spread, so that nodes do not all pick the same leaf.
	jitter = 0.08
	// misdirectedPause is how long a leaf is left out that answered for another.
	misdirectedPause = 2 * time.Second
	// crowdedPenalty is added for a leaf at which a call would wait for a connection.
	crowdedPenalty = 40 * time.Millisecond
	// defaultConnections is used for a service that declares no limit.
	defaultConnections = 64
)

type (
	// Entry is what a leaf says of itself.
	Entry struct {
		ID      string
		Service string
		// Address is its IP and port.
		Address string
		Zone    string
		// Slots is how many requests it runs at once, at least 1.
		Slots int
		// Draining leaves take no new requests.
		Draining bool
		// WarmUpLeft is how long it stays cold, counted from when the entry was written.
		WarmUpLeft time.Duration
		// Incarnation changes with each start of its process.
		Incarnation int64
	}

	// Service is what the configuration declares of a leaf's service.
	Service struct {
		MaxConnections int
		// WarmUpRate is the requests a second that a cold leaf bears from all nodes; 0 means no bound.
		WarmUpRate float64
	}

	// Config holds what a Pooler needs.
	Config struct {
		// Zone is this node's availability zone.
		Zone  string
		Names exchanger.Names
		// MaxAnswerBytes bounds the body of a leaf's answer.
		MaxAnswerBytes int64
		// ColdShare returns which part of a cold leaf's rate this node may use, 0 to 1.
		ColdShare func(leafID string) float64
		// Connected is told of each new connection to a leaf.
		Connected func()
		// Random returns numbers from 0 to 1. It is safe for concurrent use.
		Random func() float64
		Logger *slog.Logger
	}

	// Pooler holds all leaves. It is safe for concurrent use.
	Pooler struct {
		config Config
		mutex  sync.Mutex
		leaves map[string]*Leaf
		// members has the leaves of each service by id.
		members map[string]map[string]*Leaf
		// services has the leaves of each service that may be called. A slice is replaced, never changed.
		services map[string][]*Leaf
		declared map[string]Service
		// evacuated has the zones whose leaves get nothing.
		evacuated map[string]bool
		nodes     int
	}

	// Leaf is one leaf with what this node believes of it.
	Leaf struct {
		entry     Entry
		scorer    *scorer.Scorer
		exchanger *exchanger.Exchanger
		mutex     sync.Mutex
		// coldUntil is when the leaf has warmed up.
		coldUntil time.Time
		// leftOutUntil is when a leaf that answered for another is tried again.
		leftOutUntil time.Time
		// coldTokens is the number of calls that this node may send to the cold leaf now, at most 1.
		coldTokens float64
		// coldTokensAt is when coldTokens was last brought up to date.
		coldTokensAt time.Time
	}
)

// New returns a Pooler without leaves.
func New(c Config) *Pooler {
	return &Pooler{
		config: c, leaves: map[string]*Leaf{}, members: map[string]map[string]*Leaf{},
		services: map[string][]*Leaf{}, declared: map[string]Service{},
		evacuated: map[string]bool{}, nodes: 1,
	}
}

// Entry returns what the leaf says of itself.
func (l *Leaf) Entry() Entry { return l.entry }

// Scorer returns the belief about the leaf.
func (l *Leaf) Scorer() *scorer.Scorer { return l.scorer }

// Exchanger returns the leaf's connections.
func (l *Leaf) Exchanger() *exchanger.Exchanger { return l.exchanger }

// LeaveOut keeps calls away from a leaf for a while: another process answered at its address.
func (l *Leaf) LeaveOut(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leftOutUntil = now.Add(misdirectedPause)
}

// Put takes an entry that is new or has changed.
func (p *Pooler) Put(e Entry, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.leaves[e.ID]
	if l != nil && l.entry == e {
		return
	}
	old := l
	if l == nil || l.entry.Address != e.Address || l.entry.Incarnation != e.Incarnation || l.entry.Service != e.Service {
		l = p.newLeaf(e)
	} else {
		l = &Leaf{
			entry: e, scorer: l.scorer, exchanger: l.exchanger,
			coldUntil: l.coldUntil, leftOutUntil: l.leftOutUntil,
		}
	}
	if e.WarmUpLeft > 0 {
		l.coldUntil = now.Add(e.WarmUpLeft)
	}
	p.leaves[e.ID] = l
	if old != nil {
		delete(p.members[old.entry.Service], e.ID)
	}
	if p.members[e.Service] == nil {
		p.members[e.Service] = map[string]*Leaf{}
	}
	p.members[e.Service][e.ID] = l
	if old != nil && old.exchanger != l.exchanger {
		old.exchanger.Close()
	}
	p.config.Logger.Info("leaf changed", "leaf", e.ID, "service", e.Service, "address", e.Address, "zone", e.Zone,
		"draining", e.Draining, "warm_up_left", e.WarmUpLeft, "new", old == nil)
	p.refreshLocked(e.Service)
	if old != nil && old.entry.Service != e.Service {
		p.refreshLocked(old.entry.Service)
	}
}

// Remove forgets a leaf that is gone.
func (p *Pooler) Remove(id, reason string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.leaves[id]
	if l == nil {
		return
	}
	delete(p.leaves, id)
	delete(p.members[l.entry.Service], id)
	p.refreshLocked(l.entry.Service)
	l.exchanger.Close()
	p.config.Logger.Info("leaf removed", "leaf", id, "service", l.entry.Service, "reason", reason)
}

// Declare takes what the configuration says of all services.
func (p *Pooler) Declare(services map[string]Service) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.declared = services
	p.limitLocked()
}

// SetNodes takes the number of live nodes, which share each leaf's connections.
func (p *Pooler) SetNodes(nodes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.nodes != max(1, nodes) {
		p.nodes = max(1, nodes)
		p.limitLocked()
	}
}

// Evacuate replaces the set of zones whose leaves get nothing.
func (p *Pooler) Evacuate(zones map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evacuated = zones
	for service := range p.members {
		p.refreshLocked(service)
	}
}

// Usable returns how many leaves of a service may be called.
func (p *Pooler) Usable(service string) int {
	return len(p.UsableLeaves(service))
}

// UsableLeaves returns the leaves of a service that may be called. The slice must not be changed.
func (p *Pooler) UsableLeaves(service string) []*Leaf {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.services[service]
}

// Pick returns the leaf of the service with the least expected time to an answer, and that time, or nil when
// there is none besides those that were tried. typical is the usual time of such calls.
func (p *Pooler) Pick(service string, typical time.Duration, tried func(*Leaf) bool, now time.Time) (*Leaf,
	time.Duration,
) {
	p.mutex.Lock()
	leaves, declared := p.services[service], p.declared[service]
	p.mutex.Unlock()
	var best *Leaf
	var least time.Duration
	for _, l := range leaves {
		if tried(l) || !l.open(now, declared.WarmUpRate, p.config.ColdShare) {
			continue
		}
		expected := p.expected(l, typical, now)
		if best == nil || expected < least {
			best, least = l, expected
		}
	}
	if best != nil {
		best.spendColdToken(now, declared.WarmUpRate)
	}
	return best, least
}

func (p *Pooler) expected(l *Leaf, typical time.Duration, now time.Time) time.Duration {
	expected := l.scorer.Expected(now, typical, l.entry.Slots)
	if l.entry.Zone != p.config.Zone {
		expected = time.Duration(float64(expected) * otherZoneFactor)
	}
	if l.cold(now) {
		expected = time.Duration(float64(expected) * coldFactor)
	}
	if !l.exchanger.Free() {
		expected += crowdedPenalty
	}
	return time.Duration(float64(expected) * (1 + jitter*p.config.Random()))
}

func (p *Pooler) newLeaf(e Entry) *Leaf {
	x := exchanger.New(exchanger.Config{
		Address: e.Address, LeafID: e.ID, Names: p.config.Names, MaxAnswerBytes: p.config.MaxAnswerBytes,
		Opened: p.config.Connected,
	})
	x.SetLimit(p.limit(e.Service))
	return &Leaf{entry: e, scorer: scorer.New(), exchanger: x}
}

// limit is this node's share of the connections of a leaf.
func (p *Pooler) limit(service string) int {
	connections := p.declared[service].MaxConnections
	if connections <= 0 {
		connections = defaultConnections
	}
	return max(1, int(float64(connections)*connectionMargin/float64(p.nodes)))
}

func (p *Pooler) limitLocked() {
	for _, l := range p.leaves {
		l.exchanger.SetLimit(p.limit(l.entry.Service))
	}
}

// refreshLocked makes the list of the service's leaves that may be called.
func (p *Pooler) refreshLocked(service string) {
	var leaves []*Leaf
	for _, l := range p.members[service] {
		if !l.entry.Draining && !p.evacuated[l.entry.Zone] {
			leaves = append(leaves, l)
		}
	}
	p.services[service] = leaves
	if len(p.members[service]) == 0 {
		delete(p.services, service)
		delete(p.members, service)
	}
}

func (l *Leaf) cold(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.coldUntil)
}

// open tells whether the leaf may get a call now.
func (l *Leaf) open(now time.Time, warmUpRate float64, share func(string) float64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Before(l.leftOutUntil) {
		return false
	}
	if warmUpRate <= 0 || !now.Before(l.coldUntil) {
		return true
	}
	if l.coldTokensAt.IsZero() {
		l.coldTokensAt = now
	}
	l.coldTokens = min(1, l.coldTokens+now.Sub(l.coldTokensAt).Seconds()*warmUpRate*share(l.entry.ID))
	l.coldTokensAt = now
	return l.coldTokens >= 1
}

func (l *Leaf) spendColdToken(now time.Time, warmUpRate float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if warmUpRate > 0 && now.Before(l.coldUntil) {
		l.coldTokens--
	}
}
