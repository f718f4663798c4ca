package server

import (
	"net/http"
	"sync"
	"time"
)

// bodyReads has the requests whose bodies are being read, so that a planned stop can end the wait for them. It is safe
// for concurrent use.
type bodyReads struct {
	mutex sync.Mutex
	// deadlines has the read deadline of each.
	deadlines map[*http.ResponseController]time.Time
	// endAt is when all reads end at the latest; zero as long as the node does not stop.
	endAt time.Time
}

// begin sets the read deadline of a request whose body is about to be read.
func (b *bodyReads) begin(c *http.ResponseController, deadline time.Time) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.endAt.IsZero() && b.endAt.Before(deadline) {
		deadline = b.endAt
	}
	b.deadlines[c] = deadline
	return c.SetReadDeadline(deadline)
}

// end is called when the body has been read or is not read any further. The read deadline is left as it is.
func (b *bodyReads) end(c *http.ResponseController) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.deadlines, c)
}

// stop makes all reads end by a time.
func (b *bodyReads) stop(endAt time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.endAt = endAt
	for c, deadline := range b.deadlines {
		if endAt.Before(deadline) {
			// The connection is closed if this fails.
			_ = c.SetReadDeadline(endAt)
		}
	}
}

// ended reports whether all reads have been made to end.
func (b *bodyReads) ended(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.endAt.IsZero() && !now.Before(b.endAt)
}
