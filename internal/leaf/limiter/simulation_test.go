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
	nodeCount       = 9
	leafSlots       = 6
	coldSlots       = 2
	meanServiceTime = 20 * time.Millisecond
	tickTime        = 500 * time.Microsecond
	runTicks        = 120000 // 60 s
	restartTick     = 40000  // the leaf restarts after 20 s
	coldTicks       = 4000   // and is cold for 2 s, longer after each overload
)

type (
	// client is one node that calls the leaf: a queue and a limit on its concurrent calls.
	client struct {
		acquire func() bool
		release func(r limiter.Result)
		// waiting has the arrival ticks of the queued calls.
		waiting []int
		// peak is the largest inFlight, which is the number of connections that the node needs.
		inFlight, peak int
	}

	leafCall struct {
		client           *client
		arrived, started int
		finishes         int
		failed           bool
	}

	// simulation is one leaf with a FIFO queue of its own in front of its slots, and the nodes that call it.
	simulation struct {
		random  *rand.Rand
		clients []*client
		// running calls occupy the leaf's slots, queued calls wait in the leaf for a slot.
		running, queued []*leafCall
		coldUntil       int
		// latencies has the latencies of the calls that arrived before the leaf restarted.
		latencies []time.Duration
		// answeredAfter counts the successful calls that arrived after the restart.
		answeredAfter int
		// peak and peakCold are the largest numbers of calls at the leaf, ever and while it was cold.
		peak, peakCold int
		failures       int
	}
)

func (s *simulation) tick(now int, load float64) {
	probability := load * leafSlots * float64(tickTime) / float64(meanServiceTime)
	if s.random.Float64() < probability {
		// The first nodes get more calls than the last ones.
		index := min(s.random.IntN(nodeCount), s.random.IntN(nodeCount)) % len(s.clients)
		s.clients[index].waiting = append(s.clients[index].waiting, now)
	}
	s.finish(now)
	for _, c := range s.clients {
		for len(c.waiting) > 0 && c.acquire() {
			s.arrive(c, now)
		}
	}
	for len(s.running) < leafSlots && len(s.queued) > 0 {
		call := s.queued[0]
		s.queued = s.queued[1:]
		call.finishes = now + 1 + int(s.random.ExpFloat64()*float64(meanServiceTime/tickTime))
		s.running = append(s.running, call)
	}
}

func (s *simulation) arrive(c *client, now int) {
	call := &leafCall{client: c, arrived: c.waiting[0], started: now}
	c.waiting = c.waiting[1:]
	c.inFlight++
	c.peak = max(c.peak, c.inFlight)
	s.queued = append(s.queued, call)
	total := len(s.running) + len(s.queued)
	s.peak = max(s.peak, total)
	if now >= s.coldUntil {
		return
	}
	s.peakCold = max(s.peakCold, total)
	if total > coldSlots {
		s.failures++
		s.coldUntil = now + coldTicks
		s.queued = s.queued[:len(s.queued)-1]
		s.running = append(s.running, call) // the call fails immediately
		call.failed, call.finishes = true, now+1
	}
}

func (s *simulation) finish(now int) {
	kept := s.running[:0]
	for _, call := range s.running {
		if call.finishes > now {
			kept = append(kept, call)
			continue
		}
		call.client.inFlight--
		result := limiter.Result{Latency: time.Duration(now-call.started) * tickTime, ForeignLoad: -1}
		switch {
		case call.failed:
			result.Outcome = limiter.OutcomeFailure
		case call.arrived >= restartTick:
			s.answeredAfter++
		default:
			s.latencies = append(s.latencies, time.Duration(now-call.arrived)*tickTime)
		}
		call.client.release(result)
	}
	s.running = kept
}

func (s *simulation) percentile(fraction float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(fraction*float64(len(s.latencies)-1))]
}

func newAdaptiveClient() *client {
	l := newLimiter(leafSlots, 50, coldSlots)
	return &client{acquire: l.TryAcquire, release: l.Release}
}

// newStaticClient returns a client with one slot, since 6 slots cannot be divided among 9 nodes in smaller shares.
func newStaticClient() *client {
	free := 1
	return &client{
		acquire: func() bool { free--; return free >= 0 || func() bool { free++; return false }() },
		release: func(limiter.Result) { free++ },
	}
}

// TestOwnerKeepsLeafWithinSlots compares one owner for the leaf with static and adaptive limits on every node and
// prints the table of docs/design/limits.md. It guards against an owner that puts more calls at the leaf than it
// has slots, also while calls queue and after the leaf restarts.
func TestOwnerKeepsLeafWithinSlots(t *testing.T) {
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
					s.clients = append(s.clients, newStaticClient())
					continue
				}
				s.clients = append(s.clients, newAdaptiveClient())
			}
			for now := range runTicks {
				if now == restartTick {
					s.coldUntil = now + coldTicks
				}
				s.tick(now, load)
			}
			connections := 0
			for _, c := range s.clients {
				connections += c.peak
			}
			t.Logf("load=%.1f variant=%-8s p50=%v p99=%v peak=%d connections=%d peak_cold=%d failed_cold=%d answered_after=%d",
				load, variant, s.percentile(0.5), s.percentile(0.99), s.peak, connections, s.peakCold, s.failures,
				s.answeredAfter)
			is.True(variant != "owner" || s.peak <= leafSlots)
		}
	}
}
