// Package cataloger indexes the usable replicas of each service by snapshot and partition, so that a search
// finds its replicas without scanning every leaf. The index is built from the configuration and the leaf
// statuses. It is rebuilt when the configuration changed, when a reply contradicted it, and otherwise once a
// refresh period, within the search that finds it out of date.
package cataloger

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Statuses returns the newest known status of a leaf, or nil.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Config holds what a Cataloger needs.
	Config struct {
		Statuses Statuses
		Clock    quartz.Clock
		// Refresh is the longest time for which an index is used before it is rebuilt.
		Refresh time.Duration
	}

	// Cataloger holds one index for each service. It is safe for concurrent use.
	Cataloger struct {
		config  Config
		mutex   sync.Mutex
		indexes map[string]*serviceIndex
	}

	// serviceIndex is the index of one service.
	serviceIndex struct {
		mutex sync.Mutex
		// replicaStates holds one ReplicaState for each leaf that the service ever had; it is kept across rebuilds.
		replicaStates map[string]*scorer.ReplicaState
		// builtFrom is the configuration from which layouts was built.
		builtFrom *indexer.Index
		builtAt   time.Time
		stale     bool
		// layouts is replaced as a whole and never changed in place, because searches share it.
		layouts []*pinner.Layout
	}

	layoutKey struct {
		snapshot   uint64
		partitions uint32
	}
)

// New returns an empty Cataloger.
func New(c Config) *Cataloger {
	return &Cataloger{config: c, indexes: map[string]*serviceIndex{}}
}

// Layouts returns the layouts of the service that usable replicas hold. The slice is shared and must not be
// changed.
func (c *Cataloger) Layouts(index *indexer.Index, service string) []*pinner.Layout {
	s := c.serviceIndex(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := c.config.Clock.Now()
	if s.builtFrom != index || s.stale || now.Sub(s.builtAt) >= c.config.Refresh {
		s.rebuild(index, index.Service(service), c.config.Statuses, now)
	}
	return s.layouts
}

// Invalidate makes the next call of Layouts rebuild the index of the service.
func (c *Cataloger) Invalidate(service string) {
	s := c.serviceIndex(service)
	s.mutex.Lock()
	s.stale = true
	s.mutex.Unlock()
}

func (c *Cataloger) serviceIndex(service string) *serviceIndex {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.indexes[service]
	if s == nil {
		s = &serviceIndex{replicaStates: map[string]*scorer.ReplicaState{}}
		c.indexes[service] = s
	}
	return s
}

func (s *serviceIndex) rebuild(index *indexer.Index, service *pb.Service, statuses Statuses, now time.Time) {
	layouts := map[layoutKey]*pinner.Layout{}
	for _, l := range service.GetLeaves() {
		status := statuses.Status(l.GetName())
		rs := s.replicaState(l)
		if status == nil {
			continue
		}
		rs.ObserveStatus(status, now)
		usable := status.GetReachable() && !status.GetDraining() && !rs.Draining(now)
		if usable && index.ZoneInService(l.GetAvailabilityZone()) {
			addReplica(layouts, status, rs, now)
		}
	}
	s.layouts = make([]*pinner.Layout, 0, len(layouts))
	for _, l := range layouts {
		s.layouts = append(s.layouts, l)
	}
	s.builtFrom, s.builtAt, s.stale = index, now, false
}

func (s *serviceIndex) replicaState(l *pb.Leaf) *scorer.ReplicaState {
	rs := s.replicaStates[l.GetName()]
	if rs == nil {
		rs = scorer.New(l)
		s.replicaStates[l.GetName()] = rs
	}
	rs.SetLeaf(l)
	return rs
}

// addReplica adds the replica to the layout of each snapshot that it holds. Replicas that report different
// numbers of partitions for the same snapshot go to separate layouts, so that layouts are never mixed.
func addReplica(layouts map[layoutKey]*pinner.Layout, s *pb.LeafStatus, rs *scorer.ReplicaState, now time.Time) {
	for _, h := range s.GetSnapshots() {
		if rs.LostSnapshot(h.GetSnapshot(), now) {
			continue
		}
		key := layoutKey{h.GetSnapshot(), h.GetPartitionCount()}
		l := layouts[key]
		if l == nil {
			l = pinner.NewLayout(h.GetSnapshot(), h.GetPartitionCount())
			layouts[key] = l
		}
		for _, p := range h.GetPartitions() {
			l.Add(p, rs)
		}
	}
}
