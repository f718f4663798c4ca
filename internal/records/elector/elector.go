// Package elector decides whether a node reads a kind of documents from the store. One node, which all nodes with the
// same view agree on, reads on behalf of all. Others take over when their documents have not been confirmed for too
// long, or when documents that are known to exist do not arrive.
//
// It answers three loads: many nodes that would all call the store, a reader that is lost, and nodes that neither the
// reader nor any node that ranks near it can reach, such as those of a zone that is cut off.
package elector

import (
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// takeoverAge is how old the last confirmation of a node's documents may be, beyond the wait of a watch, before the
	// node reads the store itself.
	takeoverAge = 600 * time.Millisecond
	// takeoverStep is added to that age for each node that ranks before this one.
	takeoverStep = 150 * time.Millisecond
	// rankedReaders is how many nodes of the whole fleet, and zoneReaders how many further ones of each zone, take over
	// in order of rank. The others read only after fallbackAge and their jitter: an outage must not make all nodes call
	// the store.
	rankedReaders = 8
	zoneReaders   = 2
	fallbackAge   = 4 * time.Second
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
		// FallbackJitter is a random delay of this node.
		FallbackJitter time.Duration
	}

	// Situation is what a decision depends on.
	Situation struct {
		Kind   string
		Ranker *ranker.Ranker
		// ConfirmedAgo is the age of the last confirmation of this node's documents of the kind.
		ConfirmedAgo time.Duration
		// BehindFor is how long this node has known of newer documents that it has not got; 0 if it knows of none.
		BehindFor time.Duration
		// Wait is how long a watch of the kind waits for a change.
		Wait time.Duration
		// ChangeTime is the time within which a change must be in force.
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
	if s.BehindFor > time.Duration(maxBehindShare*float64(s.ChangeTime)) {
		return true
	}
	rank, ranked := e.rank(s)
	switch {
	case ranked && rank == 0:
		return true
	case ranked:
		return s.ConfirmedAgo > s.Wait+takeoverAge+time.Duration(rank)*takeoverStep
	default:
		return s.ConfirmedAgo > s.Wait+fallbackAge+e.config.FallbackJitter
	}
}

// rank returns the position of this node among the nodes that take over, 0 for the one that reads.
func (e *Elector) rank(s Situation) (int, bool) {
	key := ranker.Key{Name: keyPrefix + s.Kind}
	if i := e.index(s.Ranker.Leading(key, rankedReaders)); i >= 0 {
		return i, true
	}
	key.AvailabilityZone = e.config.AvailabilityZone
	if i := e.index(s.Ranker.Leading(key, zoneReaders)); i >= 0 {
		return rankedReaders + i, true
	}
	return 0, false
}

func (e *Elector) index(members []*pb.Member) int {
	return slices.IndexFunc(members, func(m *pb.Member) bool { return m.GetName() == e.config.NodeName })
}
