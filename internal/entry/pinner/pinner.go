// Package pinner chooses the one snapshot from which all parts of an answer come, out of the layouts that
// usable replicas hold, in no particular order. A layout belongs to one snapshot, so the number of partitions
// can change from snapshot to snapshot.
package pinner

import (
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
)

const (
	// minDepthShare is how many replicas a layout needs to be eligible, as a share of those of the most widely
	// held layout.
	minDepthShare = 0.5
)

type (
	// Layout is one snapshot with the usable replicas of each of its partitions.
	Layout struct {
		snapshot uint64
		// replicas has one entry for each partition of the snapshot; an entry may be empty.
		replicas [][]*scorer.ReplicaState
		// coveredPartitions counts the partitions with at least one replica.
		coveredPartitions int
		// replicaCount is the sum of the numbers of replicas of all partitions.
		replicaCount int
	}
)

// NewLayout returns the layout of the snapshot without replicas.
func NewLayout(snapshot uint64, partitions uint32) *Layout {
	return &Layout{snapshot: snapshot, replicas: make([][]*scorer.ReplicaState, partitions)}
}

// Add adds a usable replica of the partition; a partition outside the layout is ignored.
func (l *Layout) Add(partition uint32, rs *scorer.ReplicaState) {
	if partition >= l.PartitionCount() {
		return
	}
	if len(l.replicas[partition]) == 0 {
		l.coveredPartitions++
	}
	l.replicas[partition] = append(l.replicas[partition], rs)
	l.replicaCount++
}

// Snapshot returns the snapshot's number.
func (l *Layout) Snapshot() uint64 { return l.snapshot }

// PartitionCount returns the number of partitions of the snapshot.
func (l *Layout) PartitionCount() uint32 { return uint32(len(l.replicas)) }

// Replicas returns the usable replicas of the partition. The slice must not be changed.
func (l *Layout) Replicas(partition uint32) []*scorer.ReplicaState {
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
	return float64(l.coveredPartitions) / float64(len(l.replicas))
}

// Pin returns the layout to use, or nil when there is none: among the layouts with the highest coverage, the
// newest that enough replicas hold (see minDepthShare). Excluded snapshots are never returned.
func Pin(layouts []*Layout, excluded ...uint64) *Layout {
	maxCoverage, maxDepth := 0.0, 0.0
	for _, l := range layouts {
		if !l.excluded(excluded) {
			maxCoverage = max(maxCoverage, l.Coverage())
		}
	}
	for _, l := range layouts {
		if !l.excluded(excluded) && l.Coverage() == maxCoverage {
			maxDepth = max(maxDepth, l.depth())
		}
	}
	var best *Layout
	for _, l := range layouts {
		if l.excluded(excluded) || l.coveredPartitions == 0 || l.Coverage() < maxCoverage ||
			l.depth() < minDepthShare*maxDepth {
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
	return float64(l.replicaCount) / float64(max(1, len(l.replicas)))
}

func (l *Layout) newer(o *Layout) bool {
	if l.snapshot != o.snapshot {
		return l.snapshot > o.snapshot
	}
	return l.replicaCount > o.replicaCount
}

func (l *Layout) excluded(snapshots []uint64) bool {
	for _, s := range snapshots {
		if s == l.snapshot {
			return true
		}
	}
	return false
}
