// Package queuer implements the scheduling queue for the calls to one leaf. From the class, the worth and the
// deadlines of the calls it selects the next call to send and the calls that can no longer finish in time.
//
// Classes share the leaf by weighted fair queueing (stride scheduling) with the worth as weight, so that no
// class with calls that can still finish in time starves. Within a class the call that loses its full
// worth soonest is sent first; calls that can no longer deliver their full worth come after those that can.
// Under overload the calls that are sent therefore still deliver their full worth, whereas a first-in,
// first-out queue would send each call just before its deadline.
package queuer

import (
	"container/heap"
	"time"
)

const (
	minWorth = 1e-6 // a weight must be above zero, because a class's pass grows by 1/worth
)

type (
	// Item is one queued call.
	Item[V any] struct {
		Class string
		// Worth is the weight of the class, above 0.
		Worth float64
		// FullWorthUntil is when the answer starts to lose worth; it is not after Deadline.
		FullWorthUntil time.Time
		// Deadline is when the answer has lost all its worth.
		Deadline time.Time
		Value    V
	}

	// Handle identifies a queued call.
	Handle[V any] struct {
		item     Item[V]
		class    *class[V]
		sequence uint64
		// deadlinePosition and classPosition are the indexes in the heap by deadline and in the heap of the
		// class; -1 means not in the heap.
		deadlinePosition int
		classPosition    int
		inReducedWorth   bool
	}

	// Queuer is the queue of one leaf. It is not safe for concurrent use.
	Queuer[V any] struct {
		classes map[string]*class[V]
		// classOrder has the classes in the order of their first calls; on equal passes the earlier class wins.
		classOrder []*class[V]
		// byDeadline has all queued calls, the earliest deadline first.
		byDeadline *callHeap[V]
		// virtualTime is the pass, before it grew, of the class that was served last. A class that was empty
		// starts no lower, so that it gets no credit for its idle time.
		virtualTime  float64
		lastSequence uint64
	}

	class[V any] struct {
		// pass grows by 1/worth with each call served; the class with the smallest pass is served next.
		pass float64
		// fullWorth has the calls that can still deliver their full worth, the earliest FullWorthUntil first.
		fullWorth *callHeap[V]
		// reducedWorth has the other calls, the one with the latest deadline first.
		reducedWorth *callHeap[V]
	}
)

// New returns an empty Queuer.
func New[V any]() *Queuer[V] {
	return &Queuer[V]{classes: map[string]*class[V]{}, byDeadline: newDeadlineHeap[V]()}
}

// Push adds a call to the queue.
func (q *Queuer[V]) Push(i Item[V]) *Handle[V] {
	i.Worth = max(minWorth, i.Worth)
	c := q.classes[i.Class]
	if c == nil {
		c = &class[V]{fullWorth: newFullWorthHeap[V](), reducedWorth: newLatestDeadlineHeap[V]()}
		q.classes[i.Class] = c
		q.classOrder = append(q.classOrder, c)
	}
	if c.empty() {
		c.pass = max(c.pass, q.virtualTime)
	}
	q.lastSequence++
	h := &Handle[V]{item: i, class: c, sequence: q.lastSequence}
	heap.Push(c.fullWorth, h)
	heap.Push(q.byDeadline, h)
	return h
}

// Pop removes and returns the next call to send. latency is the expected duration of a call. Pop does not
// return calls that RemoveInfeasible would return.
func (q *Queuer[V]) Pop(now time.Time, latency time.Duration) (V, bool) {
	finish := now.Add(latency)
	var next *class[V]
	for _, c := range q.classOrder {
		c.moveReducedWorth(finish)
		if c.headFeasible(finish) && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		var none V
		return none, false
	}
	h := next.head()
	q.virtualTime = next.pass
	next.pass += 1 / h.item.Worth
	q.remove(h)
	return h.item.Value, true
}

// RemoveInfeasible removes and returns the calls that would finish after their deadlines if they were sent now.
func (q *Queuer[V]) RemoveInfeasible(now time.Time, latency time.Duration) []V {
	finish := now.Add(latency)
	var infeasible []V
	for q.byDeadline.Len() > 0 && q.byDeadline.entries[0].item.Deadline.Before(finish) {
		h := q.byDeadline.entries[0]
		q.remove(h)
		infeasible = append(infeasible, h.item.Value)
	}
	return infeasible
}

// NextDeadline returns the earliest deadline of the queued calls. It returns false when the queue is empty.
func (q *Queuer[V]) NextDeadline() (time.Time, bool) {
	if q.byDeadline.Len() == 0 {
		return time.Time{}, false
	}
	return q.byDeadline.entries[0].item.Deadline, true
}

// Remove removes a call from the queue. It returns false when the call is no longer queued.
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

// Len returns the number of queued calls.
func (q *Queuer[V]) Len() int {
	return q.byDeadline.Len()
}

func (q *Queuer[V]) remove(h *Handle[V]) {
	heap.Remove(q.byDeadline, h.deadlinePosition)
	heap.Remove(h.class.heapOf(h), h.classPosition)
}

// moveReducedWorth moves the calls that can no longer deliver their full worth from fullWorth to reducedWorth.
func (c *class[V]) moveReducedWorth(finish time.Time) {
	for c.fullWorth.Len() > 0 && c.fullWorth.entries[0].item.FullWorthUntil.Before(finish) {
		h := c.fullWorth.entries[0]
		heap.Remove(c.fullWorth, h.classPosition)
		h.inReducedWorth = true
		heap.Push(c.reducedWorth, h)
	}
}

func (c *class[V]) empty() bool {
	return c.fullWorth.Len() == 0 && c.reducedWorth.Len() == 0
}

// headFeasible tells whether the class has a call at its head that can finish before its deadline.
func (c *class[V]) headFeasible(finish time.Time) bool {
	return !c.empty() && !c.head().item.Deadline.Before(finish)
}

// head returns the next call of a class that is not empty.
func (c *class[V]) head() *Handle[V] {
	if c.fullWorth.Len() > 0 {
		return c.fullWorth.entries[0]
	}
	return c.reducedWorth.entries[0]
}

func (c *class[V]) heapOf(h *Handle[V]) *callHeap[V] {
	if h.inReducedWorth {
		return c.reducedWorth
	}
	return c.fullWorth
}
