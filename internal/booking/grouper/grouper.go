// Package grouper names the witnesses of a request id. The nodes that were seen and the platform's list
// of VMs flow in, the groups of an id flow out: the first few nodes by rendezvous hashing of the id, at
// most two of an availability zone where there are several. Loss of contact removes nobody, so that the
// two sides of a cut name the same group; only the platform's list does. For a while after the roster
// changed, an attempt needs the old group as well as the new one.
//
// The list may also name VMs that are no nodes. What it names when a node starts counts once it was
// seen; what it names later counts at once, because the other side of a cut may be using it already,
// and is dropped when it was not seen for long.
package grouper

import (
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	groupSize      = 5
	zonesForSpread = 3
	perZone        = 2
	missesToRemove = 2
	unseenLifetime = 10 * time.Minute
	// adoptFirst is the time for which a new node looks for one that is ready.
	adoptFirst = 2 * time.Second
)

type (
	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Grouper needs.
	Config struct {
		View  View
		Clock quartz.Clock
		// Settle is how long an old group counts besides the new one. Every node must learn of a change
		// within it.
		Settle time.Duration
	}

	// Grouper names groups. It is safe for concurrent use.
	Grouper struct {
		config    Config
		startedAt time.Time
		mutex     sync.Mutex
		// nodes has the newest description of each node in the current roster.
		nodes map[string]*pb.Member
		// misses counts the successive lists that lacked a node.
		misses map[string]int
		// rosters are the sets of nodes, newest last; there is always one.
		rosters []roster
		seen    []*pb.Member
		// listed has the names on the newest list; nil before the first.
		listed map[string]bool
		// unseen has the time at which a listed VM that was never seen as a node was added.
		unseen map[string]time.Time
		ready  bool
	}

	roster struct {
		members []*pb.Member
		// endedAt is when the next one took its place; zero for the newest.
		endedAt time.Time
	}
)

// New returns a Grouper that has seen nobody.
func New(c Config) *Grouper {
	return &Grouper{
		config: c, startedAt: c.Clock.Now(), nodes: map[string]*pb.Member{}, misses: map[string]int{},
		rosters: []roster{{}}, unseen: map[string]time.Time{},
	}
}

// ObserveList takes the platform's list of VMs. An empty list says nothing.
func (g *Grouper) ObserveList(vms []*pb.Member) {
	if len(vms) == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed := g.observeViewLocked()
	changed = g.addListedLocked(vms) || changed
	changed = g.removeUnlistedLocked() || changed
	g.turnLocked(changed)
}

// Ready tells whether this node knows the fleet well enough to be a witness: it has the roster of one
// that does, it has seen every VM on the list as a node, or it runs for long. It stays true.
func (g *Grouper) Ready() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.turnLocked(g.observeViewLocked())
	return g.ready
}

// Roster returns the nodes of the rosters in force, or nothing while this node is not ready.
func (g *Grouper) Roster() *pb.WitnessRoster {
	if !g.Ready() {
		return &pb.WitnessRoster{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	last := len(g.rosters) - 1
	current := &pb.WitnessRoster{Members: g.rosters[last].members}
	for _, r := range g.rosters[:last] {
		current.Previous = append(current.Previous, &pb.WitnessRoster{Members: r.members})
	}
	return current
}

// Adopt takes the rosters of a node that is ready; this one is as ready as that one then.
func (g *Grouper) Adopt(r *pb.WitnessRoster) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(r.GetMembers()) == 0 || g.ready {
		return
	}
	g.observeViewLocked()
	for _, m := range r.GetMembers() {
		if g.nodes[m.GetName()] == nil {
			g.nodes[m.GetName()] = m
		}
	}
	now := g.config.Clock.Now()
	g.rosters = nil
	for _, p := range append(r.GetPrevious(), r) {
		g.rosters = append(g.rosters, roster{members: p.GetMembers(), endedAt: now})
	}
	g.ready = true
	g.turnLocked(true)
}

// Groups returns the groups of the id, the current one first.
func (g *Grouper) Groups(id string) [][]*pb.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.turnLocked(g.observeViewLocked())
	groups := make([][]*pb.Member, 0, len(g.rosters))
	for i := len(g.rosters) - 1; i >= 0; i-- {
		group := choose(id, g.rosters[i].members)
		if len(group) > 0 && !slices.ContainsFunc(groups, func(o []*pb.Member) bool { return same(o, group) }) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Missing returns the groups of the id that this node counts and that are not among the groups.
func (g *Grouper) Missing(id string, groups []*pb.WitnessGroup) []*pb.WitnessGroup {
	var missing []*pb.WitnessGroup
	for _, group := range g.Groups(id) {
		names := Names(group)
		if !slices.ContainsFunc(groups, func(o *pb.WitnessGroup) bool { return slices.Equal(o.GetNodes(), names) }) {
			missing = append(missing, &pb.WitnessGroup{Nodes: names})
		}
	}
	return missing
}

// Resolve returns the members of the group, and false when one of them is not known here.
func (g *Grouper) Resolve(group *pb.WitnessGroup) ([]*pb.Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	members := make([]*pb.Member, 0, len(group.GetNodes()))
	for _, name := range group.GetNodes() {
		m := g.nodes[name]
		if m == nil {
			return nil, false
		}
		members = append(members, m)
	}
	return members, true
}

// Names returns the names of the group, ascending.
func Names(group []*pb.Member) []string {
	names := make([]string, 0, len(group))
	for _, m := range group {
		names = append(names, m.GetName())
	}
	slices.Sort(names)
	return names
}

// observeViewLocked adds the nodes that are alive and tells whether one was new.
func (g *Grouper) observeViewLocked() bool {
	g.seen = g.config.View.Members()
	changed := false
	for _, m := range g.seen {
		changed = changed || g.nodes[m.GetName()] == nil
		g.nodes[m.GetName()] = m
		delete(g.unseen, m.GetName())
	}
	return changed
}

// addListedLocked adds the VMs that were not on the list before.
func (g *Grouper) addListedLocked(vms []*pb.Member) bool {
	listed := make(map[string]bool, len(vms))
	changed := false
	for _, v := range vms {
		listed[v.GetName()] = true
		if g.listed == nil || g.listed[v.GetName()] || g.nodes[v.GetName()] != nil {
			continue
		}
		g.nodes[v.GetName()] = v
		g.unseen[v.GetName()] = g.config.Clock.Now()
		changed = true
	}
	g.listed = listed
	return changed
}

// removeUnlistedLocked removes the nodes that are neither listed nor alive, and the VMs that turned out
// not to be nodes.
func (g *Grouper) removeUnlistedLocked() bool {
	changed := false
	for name := range g.nodes {
		since, unseen := g.unseen[name]
		switch {
		case unseen && g.config.Clock.Since(since) > unseenLifetime:
			changed = true
			delete(g.nodes, name)
			delete(g.unseen, name)
		case g.listed[name] || g.liveLocked(name):
			delete(g.misses, name)
		default:
			g.misses[name]++
			if g.misses[name] >= missesToRemove {
				changed = true
				delete(g.nodes, name)
				delete(g.misses, name)
				delete(g.unseen, name)
			}
		}
	}
	return changed
}

func (g *Grouper) liveLocked(name string) bool {
	return slices.ContainsFunc(g.seen, func(m *pb.Member) bool { return m.GetName() == name })
}

// turnLocked begins a new roster after a change and forgets old ones. A node that is not ready has
// granted nothing under an older roster.
func (g *Grouper) turnLocked(changed bool) {
	now := g.config.Clock.Now()
	if changed {
		members := make([]*pb.Member, 0, len(g.nodes))
		for _, m := range g.nodes {
			members = append(members, m)
		}
		g.rosters[len(g.rosters)-1].endedAt = now
		g.rosters = append(g.rosters, roster{members: members})
	}
	wasReady := g.ready
	g.ready = g.ready || now.Sub(g.startedAt) >= unseenLifetime ||
		(now.Sub(g.startedAt) >= adoptFirst && g.sawAllListedLocked())
	g.rosters = slices.DeleteFunc(g.rosters, func(r roster) bool {
		return !r.endedAt.IsZero() && (!wasReady || now.Sub(r.endedAt) >= g.config.Settle)
	})
}

func (g *Grouper) sawAllListedLocked() bool {
	for name := range g.listed {
		if g.nodes[name] == nil || !g.unseen[name].IsZero() {
			return false
		}
	}
	return len(g.listed) > 0
}

// choose returns the group of the id among the members.
func choose(id string, members []*pb.Member) []*pb.Member {
	ranked := ranker.Rank(ranker.Key{Name: id}, members)
	limit := len(ranked)
	if countZones(members) >= zonesForSpread {
		limit = perZone
	}
	var group, rest []*pb.Member
	taken := map[string]int{}
	for _, m := range ranked {
		if len(group) < groupSize && taken[m.GetAvailabilityZone()] < limit {
			taken[m.GetAvailabilityZone()]++
			group = append(group, m)
			continue
		}
		rest = append(rest, m)
	}
	if missing := groupSize - len(group); missing > 0 {
		group = append(group, rest[:min(missing, len(rest))]...)
	}
	return group
}

func countZones(members []*pb.Member) int {
	zones := map[string]bool{}
	for _, m := range members {
		zones[m.GetAvailabilityZone()] = true
	}
	return len(zones)
}

func same(a, b []*pb.Member) bool {
	return slices.Equal(Names(a), Names(b))
}
