// Package tracker keeps what is known of every leaf on an entry node. Statuses flow in from the owners,
// by a periodic pull and with each reply; the searcher reads them to pin a snapshot and to pick replicas.
package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
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

	// LocalStatuses returns the statuses of the leaves that this node owns.
	LocalStatuses interface {
		Statuses() []*pb.LeafStatus
	}

	// Config holds what a Tracker needs.
	Config struct {
		NodeName  string
		Messenger Messenger
		View      View
		Local     LocalStatuses
		Clock     quartz.Clock
		// Period is the time between two pulls.
		Period time.Duration
	}

	// Tracker holds the newest status of each leaf. It is safe for concurrent use.
	Tracker struct {
		config Config
		mutex  sync.RWMutex
		// statuses is replaced entry by entry; a status is never changed in place.
		statuses map[string]*pb.LeafStatus
	}
)

// New returns an empty Tracker.
func New(c Config) *Tracker {
	return &Tracker{config: c, statuses: map[string]*pb.LeafStatus{}}
}

// Run pulls statuses until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := t.config.Clock.NewTicker(t.config.Period)
	defer ticker.Stop()
	for {
		t.pullAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Status returns the newest status of the leaf, or nil.
func (t *Tracker) Status(leaf string) *pb.LeafStatus {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.statuses[leaf]
}

// All returns the newest status of every leaf.
func (t *Tracker) All() []*pb.LeafStatus {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	all := make([]*pb.LeafStatus, 0, len(t.statuses))
	for _, s := range t.statuses {
		all = append(all, s)
	}
	return all
}

func (t *Tracker) pullAll(ctx context.Context) {
	var pulls sync.WaitGroup
	for _, m := range t.config.View.Members() {
		if m.GetName() == t.config.NodeName {
			t.store(t.config.Local.Statuses())
			continue
		}
		pulls.Go(func() { t.pull(ctx, m) })
	}
	pulls.Wait()
}

func (t *Tracker) pull(ctx context.Context, m *pb.Member) {
	ctx, cancel := context.WithTimeout(ctx, t.config.Period)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_LeafStatusPull{LeafStatusPull: &pb.LeafStatusPull{}}}
	reply, err := t.config.Messenger.Call(ctx, m.GetPeerAddress(), messenger.PlaneControl, frame)
	if err != nil {
		return
	}
	t.store(reply.GetLeafStatuses().GetStatuses())
}

func (t *Tracker) store(statuses []*pb.LeafStatus) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, s := range statuses {
		t.statuses[s.GetLeaf()] = s
	}
}
