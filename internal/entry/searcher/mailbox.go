package searcher

import (
	"sync"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// mailbox is an unbounded queue of replies: any goroutine can put one without blocking, and the
	// goroutine that runs the query takes them.
	mailbox struct {
		mutex   sync.Mutex
		replies []*pb.LeafReply
		// ready holds a token when replies may be queued.
		ready chan struct{}
	}
)

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

func (m *mailbox) put(r *pb.LeafReply) {
	m.mutex.Lock()
	m.replies = append(m.replies, r)
	m.mutex.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns the queued replies and reuses the storage of spare for later ones.
func (m *mailbox) take(spare []*pb.LeafReply) []*pb.LeafReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	replies := m.replies
	m.replies = spare[:0]
	return replies
}
