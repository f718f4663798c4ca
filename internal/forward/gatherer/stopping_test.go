package gatherer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// Guards against requests that a planned stop cuts off without an answer, or of which it says wrongly that they have
// not run. The target latency is 200 ms and the timeout 600 ms.
func TestStopEndsRequestsInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		latency    time.Duration
		idempotent bool
		stopBefore bool // the node begins to stop before the request arrives
		endAfter   time.Duration
		want       gatherer.Outcome
		calls      int64
		longest    time.Duration
	}{
		{"answered before the end", 50 * ms, true, false, 250 * ms, gatherer.OutcomeAnswered, 1, 350 * ms},
		{"at the leaf at the end", 500 * ms, true, false, 100 * ms, gatherer.OutcomeTimeout, 1, 350 * ms},
		{"at the leaf at the end, not idempotent", 500 * ms, false, false, 100 * ms, gatherer.OutcomeTimeout, 1, 350 * ms},
		{"arrives early enough", 50 * ms, true, true, 300 * ms, gatherer.OutcomeAnswered, 1, 350 * ms},
		{"arrives too late", 50 * ms, true, true, 150 * ms, gatherer.OutcomeNotRun, 0, 100 * ms},
		{"may last longer, not idempotent", 50 * ms, false, true, 500 * ms, gatherer.OutcomeNotRun, 0, 100 * ms},
		{"ends before, not idempotent", 50 * ms, false, true, 700 * ms, gatherer.OutcomeAnswered, 1, 350 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(c.latency)})
			startedAt := time.Now()
			stop := func() { f.gatherer.Stop(c.endAfter - time.Since(startedAt)) }
			if c.stopBefore {
				stop()
			} else {
				time.AfterFunc(20*ms, stop)
			}
			r := f.run(t.Context(), singleServiceRoute(c.idempotent))
			is.Equal(r.Outcome, c.want)
			is.Equal(f.calls["s/near"].Load(), c.calls)
			is.True(time.Since(startedAt) < c.longest)
		})
	}
}

// Guards against requests that wait at a stopping node until it ends although their answer would come too late.
func TestStopRefusesRequestsThatWait(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		refusedIn  time.Duration // after the stop began
	}{
		{"not idempotent", false, 0},
		{"idempotent", true, 100 * ms}, // the target latency before the end
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(2 * time.Second)})
			first, second := f.startBehind(t, singleServiceRoute(c.idempotent))
			stoppedAt := time.Now()
			f.gatherer.Stop(target + 100*ms)
			is.Equal((<-second).Outcome, gatherer.OutcomeNotRun)
			waited := time.Since(stoppedAt)
			is.True(waited >= c.refusedIn && waited < c.refusedIn+100*ms)
			is.Equal((<-first).Outcome, gatherer.OutcomeTimeout)
			is.True(time.Since(stoppedAt) < target+250*ms)
			time.Sleep(300 * ms) // the connection of the first request is closed by now
			is.Equal(f.calls["s/near"].Load(), int64(1))
		})
	}
}
