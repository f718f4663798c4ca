package queuer

import "time"

type (
	// callHeap implements heap.Interface for queued calls. Each handle stores its position, so that a call can
	// be removed from the middle.
	callHeap[V any] struct {
		entries []*Handle[V]
		// key is the sort key of an entry, the smallest first.
		key func(h *Handle[V]) time.Duration
		// position returns a pointer to the field that holds the handle's position in this heap.
		position func(h *Handle[V]) *int
	}
)

func newDeadlineHeap[V any]() *callHeap[V] {
	return &callHeap[V]{
		key:      func(h *Handle[V]) time.Duration { return sinceEpoch(h.item.Deadline) },
		position: func(h *Handle[V]) *int { return &h.deadlinePosition },
	}
}

func newFullWorthHeap[V any]() *callHeap[V] {
	return &callHeap[V]{
		key:      func(h *Handle[V]) time.Duration { return sinceEpoch(h.item.FullWorthUntil) },
		position: func(h *Handle[V]) *int { return &h.classPosition },
	}
}

func newLatestDeadlineHeap[V any]() *callHeap[V] {
	return &callHeap[V]{
		key:      func(h *Handle[V]) time.Duration { return -sinceEpoch(h.item.Deadline) },
		position: func(h *Handle[V]) *int { return &h.classPosition },
	}
}

// Len implements heap.Interface.
func (c *callHeap[V]) Len() int { return len(c.entries) }

// Less implements heap.Interface. Equal keys keep their order of arrival.
func (c *callHeap[V]) Less(i, j int) bool {
	a, b := c.entries[i], c.entries[j]
	if c.key(a) != c.key(b) {
		return c.key(a) < c.key(b)
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (c *callHeap[V]) Swap(i, j int) {
	c.entries[i], c.entries[j] = c.entries[j], c.entries[i]
	*c.position(c.entries[i]) = i
	*c.position(c.entries[j]) = j
}

// Push implements heap.Interface.
func (c *callHeap[V]) Push(x any) {
	h := x.(*Handle[V])
	*c.position(h) = len(c.entries)
	c.entries = append(c.entries, h)
}

// Pop implements heap.Interface.
func (c *callHeap[V]) Pop() any {
	last := len(c.entries) - 1
	h := c.entries[last]
	c.entries[last] = nil
	c.entries = c.entries[:last]
	*c.position(h) = -1
	return h
}

func sinceEpoch(t time.Time) time.Duration {
	return time.Duration(t.UnixNano())
}
