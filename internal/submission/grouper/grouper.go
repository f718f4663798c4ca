// Package grouper selects the groups of witnesses for a request id. It keeps a roster of nodes, from the membership
// view and the platform's list of VMs, and selects the first five by rendezvous hashing of the id, at most two in one
// availability zone where there are at least three zones. A node that cannot be reached stays in the roster, so that
// both sides of a network partition select the same group; only the platform's list removes nodes. For some time
// after the roster has changed, an attempt needs the old group as well as the new one.
//
// The list may also contain VMs that are not nodes. A VM that is on the first list joins the roster when it is seen as
// a node. A VM that is listed later joins at once, because the other side of a network partition may already use it,
// and is removed when it was not seen as a node for unseenLifetime.
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
	groupSize           = 5
	minZonesToSpread    = 3
	maxPerZone          = 2
	missedListsToRemove = 2 // successive lists without the node
	// unseenLifetime is how long a VM stays in the roster without being seen as a node.
	unseenLifetime = 10 * time.Minute
	// adoptionPeriod is the time that a new node has to adopt the roster of a ready node before it can become
	// ready by the list alone.
	adoptionPeriod = 2 * time.Second
)

type (
	// View returns the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Grouper needs.
	Config struct {
		View  View
		Clock quartz.Clock
		// RosterOverlap is how long an old group is required in addition to the new one. Every node must learn of a
		// change of the roster within this time.
		RosterOverlap time.Duration
	}

	// Grouper selects groups of witnesses. It is safe for concurrent use.
	Grouper struct {
		config    Config
		startedAt time.Time
		mutex     sync.Mutex
		// nodes has the newest description of each node in the current roster.
		nodes map[string]*pb.Member
		// missedLists counts for each node the successive lists that lacked it.
		missedLists map[string]int
		// rosters are the sets of nodes in force, the newest last; there is always one.
		rosters []roster
		// live has the members of the view when it was last read.
		live []*pb.Member
		// listed has the names on the newest list; nil before the first.
		listed map[string]bool
		// unseenSince has, for each listed VM that has not been seen as a node yet, the time at which it was added.
		unseenSince map[string]time.Time
		ready       bool
	}

	roster struct {
		members []*pb.Member
		// endedAt is when a newer roster replaced this one; zero for the newest.
		endedAt time.Time
	}
)

// New returns a Grouper with an empty roster.
func New(c Config) *Grouper {
	return &Grouper{
		config: c, startedAt: c.Clock.Now(), nodes: map[string]*pb.Member{}, missedLists: map[string]int{},
		rosters: []roster{{}}, unseenSince: map[string]time.Time{},
	}
}

// ObserveList updates the roster from the platform's list of VMs. It ignores an empty list.
func (g *Grouper) ObserveList(vms []*pb.Member) {
	if len(vms) == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed := g.observeViewLocked()
	changed = g.addListedLocked(vms) || changed
	changed = g.removeUnlistedLocked() || changed
	g.updateRostersLocked(changed)
}

// Ready reports whether this node knows the fleet well enough to be a witness: it has adopted the roster of a ready
// node, it has seen every VM on the list as a node, or it has run for unseenLifetime. Once true it stays true.
func (g *Grouper) Ready() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateRostersLocked(g.observeViewLocked())
	return g.ready
}

// Roster returns the rosters in force, or an empty one while this node is not ready.
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

// AdoptRoster takes over the rosters of a ready node, which makes this node ready too. It does nothing on a node that
// is ready already.
func (g *Grouper) AdoptRoster(r *pb.WitnessRoster) {
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
	g.updateRostersLocked(true)
}

// Groups returns the different groups of the id in all rosters in force, the current one first.
func (g *Grouper) Groups(id string) [][]*pb.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.updateRostersLocked(g.observeViewLocked())
	groups := make([][]*pb.Member, 0, len(g.rosters))
	for i := len(g.rosters) - 1; i >= 0; i-- {
		group := selectGroup(id, g.rosters[i].members)
		if len(group) > 0 && !slices.ContainsFunc(groups, func(o []*pb.Member) bool { return sameGroup(o, group) }) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Missing returns the groups that this node requires for the id and that are not among the given ones.
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

// Resolve returns the members of the group, and false when this node does not know one of them.
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

// Names returns the names of the members of the group in ascending order.
func Names(group []*pb.Member) []string {
	names := make([]string, 0, len(group))
	for _, m := range group {
		names = append(names, m.GetName())
	}
	slices.Sort(names)
	return names
}

// observeViewLocked adds the live nodes and reports whether one of them was new.
func (g *Grouper) observeViewLocked() bool {
	g.live = g.config.View.Members()
	changed := false
	for _, m := range g.live {
		changed = changed || g.nodes[m.GetName()] == nil
		g.nodes[m.GetName()] = m
		delete(g.unseenSince, m.GetName())
	}
	return changed
}

// addListedLocked adds the VMs that were not on the previous list and reports whether one of them was new. It adds
// none of the first list.
func (g *Grouper) addListedLocked(vms []*pb.Member) bool {
	listed := make(map[string]bool, len(vms))
	changed := false
	for _, v := range vms {
		listed[v.GetName()] = true
		if g.listed == nil || g.listed[v.GetName()] || g.nodes[v.GetName()] != nil {
			continue
		}
		g.nodes[v.GetName()] = v
		g.unseenSince[v.GetName()] = g.config.Clock.Now()
		changed = true
	}
	g.listed = listed
	return changed
}

// removeUnlistedLocked removes the nodes that are neither listed nor alive, and the VMs that were not seen as nodes
// for unseenLifetime. It reports whether it removed any.
func (g *Grouper) removeUnlistedLocked() bool {
	changed := false
	for name := range g.nodes {
		since, unseen := g.unseenSince[name]
		switch {
		case unseen && g.config.Clock.Since(since) > unseenLifetime:
			changed = true
			delete(g.nodes, name)
			delete(g.unseenSince, name)
		case g.listed[name] || g.isLiveLocked(name):
			delete(g.missedLists, name)
		default:
			g.missedLists[name]++
			if g.missedLists[name] >= missedListsToRemove {
				changed = true
				delete(g.nodes, name)
				delete(g.missedLists, name)
				delete(g.unseenSince, name)
			}
		}
	}
	return changed
}

func (g *Grouper) isLiveLocked(name string) bool {
	return slices.ContainsFunc(g.live, func(m *pb.Member) bool { return m.GetName() == name })
}

// updateRostersLocked starts a new roster after a change, updates ready and drops the rosters that are no longer in
// force. A node that was not ready drops all old rosters, because it granted nothing under them.
func (g *Grouper) updateRostersLocked(changed bool) {
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
		(now.Sub(g.startedAt) >= adoptionPeriod && g.allListedSeenLocked())
	g.rosters = slices.DeleteFunc(g.rosters, func(r roster) bool {
		return !r.endedAt.IsZero() && (!wasReady || now.Sub(r.endedAt) >= g.config.RosterOverlap)
	})
}

func (g *Grouper) allListedSeenLocked() bool {
	for name := range g.listed {
		if g.nodes[name] == nil || !g.unseenSince[name].IsZero() {
			return false
		}
	}
	return len(g.listed) > 0
}

// selectGroup returns the group of the id among the members.
func selectGroup(id string, members []*pb.Member) []*pb.Member {
	ranked := ranker.Rank(ranker.Key{Name: id}, members)
	limit := len(ranked)
	if countZones(members) >= minZonesToSpread {
		limit = maxPerZone
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

func sameGroup(a, b []*pb.Member) bool {
	return slices.Equal(Names(a), Names(b))
}
