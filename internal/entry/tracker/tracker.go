// Package tracker keeps the newest status of each leaf at an entry node, for the searcher, which pins a snapshot
// and picks replicas by it. A long-polling pull at each owner in this region fetches the changes. Owners in
// other regions are asked only while one of their leaves is in use here. A status is dropped when its owner
// reports the removal of the leaf and when the owner is no longer a member; after a change of ownership, the
// report of the new owner is used.
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
	pullWait         = 30 * time.Second
	pullGrace        = 2 * time.Second
	useTimeout       = 10 * time.Minute
	usedAtResolution = time.Minute
)

type (
	// Messenger sends requests to owners.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// Owners returns the node that owns a leaf.
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
		// Period is the time between two readings of the local statuses, and the delay after a failed pull.
		Period time.Duration
	}

	// Tracker holds the newest status of each leaf. It is safe for concurrent use.
	Tracker struct {
		config Config
		// wake wakes Run when a leaf without a status was asked for.
		wake  chan struct{}
		mutex sync.RWMutex
		// reports holds the reports on each leaf by leaf and owner; the status of a report is never changed in
		// place.
		reports map[string]map[string]*report
		// missingUntil holds the leaves without a status that were asked for, and until when they count as in use.
		missingUntil map[string]time.Time
		// pulls holds the cancel function of each running pull by the owner's name.
		pulls map[string]context.CancelFunc
	}

	report struct {
		status *pb.LeafStatus
		// usedAt is when the report was last read, accurate to usedAtResolution, in nanoseconds since the Unix
		// epoch.
		usedAt atomic.Int64
	}
)

// New returns an empty Tracker.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, wake: make(chan struct{}, 1), reports: map[string]map[string]*report{},
		missingUntil: map[string]time.Time{}, pulls: map[string]context.CancelFunc{},
	}
}

// Run reads the local statuses periodically and keeps a pull open at each owner until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := t.config.Clock.NewTicker(t.config.Period)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		t.apply(t.config.NodeName, &pb.LeafStatuses{Statuses: t.config.Local.Statuses(), Everything: true})
		t.startPulls(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
	}
}

// Status returns the newest status of the leaf, or nil. While several nodes report on a leaf, the report of
// its current owner counts. A call marks the leaf as in use.
func (t *Tracker) Status(leaf string) *pb.LeafStatus {
	t.mutex.RLock()
	r := t.currentReportLocked(leaf)
	t.mutex.RUnlock()
	if r == nil {
		t.markMissing(leaf)
		return nil
	}
	if now := t.config.Clock.Now().UnixNano(); now-r.usedAt.Load() > int64(usedAtResolution) {
		r.usedAt.Store(now)
	}
	return r.status
}

// All returns the newest status of every leaf.
func (t *Tracker) All() []*pb.LeafStatus {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	all := make([]*pb.LeafStatus, 0, len(t.reports))
	for leaf := range t.reports {
		all = append(all, t.currentReportLocked(leaf).status)
	}
	return all
}

func (t *Tracker) currentReportLocked(leaf string) *report {
	reports := t.reports[leaf]
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

func (t *Tracker) markMissing(leaf string) {
	now := t.config.Clock.Now()
	t.mutex.Lock()
	missingUntil, wasMissing := t.missingUntil[leaf]
	t.missingUntil[leaf] = now.Add(useTimeout)
	t.mutex.Unlock()
	if wasMissing && missingUntil.After(now) {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// startPulls starts the missing pulls and ends those that are no longer needed.
func (t *Tracker) startPulls(ctx context.Context, running *sync.WaitGroup) {
	owners := t.owners()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, cancel := range t.pulls {
		if owners[name] == nil {
			cancel()
			delete(t.pulls, name)
			t.dropLocked(name, nil)
		}
	}
	for name, m := range owners {
		if t.pulls[name] == nil {
			pullCtx, cancel := context.WithCancel(ctx)
			t.pulls[name] = cancel
			running.Go(func() { t.pullFrom(pullCtx, m) })
		}
	}
}

// owners returns the other nodes to pull from: all of this region, and those of other regions that own a leaf
// in use.
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
	for leaf, until := range t.missingUntil {
		if until.Before(now) {
			delete(t.missingUntil, leaf)
			continue
		}
		leaves = append(leaves, leaf)
	}
	for leaf, reports := range t.reports {
		for _, r := range reports {
			if now.UnixNano()-r.usedAt.Load() < int64(useTimeout) {
				leaves = append(leaves, leaf)
				break
			}
		}
	}
	return leaves
}

// pullFrom pulls from one owner until the context ends.
func (t *Tracker) pullFrom(ctx context.Context, m *pb.Member) {
	pull := &pb.LeafStatusPull{Wait: durationpb.New(pullWait)}
	for ctx.Err() == nil {
		answer, err := t.pull(ctx, m, pull)
		if err != nil {
			sleeper.Sleep(ctx, t.config.Clock, t.config.Period)
			continue
		}
		t.apply(m.GetName(), answer)
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

// apply stores what an owner reports.
func (t *Tracker) apply(owner string, m *pb.LeafStatuses) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reported := make(map[string]bool, len(m.GetStatuses()))
	for _, s := range m.GetStatuses() {
		reported[s.GetLeaf()] = true
		if t.reports[s.GetLeaf()] == nil {
			t.reports[s.GetLeaf()] = map[string]*report{}
		}
		r := &report{status: s}
		if previous := t.reports[s.GetLeaf()][owner]; previous != nil {
			r.usedAt.Store(previous.usedAt.Load())
		}
		t.reports[s.GetLeaf()][owner] = r
	}
	if m.GetEverything() {
		t.dropLocked(owner, reported)
	}
	for _, leaf := range m.GetRemoved() {
		t.dropReportLocked(owner, leaf)
	}
}

// dropLocked drops the reports of the owner, except on the leaves to keep.
func (t *Tracker) dropLocked(owner string, keep map[string]bool) {
	for leaf := range t.reports {
		if !keep[leaf] {
			t.dropReportLocked(owner, leaf)
		}
	}
}

func (t *Tracker) dropReportLocked(owner, leaf string) {
	delete(t.reports[leaf], owner)
	if len(t.reports[leaf]) == 0 {
		delete(t.reports, leaf)
	}
}
