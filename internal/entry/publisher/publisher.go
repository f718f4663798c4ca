// Package publisher tells entry nodes what has changed in the leaves that this node owns. The statuses
// of owned leaves flow in periodically; each change that matters to an entry gets the next generation,
// and what is newer than the generation that an entry names flows out. An entry asks with a wait, so
// that nothing is sent while nothing changes.
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
	// removedKeepFor is how long a leaf that is no longer owned is named to those that ask.
	removedKeepFor = 5 * time.Minute
	// changeFactor between two durations or limits makes a change that matters.
	changeFactor = 2
	// smallDuration and what is below count as one.
	smallDuration = time.Millisecond
)

type (
	// Local returns the statuses of the leaves that this node owns.
	Local interface {
		Statuses() []*pb.LeafStatus
	}

	// Config holds what a Publisher needs.
	Config struct {
		Local Local
		Clock quartz.Clock
		// Period is the time between two readings of the statuses.
		Period time.Duration
		// Epoch is the start of this process in nanoseconds since the Unix epoch; generations belong to it.
		Epoch int64
	}

	// Publisher numbers the changes of statuses. It is safe for concurrent use.
	Publisher struct {
		config Config
		mutex  sync.Mutex
		// generation grows with each change.
		generation uint64
		published  map[string]published
		removed    map[string]removal
		// trimmed is the generation up to which removals were forgotten.
		trimmed uint64
		// changed is closed and replaced with each growth of generation.
		changed chan struct{}
	}

	published struct {
		status     *pb.LeafStatus
		generation uint64
	}

	removal struct {
		generation uint64
		at         time.Time
	}
)

// New returns a Publisher that has read nothing yet.
func New(c Config) *Publisher {
	return &Publisher{
		config: c, generation: 1, published: map[string]published{}, removed: map[string]removal{},
		changed: make(chan struct{}),
	}
}

// Run reads the statuses until the context ends.
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
	before := p.generation
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
	if p.generation != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// Pull answers when there is something newer than what the asking node has, or when its wait is over.
func (p *Publisher) Pull(ctx context.Context, m *pb.LeafStatusPull) *pb.LeafStatuses {
	timer := p.config.Clock.NewTimer(min(m.GetWait().AsDuration(), maxWait))
	defer timer.Stop()
	for {
		answer, changed := p.newer(m)
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

func (p *Publisher) newer(m *pb.LeafStatusPull) (*pb.LeafStatuses, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	answer := &pb.LeafStatuses{Epoch: p.config.Epoch, Generation: p.generation}
	after := m.GetGeneration()
	if m.GetEpoch() != p.config.Epoch || after < p.trimmed {
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
	if ok && !matters(last.status, s) {
		return
	}
	p.generation++
	p.published[s.GetLeaf()] = published{status: s, generation: p.generation}
	delete(p.removed, s.GetLeaf())
}

func (p *Publisher) trimLocked() {
	now := p.config.Clock.Now()
	for leaf, r := range p.removed {
		if now.Sub(r.at) > removedKeepFor {
			p.trimmed = max(p.trimmed, r.generation)
			delete(p.removed, leaf)
		}
	}
}

// matters tells whether an entry would act differently on the newer status. Counts of running calls and
// small moves of estimates do not count: each reply carries fresh ones.
func matters(last, now *pb.LeafStatus) bool {
	if last.GetDraining() != now.GetDraining() || last.GetReachable() != now.GetReachable() ||
		last.GetCold() != now.GetCold() || last.GetIncarnation() != now.GetIncarnation() ||
		len(last.GetSnapshots()) != len(now.GetSnapshots()) {
		return true
	}
	for i, s := range last.GetSnapshots() {
		if !proto.Equal(s, now.GetSnapshots()[i]) {
			return true
		}
	}
	return apart(last.GetLimit(), now.GetLimit(), 1) ||
		apart(last.GetExpectedLatency().AsDuration().Seconds(), now.GetExpectedLatency().AsDuration().Seconds(),
			smallDuration.Seconds()) ||
		apart(last.GetExpectedWait().AsDuration().Seconds(), now.GetExpectedWait().AsDuration().Seconds(),
			smallDuration.Seconds())
}

func apart(a, b, floor float64) bool {
	a, b = max(a, floor), max(b, floor)
	return a >= changeFactor*b || b >= changeFactor*a
}
