package gatherer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
)

const (
	ms      = time.Millisecond
	target  = 200 * ms
	timeout = 600 * ms
)

// fixture is a gatherer with a pool of leaves on loopback. The handler of a leaf sets its behaviour.
type fixture struct {
	pool     *balancer.Balancer
	gatherer *gatherer.Gatherer
	calls    map[string]*atomic.Int64
	memory   *reserver.Reserver
	// maySend is MaySend of the requests.
	maySend func() bool
}

// answerAfter returns a handler that answers successfully after a delay.
func answerAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sign", r.Header.Get("Leaf"))
		_, _ = io.WriteString(w, r.Header.Get("Leaf"))
	}
}

// answerStatus returns a handler that answers with a status code, marked as not run or signed.
func answerStatus(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("Not-Run", "1")
		} else {
			w.Header().Set("Sign", "failed")
		}
		w.WriteHeader(code)
	}
}

// newFixture starts a leaf for each handler. The key is service/zone; leaves of zone "near" are picked first.
func newFixture(t testing.TB, leaves map[string]http.HandlerFunc) *fixture {
	f := &fixture{calls: map[string]*atomic.Int64{}, memory: reserver.New(reserver.Config{Bytes: 1 << 20})}
	f.pool = balancer.New(balancer.Config{
		Zone: "near", MaxAnswerBytes: 1 << 16, Memory: f.memory, ColdShare: func(string) float64 { return 1 },
		HeaderNames: exchanger.HeaderNames{
			RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run",
			Leaving: "Leaving",
		},
		Localizer: localizer.New(localizer.Config{TrafficCost: 3, Random: func() float64 { return 0.5 }}),
		Random:    func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for key, h := range leaves {
		f.addLeaf(t, key, h)
	}
	f.gatherer = gatherer.New(gatherer.Config{
		Pool: f.pool, Budget: func() budgeter.Config {
			return budgeter.Config{
				Share: 1,
				Slack: 4,
			}
		}, Nodes: func() int { return 1 },
	})
	return f
}

// addLeaf starts a leaf. The key is service/zone.
func (f *fixture) addLeaf(t testing.TB, key string, h http.HandlerFunc) {
	service, zone, _ := strings.Cut(key, "/")
	count := &atomic.Int64{}
	f.calls[key] = count
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	f.pool.Put(balancer.Entry{ID: key, Service: service, Address: s.Listener.Addr().String(), Zone: zone, Slots: 4},
		time.Now())
}

// waiting returns the number of calls that wait for a leaf of service s.
func (f *fixture) waiting(zone string) int {
	for _, l := range f.pool.UsableLeaves("s") {
		if l.Entry().Zone == zone {
			return l.Exchanger().Waiting()
		}
	}
	return 0
}

func (f *fixture) run(ctx context.Context, r matcher.Route) gatherer.Result {
	services := r.Shards
	if len(services) == 0 {
		services = []string{r.Targets[0].Service}
	}
	r.TargetLatency, r.Timeout = target, timeout
	if r.Name == "" {
		r.Name = "route"
	}
	for _, s := range services {
		for range 3 {
			f.gatherer.Budget(s).Earn(1)
		}
	}
	return f.gatherer.Run(ctx, gatherer.Request{
		Route: &r, Services: services, ArrivedAt: time.Now(), Target: target, Timeout: timeout,
		MaySend: f.maySend,
		Message: exchanger.Request{
			Method: http.MethodGet, ID: "r1", Deadline: time.Now().Add(time.Second),
			Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"),
		},
	})
}

// singleServiceRoute returns a route to service s with at most two attempts.
func singleServiceRoute(idempotent bool) matcher.Route {
	return matcher.Route{Idempotent: idempotent, Attempts: 2, Targets: []matcher.Target{{Service: "s", Weight: 1}}}
}

func TestHedgeOvertakesSlowLeaf(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(500 * ms), "s/far": answerAfter(2 * ms)})
	startedAt := time.Now()
	r := f.run(t.Context(), singleServiceRoute(true))
	is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	is.Equal(string(r.Parts[0].Body), "s/far")
	is.Equal(r.Hedges, 1)
	is.True(time.Since(startedAt) < target)
}

func TestRetryOnAnotherLeafIfIdempotentOrNotRun(t *testing.T) {
	for _, c := range []struct {
		name       string
		leaf       http.HandlerFunc
		idempotent bool
		want       gatherer.Outcome
		farCalls   int64
	}{
		{"failure, idempotent", answerStatus(500, false), true, gatherer.OutcomeAnswered, 1},
		{"failure, not idempotent", answerStatus(500, false), false, gatherer.OutcomeFailed, 0},
		{"not run, not idempotent", answerStatus(503, true), false, gatherer.OutcomeAnswered, 1},
		{
			"connection closed, idempotent", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true,
			gatherer.OutcomeAnswered, 1,
		},
		{
			"connection closed, not idempotent", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			false, gatherer.OutcomeFailed, 0,
		},
		{"slow, not idempotent", answerAfter(2 * time.Second), false, gatherer.OutcomeTimeout, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": c.leaf, "s/far": answerAfter(0)})
			r := f.run(t.Context(), singleServiceRoute(c.idempotent))
			is.Equal(r.Outcome, c.want)
			is.Equal(f.calls["s/far"].Load(), c.farCalls)
			is.Equal(f.calls["s/near"].Load(), int64(1))
		})
	}
}

func TestOutcomeNotRunOnlyIfNoLeafRanRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerStatus(503, true), "s/far": answerStatus(503, true)})
	is.Equal(f.run(t.Context(), singleServiceRoute(false)).Outcome, gatherer.OutcomeNotRun)
	f = newFixture(t, map[string]http.HandlerFunc{"s/near": answerStatus(503, true), "s/far": answerStatus(500, false)})
	r := f.run(t.Context(), singleServiceRoute(false))
	is.Equal(r.Outcome, gatherer.OutcomeFailed)
	is.Equal(r.LeafFailure.Status, 500)
	startedAt := time.Now()
	is.Equal(newFixture(t, nil).run(t.Context(), singleServiceRoute(true)).Outcome, gatherer.OutcomeNotRun)
	is.True(time.Since(startedAt) < 20*ms) // a request without a usable leaf is rejected at once
}

// A request whose calls all waited for a connection until its timeout has run nowhere, and its caller must be told so:
// only then may it send a non-idempotent request again.
func TestRequestWhoseCallsGotNoConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(2 * time.Second)})
	f.pool.SetServices(map[string]balancer.Service{"s": {MaxConnections: 1}})
	first := make(chan gatherer.Result)
	go func() { first <- f.run(t.Context(), singleServiceRoute(false)) }()
	for f.calls["s/near"].Load() == 0 {
		time.Sleep(ms)
	}
	r := f.run(t.Context(), singleServiceRoute(false))
	is.Equal(r.Outcome, gatherer.OutcomeNotRun)
	is.Equal(r.Withdrawn, 1)
	is.Equal((<-first).Outcome, gatherer.OutcomeTimeout) // its call was sent
	time.Sleep(300 * ms)                                 // the connection of the first request is closed by now
	is.Equal(f.calls["s/near"].Load(), int64(1))         // "not run" stays true
}

// A request that arrives with no time left, for example after a pause of the process, must not reach a leaf.
func TestRequestWithoutTimeLeftIsRefusedUnsent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(0)})
	route := singleServiceRoute(true)
	r := f.gatherer.Run(t.Context(), gatherer.Request{
		Route: &route, Services: []string{"s"}, ArrivedAt: time.Now().Add(-time.Second), Target: target, Timeout: timeout,
		Message: exchanger.Request{Method: http.MethodGet, ID: "r1", Deadline: time.Now().Add(time.Second)},
	})
	is.Equal(r.Outcome, gatherer.OutcomeNotRun)
	is.True(r.OutOfTime)
	is.Equal(f.calls["s/near"].Load(), int64(0))
}

func TestAttemptsLimitLeavesThatRunRequest(t *testing.T) {
	is := is.New(t)
	leaves := map[string]http.HandlerFunc{}
	for i := range 6 {
		leaves[fmt.Sprintf("s/z%d", i)] = answerStatus(500, false)
	}
	f := newFixture(t, leaves)
	is.Equal(f.run(t.Context(), singleServiceRoute(true)).Outcome, gatherer.OutcomeFailed)
	ran := int64(0)
	for _, c := range f.calls {
		ran += c.Load()
	}
	is.Equal(ran, int64(2))
}

// newShardedFixture returns a route over ten shards and a fixture whose leaves answer after 5 ms, except for those
// given.
func newShardedFixture(t *testing.T, others map[string]http.HandlerFunc) (*fixture, matcher.Route) {
	leaves := map[string]http.HandlerFunc{}
	route := matcher.Route{Idempotent: true, Attempts: 2, MinCoverage: 0.89, TopRecords: 5}
	for i := range 10 {
		service := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, service)
		leaves[service+"/near"] = answerAfter(5 * ms)
		leaves[service+"/far"] = answerAfter(5 * ms)
	}
	for key, h := range others {
		leaves[key] = h
	}
	return newFixture(t, leaves), route
}

func TestMissingPartIsAwaitedUntilTarget(t *testing.T) {
	is := is.New(t)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{
		"s3/near": answerAfter(time.Second),
		"s3/far":  answerAfter(time.Second),
	})
	startedAt := time.Now()
	r := f.run(t.Context(), route)
	took := time.Since(startedAt)
	is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	is.Equal(len(r.Parts), 9)
	is.True(took >= target && took < target+50*ms)
}

func TestAnswerBelowMinCoverageFails(t *testing.T) {
	is := is.New(t)
	hung := answerAfter(2 * time.Second)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{
		"s3/near": hung, "s3/far": hung, "s7/near": hung, "s7/far": hung,
	})
	startedAt := time.Now()
	is.Equal(f.run(t.Context(), route).Outcome, gatherer.OutcomeTimeout)
	is.True(time.Since(startedAt) < timeout+60*ms)
	broken := answerStatus(500, false)
	f, route = newShardedFixture(t, map[string]http.HandlerFunc{
		"s3/near": broken, "s3/far": broken, "s7/near": broken, "s7/far": broken,
	})
	startedAt = time.Now()
	is.Equal(f.run(t.Context(), route).Outcome, gatherer.OutcomeFailed)
	is.True(time.Since(startedAt) < target) // fails as soon as the minimum coverage can't be reached
}

func TestCallerDisconnectCancelsCalls(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- time.Now()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*ms, cancel)
	is.Equal(f.run(ctx, singleServiceRoute(true)).Outcome, gatherer.OutcomeCallerGone)
	leftAt := time.Now()
	is.True((<-ended).Sub(leftAt) < 450*ms)
}

// Guards against a request that fails within milliseconds because more shards than it may lack have a slow leaf at
// which other calls wait. Each of their calls got no connection in time; the calls were repeated at once until the
// limit of sends was reached, and the request failed although all leaves would have answered before its timeout.
func TestRequestWaitsForShardsThatItNeeds(t *testing.T) {
	is := is.New(t)
	slowLeaves := map[string]http.HandlerFunc{}
	const slowShards = 4 // the answer may lack one
	for i := range slowShards {
		slowLeaves[fmt.Sprintf("s%d/near", i)] = answerAfter(150 * ms)
	}
	f, route := newShardedFixture(t, slowLeaves)
	limits := map[string]balancer.Service{}
	for i := range slowShards {
		f.pool.Remove(fmt.Sprintf("s%d/far", i), "test")
		limits[fmt.Sprintf("s%d", i)] = balancer.Service{MaxConnections: 1}
	}
	f.pool.SetServices(limits)
	for range 4 { // so that the leaves are known to be slow
		f.run(t.Context(), route)
	}
	results := make(chan gatherer.Result, 3)
	for range 3 {
		go func() { results <- f.run(t.Context(), route) }()
	}
	for range 3 {
		r := <-results
		t.Logf("outcome %d with %d parts, failed %v", r.Outcome, len(r.Parts), r.FailedLeaves)
		is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	}
}

// Guards against collapse of an overloaded shard. The only leaf of one of ten shards answers 40 calls/s, while 90
// requests/s arrive for 2 s. Whole answers must come at about the rate of the leaf, and all other answers by the target
// at the latest.
func TestOverloadedShardAnswersAtItsCapacity(t *testing.T) {
	is := is.New(t)
	slots := make(chan struct{}, 1)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{"s3/near": func(w http.ResponseWriter, r *http.Request) {
		slots <- struct{}{}
		defer func() { <-slots }()
		answerAfter(25*ms)(w, r)
	}})
	f.pool.Remove("s3/far", "test")
	f.pool.SetServices(map[string]balancer.Service{"s3": {MaxConnections: 8}})
	var whole, partial, late, other atomic.Int64
	done := make(chan struct{})
	const requests = 180
	for range requests {
		go func() {
			defer func() { done <- struct{}{} }()
			startedAt := time.Now()
			r := f.run(t.Context(), route)
			switch {
			case r.Outcome != gatherer.OutcomeAnswered:
				other.Add(1)
			case time.Since(startedAt) > target+40*ms:
				late.Add(1)
			case len(r.Parts) == 10:
				whole.Add(1)
			default:
				partial.Add(1)
			}
		}()
		time.Sleep(11 * ms)
	}
	for range requests {
		<-done
	}
	t.Logf("whole %d, partial %d, late %d, not answered %d", whole.Load(), partial.Load(), late.Load(), other.Load())
	is.Equal(other.Load(), int64(0))
	is.True(late.Load() <= requests/50)
	is.True(whole.Load() >= requests*40/90*7/10) // seven tenths of the leaf's capacity
}
