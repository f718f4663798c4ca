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
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/pooler"
)

const (
	ms     = time.Millisecond
	target = 200 * ms
	limit  = 600 * ms
)

// bed is a pool of leaves on loopback. What a leaf does is set by its handler.
type bed struct {
	pool     *pooler.Pooler
	gatherer *gatherer.Gatherer
	calls    map[string]*atomic.Int64
}

// answerAfter is a leaf that answers after a while.
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

func status(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("Not-Run", "1")
		} else {
			w.Header().Set("Sign", "failed")
		}
		w.WriteHeader(code)
	}
}

// newBed starts a leaf for each handler; the key is service/zone, and zone near is picked first.
func newBed(t *testing.T, leaves map[string]http.HandlerFunc) *bed {
	b := &bed{calls: map[string]*atomic.Int64{}}
	b.pool = pooler.New(pooler.Config{
		Zone: "near", MaxAnswerBytes: 1 << 16, ColdShare: func(string) float64 { return 1 },
		Names:  exchanger.Names{RequestID: "Id", TimeLeft: "Left", LeafID: "Leaf", Signature: "Sign", NotRun: "Not-Run"},
		Random: func() float64 { return 0 }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for key, h := range leaves {
		service, zone, _ := strings.Cut(key, "/")
		count := &atomic.Int64{}
		b.calls[key] = count
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			h(w, r)
		}))
		t.Cleanup(s.Close)
		b.pool.Put(pooler.Entry{ID: key, Service: service, Address: s.Listener.Addr().String(), Zone: zone, Slots: 4},
			time.Now())
	}
	b.gatherer = gatherer.New(gatherer.Config{
		Pool: b.pool, Budget: func() budgeter.Config {
			return budgeter.Config{
				Share: 1,
				Slack: 4,
			}
		}, Nodes: func() int { return 1 },
	})
	return b
}

func (b *bed) run(ctx context.Context, r matcher.Route) gatherer.Result {
	services := r.Shards
	if len(services) == 0 {
		services = []string{r.Targets[0].Service}
	}
	r.TargetLatency, r.Timeout = target, limit
	if r.Name == "" {
		r.Name = "route"
	}
	for _, s := range services {
		for range 3 {
			b.gatherer.Budget(s).Earn(1)
		}
	}
	return b.gatherer.Run(ctx, gatherer.Request{
		Route: &r, Services: services, ArrivedAt: time.Now(), Target: target, Timeout: limit,
		Message: exchanger.Request{
			Method: http.MethodGet, ID: "r1", Deadline: time.Now().Add(time.Second),
			Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"),
		},
	})
}

func single(idempotent bool) matcher.Route {
	return matcher.Route{Idempotent: idempotent, Attempts: 2, Targets: []matcher.Target{{Service: "s", Weight: 1}}}
}

func TestASlowLeafIsOvertakenByASecondSend(t *testing.T) {
	is := is.New(t)
	b := newBed(t, map[string]http.HandlerFunc{"s/near": answerAfter(500 * ms), "s/far": answerAfter(2 * ms)})
	startedAt := time.Now()
	r := b.run(t.Context(), single(true))
	is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	is.Equal(string(r.Parts[0].Body), "s/far")
	is.Equal(r.Hedges, 1)
	is.True(time.Since(startedAt) < target)
}

func TestFailuresAreTriedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name       string
		leaf       http.HandlerFunc
		idempotent bool
		want       gatherer.Outcome
		far        int64
	}{
		{"failure, idempotent", status(500, false), true, gatherer.OutcomeAnswered, 1},
		{"failure, once only", status(500, false), false, gatherer.OutcomeFailed, 0},
		{"not run, once only", status(503, true), false, gatherer.OutcomeAnswered, 1},
		{
			"cut, idempotent", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true,
			gatherer.OutcomeAnswered, 1,
		},
		{
			"cut, once only", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false,
			gatherer.OutcomeFailed, 0,
		},
		{"slow, once only", answerAfter(2 * time.Second), false, gatherer.OutcomeTimeout, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, map[string]http.HandlerFunc{"s/near": c.leaf, "s/far": answerAfter(0)})
			r := b.run(t.Context(), single(c.idempotent))
			is.Equal(r.Outcome, c.want)
			is.Equal(b.calls["s/far"].Load(), c.far)
			is.Equal(b.calls["s/near"].Load(), int64(1))
		})
	}
}

func TestOnlyWhatDidNotRunIsCalledNotRun(t *testing.T) {
	is := is.New(t)
	b := newBed(t, map[string]http.HandlerFunc{"s/near": status(503, true), "s/far": status(503, true)})
	is.Equal(b.run(t.Context(), single(false)).Outcome, gatherer.OutcomeNotRun)
	b = newBed(t, map[string]http.HandlerFunc{"s/near": status(503, true), "s/far": status(500, false)})
	r := b.run(t.Context(), single(false))
	is.Equal(r.Outcome, gatherer.OutcomeFailed)
	is.Equal(r.Failure.Status, 500)
	startedAt := time.Now()
	is.Equal(newBed(t, nil).run(t.Context(), single(true)).Outcome, gatherer.OutcomeNotRun)
	is.True(time.Since(startedAt) < 20*ms) // what can't be served is rejected at once
}

func TestAttemptsBoundTheLeavesThatRunARequest(t *testing.T) {
	is := is.New(t)
	leaves := map[string]http.HandlerFunc{}
	for i := range 6 {
		leaves[fmt.Sprintf("s/z%d", i)] = status(500, false)
	}
	b := newBed(t, leaves)
	is.Equal(b.run(t.Context(), single(true)).Outcome, gatherer.OutcomeFailed)
	ran := int64(0)
	for _, c := range b.calls {
		ran += c.Load()
	}
	is.Equal(ran, int64(2))
}

// shards returns a route over ten shards and a bed in which all of them answer in 5 ms, but for those given.
func shards(t *testing.T, others map[string]http.HandlerFunc) (*bed, matcher.Route) {
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
	return newBed(t, leaves), route
}

func TestAPartThatIsMissingIsWaitedForUntilTheTarget(t *testing.T) {
	is := is.New(t)
	b, route := shards(t, map[string]http.HandlerFunc{
		"s3/near": answerAfter(time.Second),
		"s3/far":  answerAfter(time.Second),
	})
	startedAt := time.Now()
	r := b.run(t.Context(), route)
	took := time.Since(startedAt)
	is.Equal(r.Outcome, gatherer.OutcomeAnswered)
	is.Equal(len(r.Parts), 9)
	is.True(took >= target && took < target+50*ms)
}

func TestAnAnswerWithoutEnoughPartsIsNone(t *testing.T) {
	is := is.New(t)
	dead := answerAfter(2 * time.Second)
	b, route := shards(t, map[string]http.HandlerFunc{"s3/near": dead, "s3/far": dead, "s7/near": dead, "s7/far": dead})
	startedAt := time.Now()
	is.Equal(b.run(t.Context(), route).Outcome, gatherer.OutcomeTimeout)
	is.True(time.Since(startedAt) < limit+60*ms)
	broken := status(500, false)
	b, route = shards(t, map[string]http.HandlerFunc{
		"s3/near": broken, "s3/far": broken, "s7/near": broken,
		"s7/far": broken,
	})
	startedAt = time.Now()
	is.Equal(b.run(t.Context(), route).Outcome, gatherer.OutcomeFailed)
	is.True(time.Since(startedAt) < target) // no success is possible any more: told at once
}

func TestACallerThatLeavesEndsItsCalls(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	b := newBed(t, map[string]http.HandlerFunc{"s/near": func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- time.Now()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*ms, cancel)
	is.Equal(b.run(ctx, single(true)).Outcome, gatherer.OutcomeGone)
	leftAt := time.Now()
	is.True((<-ended).Sub(leftAt) < 450*ms)
}

// The load: the only leaf of one shard of ten answers 40 calls a second, 90 requests a second come for 2 s. Callers
// get about as many whole answers as the leaf can give parts, and all others at the target at the latest.
func TestAnOverloadedShardGivesWhatItCan(t *testing.T) {
	is := is.New(t)
	slots := make(chan struct{}, 1)
	b, route := shards(t, map[string]http.HandlerFunc{"s3/near": func(w http.ResponseWriter, r *http.Request) {
		slots <- struct{}{}
		defer func() { <-slots }()
		answerAfter(25*ms)(w, r)
	}})
	b.pool.Remove("s3/far", "test")
	b.pool.Declare(map[string]pooler.Service{"s3": {MaxConnections: 8}})
	var whole, partial, late, other atomic.Int64
	done := make(chan struct{})
	const requests = 180
	for range requests {
		go func() {
			defer func() { done <- struct{}{} }()
			startedAt := time.Now()
			r := b.run(t.Context(), route)
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
	is.True(whole.Load() >= requests*40/90*7/10) // seven tenths of what the leaf can do
}
