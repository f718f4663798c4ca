package limiter_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
)

const fastLatency = 2 * time.Millisecond

// release ends one call as a success with the given latency.
func release(l *limiter.Limiter, latency time.Duration) {
	l.Release(limiter.Result{Latency: latency, ForeignLoad: -1})
}

// serve runs count calls, as many at once as the limit allows.
func serve(l *limiter.Limiter, count int, latency time.Duration) {
	for count > 0 {
		started := 0
		for started < count && l.TryAcquire() {
			started++
		}
		if started == 0 {
			return
		}
		for range started {
			release(l, latency)
		}
		count -= started
	}
}

func newLimiter(slots, connections, cold int) *limiter.Limiter {
	return limiter.New(limiter.Config{
		Bounds: limiter.Bounds{Slots: slots, Connections: connections, ColdSlots: cold},
	})
}

// TestLimiterKeepsInvariantsInRandomSequences guards against a sequence of events that violates an invariant or
// moves the limit out of its bounds. The nil asserter panics on a violated invariant.
func TestLimiterKeepsInvariantsInRandomSequences(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		connections := rapid.IntRange(1, 10).Draw(t, "connections")
		cold := rapid.IntRange(1, slots).Draw(t, "cold")
		l := newLimiter(slots, connections, cold)
		inFlight := 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				if l.TryAcquire() {
					inFlight++
				}
			},
			"release": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("nothing in flight")
				}
				inFlight--
				l.Release(limiter.Result{
					Outcome:     limiter.Outcome(rapid.IntRange(0, int(limiter.OutcomeCancelled)).Draw(t, "outcome")),
					Latency:     time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond,
					ForeignLoad: rapid.IntRange(-1, 10).Draw(t, "load"),
				})
			},
			"succeed often": func(*rapid.T) { serve(l, 40, fastLatency) },
			"cold":          func(*rapid.T) { l.ResetToCold() },
			"hand over":     func(t *rapid.T) { l.SetFormerOwnerCalls(rapid.IntRange(0, 8).Draw(t, "foreign")) },
			"adopt": func(t *rapid.T) {
				l.RestoreState(limiter.State{Limit: rapid.Float64Range(0, 20).Draw(t, "limit"), Cold: rapid.Bool().Draw(t, "c")})
			},
			"resize": func(t *rapid.T) {
				slots = rapid.IntRange(1, 8).Draw(t, "slots")
				l.Resize(limiter.Bounds{Slots: slots, Connections: connections, ColdSlots: cold})
			},
			"": func(t *rapid.T) {
				if l.Limit() < 1 || l.Limit() > float64(min(slots, connections)) {
					t.Fatalf("limit %v outside 1 to %d", l.Limit(), min(slots, connections))
				}
				if l.InFlight() != inFlight {
					t.Fatalf("in flight %d, want %d", l.InFlight(), inFlight)
				}
			},
		})
	})
}

func TestLimiterGrowsOnSuccessesToDeclaredSlots(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	is.True(l.Cold())
	is.Equal(l.Limit(), 2.0)
	serve(l, 200, fastLatency)
	is.True(!l.Cold())
	is.Equal(l.Limit(), 6.0)
}

func TestLimiterTurnsColdOnSignsOfRestart(t *testing.T) {
	cases := map[string]struct {
		outcome limiter.Outcome
		count   int
		latency time.Duration
	}{
		"one refused connection": {limiter.OutcomeUnreachable, 1, 0},
		"failures":               {limiter.OutcomeFailure, 2, 0},
		"three timeouts":         {limiter.OutcomeTimeout, 3, 0},
		"latency jump":           {limiter.OutcomeSuccess, 8, 10 * fastLatency},
		"refused connections":    {limiter.OutcomeUnreachable, 2, 10 * fastLatency},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLimiter(6, 50, 2)
			serve(l, 200, fastLatency)
			for range c.count {
				is.True(l.TryAcquire())
				l.Release(limiter.Result{Outcome: c.outcome, Latency: c.latency, ForeignLoad: -1})
			}
			is.True(l.Cold())
			is.True(l.Limit() <= 2)
		})
	}
}

func TestLimiterStaysWarmOnOneFailureOrFewStragglers(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	serve(l, 200, fastLatency)
	is.True(l.TryAcquire())
	l.Release(limiter.Result{Outcome: limiter.OutcomeFailure, ForeignLoad: -1})
	for range 20 {
		serve(l, 19, fastLatency)
		serve(l, 1, 10*fastLatency)
	}
	is.True(!l.Cold())
	is.Equal(l.Limit(), 6.0)
}

func TestLimiterDecreasesOnLatencyAboveBaseline(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	serve(l, 400, fastLatency)
	is.Equal(l.Limit(), 6.0)
	serve(l, 200, 3*fastLatency)
	is.True(l.Limit() < 6)
	is.True(!l.Cold())
}

// TestLimiterBoundsFailuresOfLeafThatStaysCold guards against repeated failures at a leaf that stays cold for a
// long time and fails each call above its cold slots. The number of failures must be logarithmic in the number of
// calls.
func TestLimiterBoundsFailuresOfLeafThatStaysCold(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	failures, calls := 0, 0
	for calls < 20000 {
		started := 0
		for l.TryAcquire() {
			started++
		}
		calls += started
		for n := started; n > 0; n-- {
			outcome := limiter.OutcomeSuccess
			if n > 2 {
				outcome = limiter.OutcomeFailure
				failures++
			}
			l.Release(limiter.Result{Outcome: outcome, Latency: fastLatency, ForeignLoad: -1})
		}
	}
	is.True(failures <= 16) // 1 for each doubling up to maxSuccessesToWarm, then 1 for each 4096 calls
}

func TestReportedLoadLeavesColdSlots(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	serve(l, 200, fastLatency)
	for range 4 {
		is.True(l.TryAcquire())
		l.Release(limiter.Result{Latency: fastLatency, ForeignLoad: 1000})
	}
	is.True(l.TryAcquire())
	is.True(l.TryAcquire())
	is.True(!l.TryAcquire())
}

func TestHandedOverCallsCountAsInFlight(t *testing.T) {
	is := is.New(t)
	l := newLimiter(6, 50, 2)
	l.RestoreState(limiter.State{Limit: 6, Baseline: fastLatency})
	l.SetFormerOwnerCalls(4)
	is.True(l.TryAcquire())
	is.True(l.TryAcquire())
	is.True(!l.TryAcquire())
	l.SetFormerOwnerCalls(0)
	is.True(l.TryAcquire())
}

// fixSeed sets a fixed seed unless one is given, so that runs are reproducible.
func fixSeed() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("59")
	}
}
