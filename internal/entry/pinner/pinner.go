// Package pinner chooses the one snapshot from which a whole answer comes. The layouts that usable
// replicas hold flow in, ordered by no rule; the layout to use flows out. A layout belongs to one
// snapshot, so the number of partitions can change from snapshot to snapshot.
package pinner

import (
	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
)

const (
	// enoughShare of the replicas that the most widely held layout has makes a newer one eligible.
	enoughShare = 0.5
)

type (
	// Layout is one snapshot with the usable replicas of each of its partitions.
	Layout struct {
		snapshot uint64
		// replicas has one entry for each partition of the snapshot; an entry may be empty.
		replicas [][]*gauger.Gauge
		// covered counts the partitions with at least one replica.
		covered int
		// holdings counts the pairs of partition and replica.
		holdings int
	}
)

// NewLayout returns the layout of the snapshot without replicas.
func NewLayout(snapshot uint64, partitions uint32) *Layout {
	return &Layout{snapshot: snapshot, replicas: make([][]*gauger.Gauge, partitions)}
}

// Add counts a usable replica of the partition; a partition outside the layout is ignored.
func (l *Layout) Add(partition uint32, g *gauger.Gauge) {
	if partition >= l.PartitionCount() {
		return
	}
	if len(l.replicas[partition]) == 0 {
		l.covered++
	}
	l.replicas[partition] = append(l.replicas[partition], g)
	l.holdings++
}

// Snapshot returns the snapshot's number.
func (l *Layout) Snapshot() uint64 { return l.snapshot }

// PartitionCount returns the number of partitions of the snapshot.
func (l *Layout) PartitionCount() uint32 { return uint32(len(l.replicas)) }

// Replicas returns the usable replicas of the partition. The slice must not be changed.
func (l *Layout) Replicas(partition uint32) []*gauger.Gauge {
	if partition >= l.PartitionCount() {
		return nil
	}
	return l.replicas[partition]
}

// Coverage returns the share of partitions with a usable replica, 0 to 1.
func (l *Layout) Coverage() float64 {
	if len(l.replicas) == 0 {
		return 0
	}
	return float64(l.covered) / float64(len(l.replicas))
}

// Pin returns the layout to use, or nil when there is none: the best covered, then the newest that
// enough replicas hold for each partition. Excluded snapshots are never returned.
func Pin(layouts []*Layout, excluded ...uint64) *Layout {
	coverage, depth := 0.0, 0.0
	for _, l := range layouts {
		if !l.excluded(excluded) {
			coverage = max(coverage, l.Coverage())
		}
	}
	for _, l := range layouts {
		if !l.excluded(excluded) && l.Coverage() == coverage {
			depth = max(depth, l.depth())
		}
	}
	var best *Layout
	for _, l := range layouts {
		if l.excluded(excluded) || l.covered == 0 || l.Coverage() < coverage || l.depth() < enoughShare*depth {
			continue
		}
		if best == nil || l.newer(best) {
			best = l
		}
	}
	return best
}

// depth returns the mean number of replicas of a partition.
func (l *Layout) depth() float64 {
	return float64(l.holdings) / float64(max(1, len(l.replicas)))
}

func (l *Layout) newer(o *Layout) bool {
	if l.snapshot != o.snapshot {
		return l.snapshot > o.snapshot
	}
	return l.holdings > o.holdings
}

func (l *Layout) excluded(snapshots []uint64) bool {
	for _, s := range snapshots {
		if s == l.snapshot {
			return true
		}
	}
	return false
}
