// Package elector decides whether a node reads a kind of documents from the store. One node, which all nodes with the
// same view agree on, reads on behalf of all. Others take over when their documents have not been confirmed for too
// long, or when documents that are known to exist do not arrive.
//
// Every node has a turn at the store within the time in which a change must be in force, however many nodes there are,
// and whether or not those with earlier turns exist any more: the loss of most nodes at once leaves no time to find out
// which are lost. The turns are spread over that time by the logarithm of the rank, so that a few nodes come first.
//
// An outage of the store must not make all nodes call it. A node lets its turn pass while it knows that live nodes ask
// the store. A few that rank first, and a few of each availability zone, ask all the same; of the others some are drawn
// anew each second, because the store may turn away those that ask and answer the rest.
package elector

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// takeoverAge is how old the last confirmation of a node's documents may be, beyond the wait of a watch, before the
	// first other node reads the store.
	takeoverAge = 700 * time.Millisecond
	// lastTurnShare is the age of the confirmation at which the last node reads the store, as a share of the time within
	// which a change must be in force. The rest is for the call and for putting the change in force.
	lastTurnShare = 0.7
	// minTurnSpread and maxTurnSpread bound the time from the first turn to the last.
	minTurnSpread = 300 * time.Millisecond
	maxTurnSpread = 800 * time.Millisecond
	// rankedReaders is how many nodes of the whole fleet, and zoneReaders how many of each zone, take their turns although
	// other nodes ask the store.
	rankedReaders = 8
	zoneReaders   = 2
	// claimAge is how long other nodes let their turns pass after a live node was asking the store.
	claimAge = 600 * time.Millisecond
	// drawnReaders is how many of the nodes that let their turns pass ask the store in each drawPeriod, on average.
	drawnReaders = 2
	drawPeriod   = time.Second
	// maxBehindShare is how long a node waits for documents that are known to exist, as a share of the time within which
	// a change must be in force.
	maxBehindShare = 0.4
)

// keyPrefix is the prefix of the keys by which nodes are ranked as readers.
const keyPrefix = "store-reader/"

type (
	// Config holds what an Elector needs.
	Config struct {
		NodeName         string
		AvailabilityZone string
	}

	// Situation is what a decision depends on.
	Situation struct {
		Kind   string
		Ranker *ranker.Ranker
		// ConfirmedAgo is the age of the last confirmation of this node's documents of the kind.
		ConfirmedAgo time.Duration
		// AskedAgo is the time since another live node was asking the store for the kind, as far as this node knows.
		AskedAgo time.Duration
		// BehindFor is how long this node has known of newer documents that it has not got; 0 if it knows of none.
		BehindFor time.Duration
		// Wait is how long a watch of the kind waits for a change.
		Wait time.Duration
		// ChangeTime is the time within which a change of the kind must be in force.
		ChangeTime time.Duration
	}

	// Elector decides for one node.
	Elector struct {
		config Config
	}
)

// New returns an Elector.
func New(c Config) *Elector {
	return &Elector{config: c}
}

// ShouldRead reports whether this node should read the store now.
func (e *Elector) ShouldRead(s Situation) bool {
	if s.BehindFor > share(maxBehindShare, s.ChangeTime) {
		return true
	}
	if s.ConfirmedAgo <= s.firstTurn() {
		return e.isAmong(s.Ranker.Leading(s.key(), 1))
	}
	rank := s.Ranker.Position(s.key(), e.config.NodeName)
	switch delay := s.turnDelay(rank); {
	case rank == 0:
		return true
	case s.ConfirmedAgo <= s.firstTurn()+delay:
		return false
	case s.AskedAgo > claimAge+delay || rank < rankedReaders || e.leadsZone(s):
		return true
	default:
		return e.isDrawn(s)
	}
}

// leadsZone reports whether this node is among the first of its zone.
func (e *Elector) leadsZone(s Situation) bool {
	key := s.key()
	key.AvailabilityZone = e.config.AvailabilityZone
	return e.isAmong(s.Ranker.Leading(key, zoneReaders))
}

// isDrawn reports whether this node is drawn to read in the current period, although others ask the store.
func (e *Elector) isDrawn(s Situation) bool {
	overdue := s.ConfirmedAgo - s.firstTurn() - s.turnSpread()
	if overdue < drawPeriod {
		return false
	}
	draw := xxhash.New()
	_, _ = draw.WriteString(e.config.NodeName + "/" + s.Kind)
	period := uint64(overdue / drawPeriod)
	for shift := 0; shift < 64; shift += 8 {
		_, _ = draw.Write([]byte{byte(period >> shift)})
	}
	return draw.Sum64()%uint64(s.Ranker.Count()) < drawnReaders
}

func (e *Elector) isAmong(members []*pb.Member) bool {
	return slices.ContainsFunc(members, func(m *pb.Member) bool { return m.GetName() == e.config.NodeName })
}

func (s Situation) key() ranker.Key {
	return ranker.Key{Name: keyPrefix + s.Kind}
}

// firstTurn returns the age of the confirmation at which the first node takes over.
func (s Situation) firstTurn() time.Duration {
	return s.Wait + takeoverAge
}

// turnSpread returns the time from the first turn to the last.
func (s Situation) turnSpread() time.Duration {
	return min(max(share(lastTurnShare, s.ChangeTime)-s.firstTurn(), minTurnSpread), maxTurnSpread)
}

// turnDelay returns the time from the first turn to that of the node with a rank. Rank 1 has the first turn.
func (s Situation) turnDelay(rank int) time.Duration {
	last := s.Ranker.Count() - 1
	if rank <= 1 || last <= 1 {
		return 0
	}
	return share(min(math.Log(float64(rank))/math.Log(float64(last)), 1), s.turnSpread())
}

func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}
