package gatherer_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// forbidLater makes the requests that start from now on forbidden once the returned flag is set.
func (f *fixture) forbidLater() *atomic.Bool {
	forbidden := &atomic.Bool{}
	f.maySend = func() bool { return !forbidden.Load() }
	return forbidden
}

// Guards against a request that is sent although it was forbidden before it arrived, or while it waited for a leaf.
func TestForbiddenRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(50 * ms)})
	first, second := f.startBehind(t, singleServiceRoute(false))
	is.Equal((<-first).Outcome, gatherer.OutcomeAnswered)
	is.Equal((<-second).Outcome, gatherer.OutcomeAnswered)
	is.Equal(f.calls["s/near"].Load(), int64(2))

	forbidden := f.forbidLater()
	forbidden.Store(true)
	r := f.run(t.Context(), singleServiceRoute(false))
	is.Equal(r.Outcome, gatherer.OutcomeNotRun)
	is.True(r.Forbidden)
	is.Equal(f.calls["s/near"].Load(), int64(2))
}

func TestRequestForbiddenWhileItWaitsIsNotSent(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(300 * ms)})
			f.pool.SetServices(map[string]balancer.Service{"s": {MaxConnections: 1}})
			first, second := make(chan gatherer.Result, 1), make(chan gatherer.Result, 1)
			go func() { first <- f.run(t.Context(), singleServiceRoute(false)) }()
			for f.calls["s/near"].Load() == 0 {
				time.Sleep(ms)
			}
			forbidden := f.forbidLater()
			go func() { second <- f.run(t.Context(), singleServiceRoute(idempotent)) }()
			for f.waiting("near") == 0 {
				time.Sleep(ms)
			}
			forbidden.Store(true)
			forbiddenAt := time.Now()
			f.gatherer.Recheck()
			r := <-second
			is.Equal(r.Outcome, gatherer.OutcomeNotRun)
			is.True(r.Forbidden)
			is.True(time.Since(forbiddenAt) < 100*ms) // while the first one still runs
			is.Equal((<-first).Outcome, gatherer.OutcomeAnswered)
			time.Sleep(50 * ms)
			is.Equal(f.calls["s/near"].Load(), int64(1))
		})
	}
}

// Guards against a hedge or retry of a request that has been forbidden since its first send, and against an answer that
// is thrown away although it was asked for in time.
func TestForbiddenRequestIsNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		near http.HandlerFunc
		want gatherer.Outcome
	}{
		{"answered late", answerAfter(300 * ms), gatherer.OutcomeAnswered},
		{"failed", answerStatus(500, false), gatherer.OutcomeFailed},
		{"rejected", answerStatus(503, true), gatherer.OutcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/far": answerAfter(0)})
			forbidden := f.forbidLater()
			f.addLeaf(t, "s/near", func(w http.ResponseWriter, r *http.Request) {
				forbidden.Store(true)
				c.near(w, r)
			})
			r := f.run(t.Context(), singleServiceRoute(true))
			is.Equal(r.Outcome, c.want)
			is.Equal(f.calls["s/near"].Load(), int64(1))
			is.Equal(f.calls["s/far"].Load(), int64(0))
		})
	}
}

// Guards against a gathered answer that waits for a shard that must not be asked again, or that is lost with it.
func TestGatheredAnswerGoesWithoutForbiddenShard(t *testing.T) {
	is := is.New(t)
	f, route := newShardedFixture(t, nil)
	forbidden := f.forbidLater()
	f.pool.Remove("s3/near", "test")
	f.addLeaf(t, "s3/near", func(w http.ResponseWriter, r *http.Request) {
		for i := range 10 { // all other shards have been asked
			for i != 3 && f.calls[fmt.Sprintf("s%d/near", i)].Load() == 0 {
				time.Sleep(ms)
			}
		}
		forbidden.Store(true)
		answerStatus(503, true)(w, r)
	})
	r := f.run(t.Context(), route)
	is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	is.Equal(len(r.Parts), 9)
	is.Equal(f.calls["s3/far"].Load(), int64(0))
}
