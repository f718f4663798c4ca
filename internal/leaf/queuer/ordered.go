package queuer

import "time"

type (
	// ordered is a heap of waiting calls for container/heap. Each handle knows its place.
	ordered[V any] struct {
		entries []*Handle[V]
		// key orders the entries, the smallest first.
		key func(h *Handle[V]) time.Duration
		// place points to the handle's position in this heap.
		place func(h *Handle[V]) *int
	}
)

func newByDeadline[V any]() *ordered[V] {
	return &ordered[V]{
		key:   func(h *Handle[V]) time.Duration { return sinceEpoch(h.item.Deadline) },
		place: func(h *Handle[V]) *int { return &h.deadlinePosition },
	}
}

func newByFullWorth[V any]() *ordered[V] {
	return &ordered[V]{
		key:   func(h *Handle[V]) time.Duration { return sinceEpoch(h.item.FullWorthUntil) },
		place: func(h *Handle[V]) *int { return &h.classPosition },
	}
}

func newByTimeLeft[V any]() *ordered[V] {
	return &ordered[V]{
		key:   func(h *Handle[V]) time.Duration { return -sinceEpoch(h.item.Deadline) },
		place: func(h *Handle[V]) *int { return &h.classPosition },
	}
}

// Len implements heap.Interface.
func (o *ordered[V]) Len() int { return len(o.entries) }

// Less implements heap.Interface. Equal keys keep their order of arrival.
func (o *ordered[V]) Less(i, j int) bool {
	a, b := o.entries[i], o.entries[j]
	if o.key(a) != o.key(b) {
		return o.key(a) < o.key(b)
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (o *ordered[V]) Swap(i, j int) {
	o.entries[i], o.entries[j] = o.entries[j], o.entries[i]
	*o.place(o.entries[i]) = i
	*o.place(o.entries[j]) = j
}

// Push implements heap.Interface.
func (o *ordered[V]) Push(x any) {
	h := x.(*Handle[V])
	*o.place(h) = len(o.entries)
	o.entries = append(o.entries, h)
}

// Pop implements heap.Interface.
func (o *ordered[V]) Pop() any {
	last := len(o.entries) - 1
	h := o.entries[last]
	o.entries[last] = nil
	o.entries = o.entries[:last]
	*o.place(h) = -1
	return h
}

func sinceEpoch(t time.Time) time.Duration {
	return time.Duration(t.UnixNano())
}
