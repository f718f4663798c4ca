package queuer_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/queuer"
)

const (
	leafSlots     = 6
	serviceMean   = 20 * time.Millisecond
	simulatedTime = 30 * time.Second
	timeStep      = 500 * time.Microsecond
)

type (
	// demand describes one class of calls to the simulated leaf.
	demand struct {
		name           string
		worth          float64
		full, lateness time.Duration
	}

	// request is one call of a class.
	request struct {
		class    int
		arrived  time.Time
		deadline time.Time
		started  time.Time
		finishes time.Time
	}

	// queueDiscipline selects the order in which queued calls are sent.
	queueDiscipline interface {
		push(r *request)
		pop(now time.Time, latency time.Duration) *request
	}

	fairQueue struct {
		queue   *queuer.Queuer[*request]
		demands []demand
	}

	// listQueue is first in, first out, or strict priority by worth; both drop calls past their deadlines.
	listQueue struct {
		waiting        []*request
		strictPriority bool
		demands        []demand
	}
)

func demands() []demand {
	return []demand{
		{"high", 10, 200 * time.Millisecond, 400 * time.Millisecond},
		{"middle", 3, 500 * time.Millisecond, time.Second},
		{"low", 1, 1500 * time.Millisecond, 3 * time.Second},
	}
}

func (f *fairQueue) push(r *request) {
	d := f.demands[r.class]
	f.queue.Push(queuer.Item[*request]{
		Class: d.name, Worth: d.worth, FullWorthUntil: r.arrived.Add(d.full), Deadline: r.deadline, Value: r,
	})
}

func (f *fairQueue) pop(now time.Time, latency time.Duration) *request {
	f.queue.RemoveInfeasible(now, latency)
	r, _ := f.queue.Pop(now, latency)
	return r
}

func (l *listQueue) push(r *request) {
	l.waiting = append(l.waiting, r)
}

func (l *listQueue) pop(now time.Time, _ time.Duration) *request {
	kept := l.waiting[:0]
	for _, r := range l.waiting {
		if now.Before(r.deadline) {
			kept = append(kept, r)
		}
	}
	l.waiting = kept
	if l.strictPriority {
		sort.SliceStable(l.waiting, func(i, j int) bool { return l.waiting[i].class < l.waiting[j].class })
	}
	if len(l.waiting) == 0 {
		return nil
	}
	r := l.waiting[0]
	l.waiting = l.waiting[1:]
	return r
}

// worthDelivered returns the worth of a call that finishes now.
func (d demand) worthDelivered(r *request, now time.Time) float64 {
	latency := now.Sub(r.arrived)
	switch {
	case latency <= d.full:
		return d.worth
	case latency >= d.lateness:
		return 0
	}
	return d.worth * float64(d.lateness-latency) / float64(d.lateness-d.full)
}

// simulate runs the queue discipline with the real limiter and returns the worth delivered and offered per class.
func simulate(load float64, queue queueDiscipline) (delivered, offered []float64) {
	classes := demands()
	delivered, offered = make([]float64, len(classes)), make([]float64, len(classes))
	random := rand.New(rand.NewPCG(1, 2))
	limit := limiter.New(limiter.Config{Bounds: limiter.Bounds{Slots: leafSlots, ColdSlots: 2}})
	arrivalsPerStep := load * leafSlots * float64(timeStep) / float64(serviceMean) / float64(len(classes))
	var running []*request
	for now := startTime(); now.Before(startTime().Add(simulatedTime)); now = now.Add(timeStep) {
		for i, d := range classes {
			if random.Float64() < arrivalsPerStep {
				offered[i] += d.worth
				queue.push(&request{class: i, arrived: now, deadline: now.Add(d.lateness)})
			}
		}
		kept := running[:0]
		for _, r := range running {
			if r.finishes.After(now) {
				kept = append(kept, r)
				continue
			}
			delivered[r.class] += classes[r.class].worthDelivered(r, now)
			limit.Release(limiter.Result{Latency: now.Sub(r.started), ForeignLoad: -1})
		}
		running = kept
		for limit.TryAcquire() {
			r := queue.pop(now, limit.Latency())
			if r == nil {
				limit.Release(limiter.Result{Outcome: limiter.OutcomeCancelled, ForeignLoad: -1})
				break
			}
			r.started = now
			r.finishes = now.Add(time.Duration(random.ExpFloat64() * float64(serviceMean)))
			running = append(running, r)
		}
	}
	return delivered, offered
}

// TestWorthDeliveredUnderOverload logs the table of docs/design/queue.md. It guards against a fair queue that
// delivers less worth than first in, first out, and against starvation of a class.
func TestWorthDeliveredUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.8, 1, 1.5, 2, 4} {
		shares := map[string]float64{}
		for name, queue := range map[string]queueDiscipline{
			"fifo":   &listQueue{demands: demands()},
			"strict": &listQueue{demands: demands(), strictPriority: true},
			"fair":   &fairQueue{queue: queuer.New[*request](), demands: demands()},
		} {
			delivered, offered := simulate(load, queue)
			var deliveredSum, offeredSum float64
			for i := range delivered {
				deliveredSum += delivered[i]
				offeredSum += offered[i]
			}
			shares[name] = deliveredSum / offeredSum
			t.Logf("load=%.1f queue=%-6s worth_share=%.3f high=%.3f middle=%.3f low=%.3f", load, name, deliveredSum/offeredSum,
				delivered[0]/offered[0], delivered[1]/offered[1], delivered[2]/offered[2])
			for i := range delivered {
				is.True(name != "fair" || delivered[i] > 0)
			}
		}
		is.True(shares["fair"] >= shares["fifo"]-0.001)
	}
}
