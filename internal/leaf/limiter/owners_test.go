package limiter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
)

const (
	nodeCount   = 9
	leafSlots   = 6
	coldSlots   = 2
	serviceMean = 20 * time.Millisecond
	tickTime    = 500 * time.Microsecond
	runTicks    = 120000 // 60 s
	coldFrom    = 40000  // the leaf restarts after 20 s
	coldTicks   = 4000   // and is cold for 2 s, longer after each overload
)

type (
	// client is one node's way to the leaf: a queue and a bound on its calls.
	client struct {
		acquire func() bool
		release func(r limiter.Result)
		waiting []int
		// inFlight never exceeds peak, the connections that the node needs.
		inFlight, peak int
	}

	visit struct {
		client           *client
		arrived, started int
		finishes         int
		failed           bool
	}

	// simulation is one leaf with a first in, first out queue of its own behind its slots.
	simulation struct {
		random  *rand.Rand
		clients []*client
		// running are in the leaf's slots, inside wait in the leaf for a slot.
		running, inside []*visit
		coldUntil       int
		// latencies are those of calls that arrived before the leaf restarted.
		latencies      []time.Duration
		answered       int
		peak, peakCold int
		failures       int
	}
)

func (s *simulation) step(now int, load float64) {
	chance := load * leafSlots * float64(tickTime) / float64(serviceMean)
	if s.random.Float64() < chance {
		// The first nodes get more of the work than the last ones.
		at := min(s.random.IntN(nodeCount), s.random.IntN(nodeCount)) % len(s.clients)
		s.clients[at].waiting = append(s.clients[at].waiting, now)
	}
	s.finish(now)
	for _, c := range s.clients {
		for len(c.waiting) > 0 && c.acquire() {
			s.arrive(c, now)
		}
	}
	for len(s.running) < leafSlots && len(s.inside) > 0 {
		v := s.inside[0]
		s.inside = s.inside[1:]
		v.finishes = now + 1 + int(s.random.ExpFloat64()*float64(serviceMean/tickTime))
		s.running = append(s.running, v)
	}
}

func (s *simulation) arrive(c *client, now int) {
	v := &visit{client: c, arrived: c.waiting[0], started: now}
	c.waiting = c.waiting[1:]
	c.inFlight++
	c.peak = max(c.peak, c.inFlight)
	s.inside = append(s.inside, v)
	total := len(s.running) + len(s.inside)
	s.peak = max(s.peak, total)
	if now >= s.coldUntil {
		return
	}
	s.peakCold = max(s.peakCold, total)
	if total > coldSlots {
		s.failures++
		s.coldUntil = now + coldTicks
		s.inside = s.inside[:len(s.inside)-1]
		s.running = append(s.running, v) // it fails at once
		v.failed, v.finishes = true, now+1
	}
}

func (s *simulation) finish(now int) {
	kept := s.running[:0]
	for _, v := range s.running {
		if v.finishes > now {
			kept = append(kept, v)
			continue
		}
		v.client.inFlight--
		result := limiter.Result{Latency: time.Duration(now-v.started) * tickTime, ForeignLoad: -1}
		switch {
		case v.failed:
			result.Outcome = limiter.OutcomeFailure
		case v.arrived >= coldFrom:
			s.answered++
		default:
			s.latencies = append(s.latencies, time.Duration(now-v.arrived)*tickTime)
		}
		v.client.release(result)
	}
	s.running = kept
}

func (s *simulation) percentile(share float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(share*float64(len(s.latencies)-1))]
}

func adaptive() *client {
	l := newLimiter(leafSlots, 50, coldSlots)
	return &client{acquire: l.TryAcquire, release: l.Release}
}

// static has one slot: 6 slots cannot be split over 9 nodes in smaller shares.
func static() *client {
	free := 1
	return &client{
		acquire: func() bool { free--; return free >= 0 || func() bool { free++; return false }() },
		release: func(limiter.Result) { free++ },
	}
}

// TestOneOwnerAgainstEveryNode prints the table of docs/design/limits.md. It fails when the leaf of one
// owner ever has more calls than slots.
func TestOneOwnerAgainstEveryNode(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, variant := range []string{"owner", "static", "adaptive"} {
			s := &simulation{random: rand.New(rand.NewPCG(1, 2))}
			count := nodeCount
			if variant == "owner" {
				count = 1
			}
			for range count {
				if variant == "static" {
					s.clients = append(s.clients, static())
					continue
				}
				s.clients = append(s.clients, adaptive())
			}
			for now := range runTicks {
				if now == coldFrom {
					s.coldUntil = now + coldTicks
				}
				s.step(now, load)
			}
			connections := 0
			for _, c := range s.clients {
				connections += c.peak
			}
			t.Logf("load=%.1f variant=%-8s p50=%v p99=%v peak=%d connections=%d peak_cold=%d failed_cold=%d answered_after=%d",
				load, variant, s.percentile(0.5), s.percentile(0.99), s.peak, connections, s.peakCold, s.failures,
				s.answered)
			is.True(variant != "owner" || s.peak <= leafSlots)
		}
	}
}
