package gatherer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// leafEntry returns the entry that newFixture gave the leaf.
func (f *fixture) leafEntry(service, zone string) balancer.Entry {
	for _, l := range f.pool.UsableLeaves(service) {
		if l.Entry().Zone == zone {
			return l.Entry()
		}
	}
	return balancer.Entry{}
}

// startBehind starts a request that runs at the only leaf of service s, and one that waits for it.
func (f *fixture) startBehind(t *testing.T, waits matcher.Route) (running, waiting <-chan gatherer.Result) {
	t.Helper()
	f.pool.SetServices(map[string]balancer.Service{"s": {MaxConnections: 1}})
	first, second := make(chan gatherer.Result, 1), make(chan gatherer.Result, 1)
	go func() { first <- f.run(t.Context(), singleServiceRoute(false)) }()
	for f.calls["s/near"].Load() == 0 {
		time.Sleep(ms)
	}
	go func() { second <- f.run(t.Context(), waits) }()
	for f.waiting("near") == 0 {
		time.Sleep(ms)
	}
	return first, second
}

// Guards against requests that wait for a leaf until it leaves, and are then sent to it instead of another one.
func TestRequestThatWaitsForLeavingLeafIsSentToAnother(t *testing.T) {
	for name, leave := range map[string]func(*balancer.Balancer, balancer.Entry){
		"draining": func(b *balancer.Balancer, e balancer.Entry) {
			e.Draining = true
			b.Put(e, time.Now())
		},
		"removed": func(b *balancer.Balancer, e balancer.Entry) { b.Remove(e.ID, "test") },
		"evacuated": func(b *balancer.Balancer, e balancer.Entry) {
			b.SetEvacuatedZones(map[string]bool{e.Zone: true})
		},
		"started again": func(b *balancer.Balancer, e balancer.Entry) {
			e.Incarnation++
			e.Draining = true
			b.Put(e, time.Now())
		},
		"moved to another service": func(b *balancer.Balancer, e balancer.Entry) {
			e.Service = "other"
			b.Put(e, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(400 * ms)})
			near := f.leafEntry("s", "near")
			first, second := f.startBehind(t, singleServiceRoute(false))
			f.addLeaf(t, "s/far", answerAfter(0))
			leave(f.pool, near)
			leftAt := time.Now()
			r := <-second
			is.Equal(r.Outcome, gatherer.OutcomeAnswered)
			is.Equal(string(r.Parts[0].Body), "s/far")
			is.True(time.Since(leftAt) < 250*ms) // while the call before it still runs
			is.Equal((<-first).Outcome, gatherer.OutcomeAnswered)
			is.Equal(f.calls["s/near"].Load(), int64(1))
		})
	}
}

// Guards against requests that wait until their deadline for a leaf that has left while no other one is there.
func TestRequestThatWaitsForLastLeafIsRefusedWhenItLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerAfter(400 * ms)})
	first, second := f.startBehind(t, singleServiceRoute(false))
	draining := f.leafEntry("s", "near")
	draining.Draining = true
	f.pool.Put(draining, time.Now())
	leftAt := time.Now()
	is.Equal((<-second).Outcome, gatherer.OutcomeNotRun)
	is.True(time.Since(leftAt) < 250*ms)
	is.Equal((<-first).Outcome, gatherer.OutcomeAnswered)
	is.Equal(f.calls["s/near"].Load(), int64(1)) // "not run" stays true
}

// Guards against a shard that is left out of an answer because the leaf at which its call waited has left.
func TestShardWhoseLeafLeavesIsAskedElsewhere(t *testing.T) {
	is := is.New(t)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{"s3/near": answerAfter(150 * ms)})
	f.pool.Remove("s3/far", "test")
	f.pool.SetServices(map[string]balancer.Service{"s3": {MaxConnections: 1}})
	single := matcher.Route{Attempts: 1, Targets: []matcher.Target{{Service: "s3", Weight: 1}}, Name: "single"}
	first, second := make(chan gatherer.Result), make(chan gatherer.Result)
	go func() { first <- f.run(t.Context(), single) }()
	for f.calls["s3/near"].Load() == 0 {
		time.Sleep(ms)
	}
	near := f.pool.UsableLeaves("s3")[0]
	go func() { second <- f.run(t.Context(), route) }()
	for near.Exchanger().Waiting() == 0 {
		time.Sleep(ms)
	}
	f.addLeaf(t, "s3/other", answerAfter(0))
	f.pool.Remove("s3/near", "test")
	is.Equal(len((<-second).Parts), 10)
	is.Equal((<-first).Outcome, gatherer.OutcomeAnswered)
}
