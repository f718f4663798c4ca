// Package queuer orders the calls that wait for one leaf. Calls with their class, worth and deadlines flow
// in; the next call to send, or the calls that cannot finish in time any more, flow out.
//
// Classes share the leaf by weighted fair queueing (stride scheduling) with the worth as weight, so no
// class with work and time starves. Within a class the call that loses its full worth soonest goes first;
// a call that has already lost full worth waits behind those that have not. Under overload the calls that
// are sent thus still bring their full worth, while first in, first out would send each call just before
// its deadline.
package queuer

import (
	"container/heap"
	"time"
)

const (
	minWorth = 1e-6 // a weight must be above zero
)

type (
	// Item is one call that waits.
	Item[V any] struct {
		Class string
		// Worth is the weight of the class, above 0.
		Worth float64
		// FullWorthUntil is when the answer begins to lose worth, at most Deadline.
		FullWorthUntil time.Time
		// Deadline is when the answer is worth nothing.
		Deadline time.Time
		Value    V
	}

	// Handle identifies a waiting call.
	Handle[V any] struct {
		item     Item[V]
		class    *class[V]
		sequence uint64
		// positions are the places in the heap by deadline and in the heap of the class; -1 is none.
		deadlinePosition int
		classPosition    int
		stale            bool
	}

	// Queuer is the queue of one leaf. It is not safe for concurrent use.
	Queuer[V any] struct {
		classes map[string]*class[V]
		// order has the classes in the order of their first call; ties go to the first.
		order []*class[V]
		// byDeadline has every waiting call, the earliest deadline first.
		byDeadline *ordered[V]
		// virtual is the pass of the class that was served last.
		virtual  float64
		sequence uint64
	}

	class[V any] struct {
		// pass grows by 1/worth with each call served; the smallest is served next.
		pass float64
		// fresh has calls that can bring their full worth, the most urgent first.
		fresh *ordered[V]
		// stale has the others, the one with the most time left first.
		stale *ordered[V]
	}
)

// New returns an empty Queuer.
func New[V any]() *Queuer[V] {
	return &Queuer[V]{classes: map[string]*class[V]{}, byDeadline: newByDeadline[V]()}
}

// Push adds a call.
func (q *Queuer[V]) Push(i Item[V]) *Handle[V] {
	i.Worth = max(minWorth, i.Worth)
	c := q.classes[i.Class]
	if c == nil {
		c = &class[V]{fresh: newByFullWorth[V](), stale: newByTimeLeft[V]()}
		q.classes[i.Class] = c
		q.order = append(q.order, c)
	}
	if c.empty() {
		c.pass = max(c.pass, q.virtual)
	}
	q.sequence++
	h := &Handle[V]{item: i, class: c, sequence: q.sequence}
	heap.Push(c.fresh, h)
	heap.Push(q.byDeadline, h)
	return h
}

// Pop removes the next call to send. latency is the time that a call is expected to take. Calls that
// Hopeless would return are not popped.
func (q *Queuer[V]) Pop(now time.Time, latency time.Duration) (V, bool) {
	finish := now.Add(latency)
	var next *class[V]
	for _, c := range q.order {
		c.age(finish)
		if c.usable(finish) && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		var none V
		return none, false
	}
	h := next.head()
	q.virtual = next.pass
	next.pass += 1 / h.item.Worth
	q.remove(h)
	return h.item.Value, true
}

// Hopeless removes and returns the calls that cannot finish before their deadlines.
func (q *Queuer[V]) Hopeless(now time.Time, latency time.Duration) []V {
	finish := now.Add(latency)
	var hopeless []V
	for q.byDeadline.Len() > 0 && q.byDeadline.entries[0].item.Deadline.Before(finish) {
		h := q.byDeadline.entries[0]
		q.remove(h)
		hopeless = append(hopeless, h.item.Value)
	}
	return hopeless
}

// NextDeadline returns the earliest deadline of the waiting calls.
func (q *Queuer[V]) NextDeadline() (time.Time, bool) {
	if q.byDeadline.Len() == 0 {
		return time.Time{}, false
	}
	return q.byDeadline.entries[0].item.Deadline, true
}

// Remove takes a call out. It returns false when the call does not wait any more.
func (q *Queuer[V]) Remove(h *Handle[V]) bool {
	if h.deadlinePosition < 0 {
		return false
	}
	q.remove(h)
	return true
}

// Drain removes and returns all calls, the earliest deadline first.
func (q *Queuer[V]) Drain() []V {
	values := make([]V, 0, q.Len())
	for q.byDeadline.Len() > 0 {
		h := q.byDeadline.entries[0]
		q.remove(h)
		values = append(values, h.item.Value)
	}
	return values
}

// Len returns the number of waiting calls.
func (q *Queuer[V]) Len() int {
	return q.byDeadline.Len()
}

func (q *Queuer[V]) remove(h *Handle[V]) {
	heap.Remove(q.byDeadline, h.deadlinePosition)
	heap.Remove(h.class.heapOf(h), h.classPosition)
}

// age moves the calls that cannot finish with their full worth from fresh to stale.
func (c *class[V]) age(finish time.Time) {
	for c.fresh.Len() > 0 && c.fresh.entries[0].item.FullWorthUntil.Before(finish) {
		h := c.fresh.entries[0]
		heap.Remove(c.fresh, h.classPosition)
		h.stale = true
		heap.Push(c.stale, h)
	}
}

func (c *class[V]) empty() bool {
	return c.fresh.Len() == 0 && c.stale.Len() == 0
}

// usable tells whether the head can finish before its deadline.
func (c *class[V]) usable(finish time.Time) bool {
	return !c.empty() && !c.head().item.Deadline.Before(finish)
}

func (c *class[V]) head() *Handle[V] {
	if c.fresh.Len() > 0 {
		return c.fresh.entries[0]
	}
	return c.stale.entries[0]
}

func (c *class[V]) heapOf(h *Handle[V]) *ordered[V] {
	if h.stale {
		return c.stale
	}
	return c.fresh
}
