// Package placer tells which node owns a leaf. The live view and the configuration flow in, the owner
// of each leaf flows out; it is computed by rendezvous hashing and never stored. Results are cached
// until the view or the configuration changes.
package placer

import (
	"sync"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// rankedCount is how many nodes are ranked for a leaf: its owner and those that may promise to it.
	rankedCount = 3
)

type (
	// View is the part of the membership that placement needs.
	View interface {
		// Members returns the nodes that may own leaves, this one included.
		Members() []*pb.Member
		// Lost returns the nodes that fell silent of late and may run behind a network partition.
		Lost() []*pb.Member
		// Generation changes whenever Members or Lost changes.
		Generation() uint64
	}

	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Config holds what a Placer needs.
	Config struct {
		View   View
		Source ConfigSource
	}

	// Placer computes the owners of leaves. It is safe for concurrent use.
	Placer struct {
		view   View
		source ConfigSource
		mutex  sync.Mutex
		// ranked is valid for generation and index only.
		ranked map[string][]*pb.Member
		// owned has the leaves of each owner by its name; nil until it is asked for.
		owned map[string][]string
		// shares has the part of each region's nodes that this node sees.
		shares map[string]divider.Share
		// ranker ranks the members whose availability zone is in service, or all when none is.
		ranker     *ranker.Ranker
		generation uint64
		index      *indexer.Index
	}
)

// New returns a Placer.
func New(c Config) *Placer {
	return &Placer{view: c.View, source: c.Source, ranked: map[string][]*pb.Member{}}
}

// Owner returns the node that owns the leaf, or nil when the leaf or every node is unknown.
func (p *Placer) Owner(leaf string) *pb.Member {
	ranked := p.Ranked(leaf)
	if len(ranked) == 0 {
		return nil
	}
	return ranked[0]
}

// Ranked returns the first three nodes in the order in which they would own the leaf. The slice is shared
// and must not be changed.
func (p *Placer) Ranked(leaf string) []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	return p.rankedLocked(leaf)
}

// OwnedBy returns the leaves that the node owns. The slice is shared and must not be changed.
func (p *Placer) OwnedBy(node string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	if p.owned != nil {
		return p.owned[node]
	}
	p.owned = map[string][]string{}
	for _, s := range p.index.Services() {
		for _, l := range s.GetLeaves() {
			if ranked := p.rankedLocked(l.GetName()); len(ranked) > 0 {
				owner := ranked[0].GetName()
				p.owned[owner] = append(p.owned[owner], l.GetName())
			}
		}
	}
	return p.owned[node]
}

// Share returns which part of the nodes of the leaf's region this node sees, or which part of all nodes when none
// is known in that region. Parts of a fleet that lost each other divide the leaf's slots by it.
func (p *Placer) Share(leaf string) divider.Share {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	entry, ok := p.index.Leaf(leaf)
	if !ok {
		return divider.Share{}
	}
	region := p.key(entry).Region
	share, ok := p.shares[region]
	if !ok {
		share = divider.New(region, p.view.Members(), p.view.Lost())
		if share.Empty() {
			share = divider.New("", p.view.Members(), p.view.Lost())
		}
		p.shares[region] = share
	}
	return share
}

func (p *Placer) rankedLocked(leaf string) []*pb.Member {
	if ranked, ok := p.ranked[leaf]; ok {
		return ranked
	}
	entry, ok := p.index.Leaf(leaf)
	if !ok {
		return nil
	}
	ranked := p.ranker.Leading(p.key(entry), rankedCount)
	p.ranked[leaf] = ranked
	return ranked
}

func (p *Placer) key(l indexer.LeafEntry) ranker.Key {
	zone := l.Leaf.GetAvailabilityZone()
	return ranker.Key{Name: l.Leaf.GetName(), AvailabilityZone: zone, Region: p.index.Zone(zone).GetRegion()}
}

func (p *Placer) refresh() {
	generation := p.view.Generation()
	index := p.source.Index()
	if generation == p.generation && index == p.index {
		return
	}
	p.generation = generation
	p.index = index
	p.ranked = map[string][]*pb.Member{}
	p.owned = nil
	p.shares = map[string]divider.Share{}
	p.ranker = ranker.New(eligible(index, p.view.Members()))
}

// eligible leaves out the nodes of zones that operators have taken out of service.
func eligible(index *indexer.Index, members []*pb.Member) []*pb.Member {
	inService := make([]*pb.Member, 0, len(members))
	for _, m := range members {
		if !index.Zone(m.GetAvailabilityZone()).GetOutOfService() {
			inService = append(inService, m)
		}
	}
	if len(inService) == 0 {
		return members
	}
	return inService
}
