// Package publisher serves status changes of the leaves that this node owns to entry nodes. It reads the
// statuses periodically and assigns the next generation to each change that matters to an entry. An entry sends
// the generation that it has and gets everything newer. Its request waits for a change (long polling), so that
// nothing is sent while nothing changes.
package publisher

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	maxWait = time.Minute
	// removalRetention is how long the removal of a leaf that is no longer owned is reported.
	removalRetention = 5 * time.Minute
	// significantFactor is the least factor between two durations or limits that counts as a change.
	significantFactor = 2
	// minDuration is the resolution of the comparison: shorter durations count as equal to it.
	minDuration = time.Millisecond
)

type (
	// LocalStatuses returns the statuses of the leaves that this node owns.
	LocalStatuses interface {
		Statuses() []*pb.LeafStatus
	}

	// Config holds what a Publisher needs.
	Config struct {
		Local LocalStatuses
		Clock quartz.Clock
		// Period is the time between two readings of the statuses.
		Period time.Duration
		// Epoch is the start of this process in nanoseconds since the Unix epoch. Generations are comparable
		// only within one epoch.
		Epoch int64
	}

	// Publisher numbers the changes of statuses and serves them. It is safe for concurrent use.
	Publisher struct {
		config Config
		mutex  sync.Mutex
		// generation grows with each change.
		generation uint64
		published  map[string]publishedStatus
		removed    map[string]removal
		// trimmedUpTo is the newest generation of a removal that is no longer kept.
		trimmedUpTo uint64
		// changed is closed and replaced whenever generation grows.
		changed chan struct{}
	}

	publishedStatus struct {
		status     *pb.LeafStatus
		generation uint64
	}

	removal struct {
		generation uint64
		at         time.Time
	}
)

// New returns a Publisher that has not read any status yet.
func New(c Config) *Publisher {
	return &Publisher{
		config: c, generation: 1, published: map[string]publishedStatus{}, removed: map[string]removal{},
		changed: make(chan struct{}),
	}
}

// Run reads the statuses periodically until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := p.config.Clock.NewTicker(p.config.Period)
	defer ticker.Stop()
	for {
		p.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh reads the statuses now.
func (p *Publisher) Refresh() {
	statuses := p.config.Local.Statuses()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.generation
	owned := make(map[string]bool, len(statuses))
	for _, s := range statuses {
		owned[s.GetLeaf()] = true
		p.publishLocked(s)
	}
	for leaf := range p.published {
		if !owned[leaf] {
			p.generation++
			p.removed[leaf] = removal{generation: p.generation, at: p.config.Clock.Now()}
			delete(p.published, leaf)
		}
	}
	p.trimLocked()
	if p.generation != previous {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// Pull returns as soon as there is something newer than what the asking node has, or when its wait is over.
func (p *Publisher) Pull(ctx context.Context, m *pb.LeafStatusPull) *pb.LeafStatuses {
	timer := p.config.Clock.NewTimer(min(m.GetWait().AsDuration(), maxWait))
	defer timer.Stop()
	for {
		answer, changed := p.newerThan(m)
		if answer.GetEverything() || answer.GetGeneration() > m.GetGeneration() || m.GetWait().AsDuration() <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

func (p *Publisher) newerThan(m *pb.LeafStatusPull) (*pb.LeafStatuses, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	answer := &pb.LeafStatuses{Epoch: p.config.Epoch, Generation: p.generation}
	after := m.GetGeneration()
	if m.GetEpoch() != p.config.Epoch || after < p.trimmedUpTo {
		answer.Everything = true
		after = 0
	}
	for _, s := range p.published {
		if s.generation > after {
			answer.Statuses = append(answer.Statuses, s.status)
		}
	}
	for leaf, r := range p.removed {
		if r.generation > after && !answer.GetEverything() {
			answer.Removed = append(answer.Removed, leaf)
		}
	}
	return answer, p.changed
}

func (p *Publisher) publishLocked(s *pb.LeafStatus) {
	last, ok := p.published[s.GetLeaf()]
	if ok && !significantChange(last.status, s) {
		return
	}
	p.generation++
	p.published[s.GetLeaf()] = publishedStatus{status: s, generation: p.generation}
	delete(p.removed, s.GetLeaf())
}

func (p *Publisher) trimLocked() {
	now := p.config.Clock.Now()
	for leaf, r := range p.removed {
		if now.Sub(r.at) > removalRetention {
			p.trimmedUpTo = max(p.trimmedUpTo, r.generation)
			delete(p.removed, leaf)
		}
	}
}

// significantChange reports whether an entry would act differently on the current status. Counts of running
// calls and small changes of estimates are left out, because each reply carries current values.
func significantChange(last, current *pb.LeafStatus) bool {
	if last.GetDraining() != current.GetDraining() || last.GetReachable() != current.GetReachable() ||
		last.GetCold() != current.GetCold() || last.GetIncarnation() != current.GetIncarnation() ||
		len(last.GetSnapshots()) != len(current.GetSnapshots()) {
		return true
	}
	for i, s := range last.GetSnapshots() {
		if !proto.Equal(s, current.GetSnapshots()[i]) {
			return true
		}
	}
	return differ(last.GetLimit(), current.GetLimit(), 1) ||
		differ(last.GetExpectedLatency().AsDuration().Seconds(), current.GetExpectedLatency().AsDuration().Seconds(),
			minDuration.Seconds()) ||
		differ(last.GetExpectedWait().AsDuration().Seconds(), current.GetExpectedWait().AsDuration().Seconds(),
			minDuration.Seconds())
}

// differ reports whether the values, raised to at least floor, differ by significantFactor or more.
func differ(a, b, floor float64) bool {
	a, b = max(a, floor), max(b, floor)
	return a >= significantFactor*b || b >= significantFactor*a
}
