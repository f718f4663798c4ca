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
	leafSlots    = 6
	serviceMean  = 20 * time.Millisecond
	simulated    = 30 * time.Second
	simulateStep = 500 * time.Microsecond
)

type (
	// demand is one class of calls to the simulated leaf.
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

	// discipline orders the waiting calls.
	discipline interface {
		push(r *request)
		pop(now time.Time, latency time.Duration) *request
	}

	fair struct {
		queue   *queuer.Queuer[*request]
		demands []demand
	}

	// listed is first in, first out, or strict priority by worth; both drop what is past its deadline.
	listed struct {
		waiting []*request
		strict  bool
		demands []demand
	}
)

func demands() []demand {
	return []demand{
		{"high", 10, 200 * time.Millisecond, 400 * time.Millisecond},
		{"middle", 3, 500 * time.Millisecond, time.Second},
		{"low", 1, 1500 * time.Millisecond, 3 * time.Second},
	}
}

func (f *fair) push(r *request) {
	d := f.demands[r.class]
	f.queue.Push(queuer.Item[*request]{
		Class: d.name, Worth: d.worth, FullWorthUntil: r.arrived.Add(d.full), Deadline: r.deadline, Value: r,
	})
}

func (f *fair) pop(now time.Time, latency time.Duration) *request {
	f.queue.Hopeless(now, latency)
	r, _ := f.queue.Pop(now, latency)
	return r
}

func (l *listed) push(r *request) {
	l.waiting = append(l.waiting, r)
}

func (l *listed) pop(now time.Time, _ time.Duration) *request {
	kept := l.waiting[:0]
	for _, r := range l.waiting {
		if now.Before(r.deadline) {
			kept = append(kept, r)
		}
	}
	l.waiting = kept
	if l.strict {
		sort.SliceStable(l.waiting, func(i, j int) bool { return l.waiting[i].class < l.waiting[j].class })
	}
	if len(l.waiting) == 0 {
		return nil
	}
	r := l.waiting[0]
	l.waiting = l.waiting[1:]
	return r
}

// deliver returns the worth of a call that ends now.
func (d demand) deliver(r *request, now time.Time) float64 {
	took := now.Sub(r.arrived)
	switch {
	case took <= d.full:
		return d.worth
	case took >= d.lateness:
		return 0
	}
	return d.worth * float64(d.lateness-took) / float64(d.lateness-d.full)
}

// simulate runs the discipline with the real limiter and returns the worth delivered and offered, by class.
func simulate(load float64, queue discipline) (delivered, offered []float64) {
	classes := demands()
	delivered, offered = make([]float64, len(classes)), make([]float64, len(classes))
	random := rand.New(rand.NewPCG(1, 2))
	limit := limiter.New(limiter.Config{Bounds: limiter.Bounds{Slots: leafSlots, ColdSlots: 2}})
	perStep := load * leafSlots * float64(simulateStep) / float64(serviceMean) / float64(len(classes))
	var running []*request
	for now := startTime(); now.Before(startTime().Add(simulated)); now = now.Add(simulateStep) {
		for i, d := range classes {
			if random.Float64() < perStep {
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
			delivered[r.class] += classes[r.class].deliver(r, now)
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

// TestWorthDeliveredUnderOverload prints the table of docs/design/queue.md. It fails when first in, first
// out brings more worth, or when a class with work and time gets nothing.
func TestWorthDeliveredUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.8, 1, 1.5, 2, 4} {
		shares := map[string]float64{}
		for name, queue := range map[string]discipline{
			"fifo":   &listed{demands: demands()},
			"strict": &listed{demands: demands(), strict: true},
			"fair":   &fair{queue: queuer.New[*request](), demands: demands()},
		} {
			delivered, offered := simulate(load, queue)
			var sum, all float64
			for i := range delivered {
				sum += delivered[i]
				all += offered[i]
			}
			shares[name] = sum / all
			t.Logf("load=%.1f queue=%-6s worth_share=%.3f high=%.3f middle=%.3f low=%.3f", load, name, sum/all,
				delivered[0]/offered[0], delivered[1]/offered[1], delivered[2]/offered[2])
			for i := range delivered {
				is.True(name != "fair" || delivered[i] > 0)
			}
		}
		is.True(shares["fair"] >= shares["fifo"]-0.001)
	}
}
