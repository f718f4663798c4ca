package searcher

import (
	"sync"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// mailbox takes replies from any goroutine without blocking it and keeps them for the one goroutine
	// that runs the query.
	mailbox struct {
		mutex   sync.Mutex
		replies []*pb.LeafReply
		// ready holds a token whenever replies may be there.
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

// take returns the replies and keeps the empty spare for later ones.
func (m *mailbox) take(spare []*pb.LeafReply) []*pb.LeafReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	replies := m.replies
	m.replies = spare[:0]
	return replies
}
