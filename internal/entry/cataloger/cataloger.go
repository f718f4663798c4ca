// Package cataloger indexes the replicas of each service by snapshot and partition, so that a search
// finds its replicas without looking at every leaf. Configuration and statuses flow in, layouts flow
// out. An index is rebuilt when the configuration changed, when a reply contradicted it, and otherwise
// once a refresh period, in the search that finds it old.
package cataloger

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Statuses tells what is known of a leaf.
	Statuses interface {
		Status(leaf string) *pb.LeafStatus
	}

	// Config holds what a Cataloger needs.
	Config struct {
		Statuses Statuses
		Clock    quartz.Clock
		// Refresh is the longest time for which an index is used.
		Refresh time.Duration
	}

	// Cataloger holds one index for each service. It is safe for concurrent use.
	Cataloger struct {
		config  Config
		mutex   sync.Mutex
		volumes map[string]*volume
	}

	// volume is the index of one service.
	volume struct {
		mutex sync.Mutex
		// gauges has one Gauge for each leaf that the service ever had; it outlives the layouts.
		gauges map[string]*gauger.Gauge
		// source is the configuration from which layouts was built.
		source  *indexer.Index
		builtAt time.Time
		stale   bool
		// layouts is replaced as a whole and never changed in place.
		layouts []*pinner.Layout
	}

	layoutKey struct {
		snapshot   uint64
		partitions uint32
	}
)

// New returns a Cataloger without indexes.
func New(c Config) *Cataloger {
	return &Cataloger{config: c, volumes: map[string]*volume{}}
}

// Layouts returns the layouts of the service that usable replicas hold. The slice is shared.
func (c *Cataloger) Layouts(index *indexer.Index, service string) []*pinner.Layout {
	v := c.volume(service)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := c.config.Clock.Now()
	if v.source != index || v.stale || now.Sub(v.builtAt) >= c.config.Refresh {
		v.rebuild(index, index.Service(service), c.config.Statuses, now)
	}
	return v.layouts
}

// Expire makes the next search rebuild the index of the service.
func (c *Cataloger) Expire(service string) {
	v := c.volume(service)
	v.mutex.Lock()
	v.stale = true
	v.mutex.Unlock()
}

func (c *Cataloger) volume(service string) *volume {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	v := c.volumes[service]
	if v == nil {
		v = &volume{gauges: map[string]*gauger.Gauge{}}
		c.volumes[service] = v
	}
	return v
}

func (v *volume) rebuild(index *indexer.Index, service *pb.Service, statuses Statuses, now time.Time) {
	layouts := map[layoutKey]*pinner.Layout{}
	for _, l := range service.GetLeaves() {
		status := statuses.Status(l.GetName())
		g := v.gauge(l)
		if status == nil {
			continue
		}
		g.ObserveStatus(status, now)
		usable := status.GetReachable() && !status.GetDraining() && !g.Draining(now)
		if usable && index.ZoneInService(l.GetAvailabilityZone()) {
			addHoldings(layouts, status, g, now)
		}
	}
	v.layouts = make([]*pinner.Layout, 0, len(layouts))
	for _, l := range layouts {
		v.layouts = append(v.layouts, l)
	}
	v.source, v.builtAt, v.stale = index, now, false
}

func (v *volume) gauge(l *pb.Leaf) *gauger.Gauge {
	g := v.gauges[l.GetName()]
	if g == nil {
		g = gauger.New(l)
		v.gauges[l.GetName()] = g
	}
	g.SetLeaf(l)
	return g
}

// addHoldings files the replica under each snapshot that it holds. Replicas that name different
// numbers of partitions for one snapshot are filed apart, so that layouts are never mixed.
func addHoldings(layouts map[layoutKey]*pinner.Layout, s *pb.LeafStatus, g *gauger.Gauge, now time.Time) {
	for _, h := range s.GetSnapshots() {
		if g.Lost(h.GetSnapshot(), now) {
			continue
		}
		key := layoutKey{h.GetSnapshot(), h.GetPartitionCount()}
		l := layouts[key]
		if l == nil {
			l = pinner.NewLayout(h.GetSnapshot(), h.GetPartitionCount())
			layouts[key] = l
		}
		for _, p := range h.GetPartitions() {
			l.Add(p, g)
		}
	}
}
