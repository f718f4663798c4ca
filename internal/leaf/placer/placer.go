// Package placer determines which node owns a leaf. It ranks the nodes of the membership view for each
// configured leaf by rendezvous hashing, so that nodes with the same view and configuration agree on the owner
// without storing it. Results are cached until the view or the configuration changes.
package placer

import (
	"sync"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	// candidateCount is the number of nodes ranked for a leaf: its owner and the nodes that may grant it the tenure.
	candidateCount = 3
)

type (
	// View is the part of the membership that placement needs.
	View interface {
		// Members returns the nodes that may own leaves, this one included.
		Members() []*pb.Member
		// Lost returns the nodes that recently stopped answering and may still run behind a network partition.
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
		// rankedByLeaf caches the ranked nodes of each leaf for generation and index.
		rankedByLeaf map[string][]*pb.Member
		// leavesByOwner has the leaves of each owner by its name; nil until OwnedBy is called.
		leavesByOwner map[string][]string
		// sharesByRegion has the share of each region's nodes that this node sees.
		sharesByRegion map[string]divider.Share
		// ranker ranks the members whose availability zone is in service, or all when none is.
		ranker     *ranker.Ranker
		generation uint64
		index      *indexer.Index
	}
)

// New returns a Placer.
func New(c Config) *Placer {
	return &Placer{view: c.View, source: c.Source, rankedByLeaf: map[string][]*pb.Member{}}
}

// Owner returns the node that owns the leaf, or nil when the leaf is not configured or no node is known.
func (p *Placer) Owner(leaf string) *pb.Member {
	ranked := p.Ranked(leaf)
	if len(ranked) == 0 {
		return nil
	}
	return ranked[0]
}

// Ranked returns the three nodes that rank first for the leaf, the owner first. The slice is shared and must
// not be changed.
func (p *Placer) Ranked(leaf string) []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refreshLocked()
	return p.rankedLocked(leaf)
}

// OwnedBy returns the leaves that the node owns. The slice is shared and must not be changed.
func (p *Placer) OwnedBy(node string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refreshLocked()
	if p.leavesByOwner != nil {
		return p.leavesByOwner[node]
	}
	p.leavesByOwner = map[string][]string{}
	for _, s := range p.index.Services() {
		for _, l := range s.GetLeaves() {
			if ranked := p.rankedLocked(l.GetName()); len(ranked) > 0 {
				owner := ranked[0].GetName()
				p.leavesByOwner[owner] = append(p.leavesByOwner[owner], l.GetName())
			}
		}
	}
	return p.leavesByOwner[node]
}

// Share returns the share of the nodes of the leaf's region that this node sees, or the share of all nodes when
// none is known in that region. The sides of a network partition divide the leaf's slots by it.
func (p *Placer) Share(leaf string) divider.Share {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refreshLocked()
	entry, ok := p.index.Leaf(leaf)
	if !ok {
		return divider.Share{}
	}
	region := p.rankingKey(entry).Region
	share, ok := p.sharesByRegion[region]
	if !ok {
		share = divider.New(region, p.view.Members(), p.view.Lost())
		if share.Empty() {
			share = divider.New("", p.view.Members(), p.view.Lost())
		}
		p.sharesByRegion[region] = share
	}
	return share
}

func (p *Placer) rankedLocked(leaf string) []*pb.Member {
	if ranked, ok := p.rankedByLeaf[leaf]; ok {
		return ranked
	}
	entry, ok := p.index.Leaf(leaf)
	if !ok {
		return nil
	}
	ranked := p.ranker.Leading(p.rankingKey(entry), candidateCount)
	p.rankedByLeaf[leaf] = ranked
	return ranked
}

func (p *Placer) rankingKey(l indexer.LeafEntry) ranker.Key {
	zone := l.Leaf.GetAvailabilityZone()
	return ranker.Key{Name: l.Leaf.GetName(), AvailabilityZone: zone, Region: p.index.Zone(zone).GetRegion()}
}

func (p *Placer) refreshLocked() {
	generation := p.view.Generation()
	index := p.source.Index()
	if generation == p.generation && index == p.index {
		return
	}
	p.generation = generation
	p.index = index
	p.rankedByLeaf = map[string][]*pb.Member{}
	p.leavesByOwner = nil
	p.sharesByRegion = map[string]divider.Share{}
	p.ranker = ranker.New(membersInService(index, p.view.Members()))
}

// membersInService returns the members outside the availability zones that operators have taken out of service,
// or all members when none remain.
func membersInService(index *indexer.Index, members []*pb.Member) []*pb.Member {
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
