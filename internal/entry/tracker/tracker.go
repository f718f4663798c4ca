// Package tracker keeps what is known of every leaf on an entry node. A waiting pull at each owner of
// this region brings its changes in; the searcher reads the statuses to pin a snapshot and to pick
// replicas. Owners of other regions are asked only while one of their leaves is in use here. A status
// goes when its owner says so, when the owner is gone, and when another node owns the leaf.
package tracker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	pullWait   = 30 * time.Second
	pullGrace  = 2 * time.Second
	wantedFor  = 10 * time.Minute
	markPeriod = time.Minute
)

type (
	// Messenger asks owners.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// View lists the nodes to ask.
	View interface {
		Members() []*pb.Member
	}

	// Owners tells which node owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// LocalStatuses returns the statuses of the leaves that this node owns.
	LocalStatuses interface {
		Statuses() []*pb.LeafStatus
	}

	// Config holds what a Tracker needs.
	Config struct {
		NodeName  string
		Region    string
		Messenger Messenger
		View      View
		Owners    Owners
		Local     LocalStatuses
		Clock     quartz.Clock
		// Period is the time between two readings of the local statuses, and the pause after a failed pull.
		Period time.Duration
	}

	// Tracker holds the newest status of each leaf. It is safe for concurrent use.
	Tracker struct {
		config Config
		// asked wakes Run when a leaf without a status was asked for.
		asked chan struct{}
		mutex sync.RWMutex
		// statuses has the reports of each leaf by owner; a report is never changed in place.
		statuses map[string]map[string]*report
		// wanted has the leaves without a status that were asked for, and until when they count.
		wanted map[string]time.Time
		// pulls has the end of each running pull by the owner's name.
		pulls map[string]context.CancelFunc
	}

	report struct {
		status *pb.LeafStatus
		// usedAt is when the report was read, within a minute, in nanoseconds since the Unix epoch.
		usedAt atomic.Int64
	}
)

// New returns an empty Tracker.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, asked: make(chan struct{}, 1), statuses: map[string]map[string]*report{},
		wanted: map[string]time.Time{}, pulls: map[string]context.CancelFunc{},
	}
}

// Run keeps pulls open until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := t.config.Clock.NewTicker(t.config.Period)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		t.take(t.config.NodeName, &pb.LeafStatuses{Statuses: t.config.Local.Statuses(), Everything: true})
		t.startPulls(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.asked:
		}
	}
}

// Status returns the newest status of the leaf, or nil. While several nodes report on a leaf, the report
// of its present owner counts.
func (t *Tracker) Status(leaf string) *pb.LeafStatus {
	t.mutex.RLock()
	r := t.bestLocked(leaf)
	t.mutex.RUnlock()
	if r == nil {
		t.want(leaf)
		return nil
	}
	if now := t.config.Clock.Now().UnixNano(); now-r.usedAt.Load() > int64(markPeriod) {
		r.usedAt.Store(now)
	}
	return r.status
}

// All returns the newest status of every leaf.
func (t *Tracker) All() []*pb.LeafStatus {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	all := make([]*pb.LeafStatus, 0, len(t.statuses))
	for leaf := range t.statuses {
		all = append(all, t.bestLocked(leaf).status)
	}
	return all
}

func (t *Tracker) bestLocked(leaf string) *report {
	reports := t.statuses[leaf]
	if len(reports) > 1 {
		if r := reports[t.config.Owners.Owner(leaf).GetName()]; r != nil {
			return r
		}
	}
	name := ""
	for owner := range reports {
		if name == "" || owner < name {
			name = owner
		}
	}
	return reports[name]
}

func (t *Tracker) want(leaf string) {
	now := t.config.Clock.Now()
	t.mutex.Lock()
	until, known := t.wanted[leaf]
	t.wanted[leaf] = now.Add(wantedFor)
	t.mutex.Unlock()
	if known && until.After(now) {
		return
	}
	select {
	case t.asked <- struct{}{}:
	default:
	}
}

// startPulls starts the pulls that are missing, and ends those that are no longer needed.
func (t *Tracker) startPulls(ctx context.Context, running *sync.WaitGroup) {
	owners := t.owners()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, end := range t.pulls {
		if owners[name] == nil {
			end()
			delete(t.pulls, name)
			t.dropLocked(name, nil)
		}
	}
	for name, m := range owners {
		if t.pulls[name] == nil {
			pullContext, end := context.WithCancel(ctx)
			t.pulls[name] = end
			running.Go(func() { t.follow(pullContext, m) })
		}
	}
}

// owners returns the other nodes to ask: all of this region, and owners elsewhere of leaves in use.
func (t *Tracker) owners() map[string]*pb.Member {
	members := map[string]*pb.Member{}
	owners := map[string]*pb.Member{}
	for _, m := range t.config.View.Members() {
		members[m.GetName()] = m
		if m.GetRegion() == t.config.Region {
			owners[m.GetName()] = m
		}
	}
	for _, leaf := range t.leavesInUse() {
		owner := t.config.Owners.Owner(leaf).GetName()
		if m := members[owner]; m != nil {
			owners[owner] = m
		}
	}
	delete(owners, t.config.NodeName)
	return owners
}

func (t *Tracker) leavesInUse() []string {
	now := t.config.Clock.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var leaves []string
	for leaf, until := range t.wanted {
		if until.Before(now) {
			delete(t.wanted, leaf)
			continue
		}
		leaves = append(leaves, leaf)
	}
	for leaf, reports := range t.statuses {
		for _, r := range reports {
			if now.UnixNano()-r.usedAt.Load() < int64(wantedFor) {
				leaves = append(leaves, leaf)
				break
			}
		}
	}
	return leaves
}

// follow pulls from one owner until the context ends.
func (t *Tracker) follow(ctx context.Context, m *pb.Member) {
	pull := &pb.LeafStatusPull{Wait: durationpb.New(pullWait)}
	for ctx.Err() == nil {
		answer, err := t.pull(ctx, m, pull)
		if err != nil {
			sleeper.Sleep(ctx, t.config.Clock, t.config.Period)
			continue
		}
		t.take(m.GetName(), answer)
		pull.Epoch, pull.Generation = answer.GetEpoch(), answer.GetGeneration()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pulls[m.GetName()] == nil {
		t.dropLocked(m.GetName(), nil)
	}
}

func (t *Tracker) pull(ctx context.Context, m *pb.Member, pull *pb.LeafStatusPull) (*pb.LeafStatuses, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+pullGrace)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_LeafStatusPull{LeafStatusPull: pull}}
	reply, err := t.config.Messenger.Call(ctx, m.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		return nil, err
	}
	return reply.GetLeafStatuses(), nil
}

// take stores what an owner reports.
func (t *Tracker) take(owner string, m *pb.LeafStatuses) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := make(map[string]bool, len(m.GetStatuses()))
	for _, s := range m.GetStatuses() {
		kept[s.GetLeaf()] = true
		if t.statuses[s.GetLeaf()] == nil {
			t.statuses[s.GetLeaf()] = map[string]*report{}
		}
		r := &report{status: s}
		if before := t.statuses[s.GetLeaf()][owner]; before != nil {
			r.usedAt.Store(before.usedAt.Load())
		}
		t.statuses[s.GetLeaf()][owner] = r
	}
	if m.GetEverything() {
		t.dropLocked(owner, kept)
	}
	for _, leaf := range m.GetRemoved() {
		t.dropOneLocked(owner, leaf)
	}
}

// dropLocked forgets what the owner reported, but for the leaves to keep.
func (t *Tracker) dropLocked(owner string, keep map[string]bool) {
	for leaf := range t.statuses {
		if !keep[leaf] {
			t.dropOneLocked(owner, leaf)
		}
	}
}

func (t *Tracker) dropOneLocked(owner, leaf string) {
	delete(t.statuses[leaf], owner)
	if len(t.statuses[leaf]) == 0 {
		delete(t.statuses, leaf)
	}
}
