package gatherer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// askForPause returns a handler that rejects each request and asks for a pause.
func askForPause(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Retry-After", seconds)
		answerStatus(http.StatusServiceUnavailable, true)(w, r)
	}
}

// Guards against requests, second sends included, to leaves that have asked for a pause, and against requests that wait
// although all leaves have.
func TestPausingLeavesGetNoRequestsAndCallersLearnHowLong(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": askForPause("3"), "s/far": answerAfter(0)})
	for range 20 { // the leaf that works takes all requests
		is.Equal(f.run(t.Context(), singleServiceRoute(true)).Outcome, gatherer.OutcomeAnswered)
	}
	is.Equal(f.calls["s/near"].Load(), int64(1))

	f = newFixture(t, map[string]http.HandlerFunc{"s/near": askForPause("3"), "s/far": askForPause("2")})
	for range 20 {
		startedAt := time.Now()
		r := f.run(t.Context(), singleServiceRoute(false))
		is.Equal(r.Outcome, gatherer.OutcomeNotRun)
		is.True(time.Since(startedAt) < target)
		is.True(r.RetryIn > time.Second && r.RetryIn <= 2*time.Second)
	}
	is.Equal(f.calls["s/near"].Load()+f.calls["s/far"].Load(), int64(2))
}

// Guards against a gathered request that fails because some shards ask for a pause that it does not need, and against
// one that waits for shards that it needs.
func TestGatheredRequestLeavesOutPausingShards(t *testing.T) {
	is := is.New(t)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{
		"s3/near": askForPause("3"), "s3/far": askForPause("3"),
	})
	for range 5 {
		r := f.run(t.Context(), route)
		is.Equal(r.Outcome, gatherer.OutcomeAnswered)
		is.Equal(len(r.Parts), 9)
	}
	is.Equal(f.calls["s3/near"].Load()+f.calls["s3/far"].Load(), int64(2))
	f, route = newShardedFixture(t, map[string]http.HandlerFunc{
		"s3/near": askForPause("3"), "s3/far": askForPause("3"),
		"s7/near": askForPause("2"), "s7/far": askForPause("2"),
	})
	f.run(t.Context(), route)
	startedAt := time.Now()
	r := f.run(t.Context(), route)
	is.Equal(r.Outcome, gatherer.OutcomeNotRun)
	is.True(time.Since(startedAt) < target)
	is.True(r.RetryIn > time.Second && r.RetryIn <= 2*time.Second) // nine of ten shards suffice
}
