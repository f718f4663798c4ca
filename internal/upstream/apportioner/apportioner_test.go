package apportioner_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/apportioner"
	"github.com/magnoliastep/magnoliastep/internal/upstream/queuer"
)

func TestCallsInFlightKeepSlotsBusyAndAtLeastOneForEachNode(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ slots, nodes, want int }{
		{3, 6, 1}, {3, 15, 1}, {6, 7, 2}, {6, 1, 12}, {4, 0, 8}, {2, 300, 1}, {500, 6, 167},
	} {
		is.Equal(apportioner.CallsInFlight(c.slots, c.nodes), c.want)
	}
	is.Equal(apportioner.ServingNodes(3), 6)
	is.Equal(apportioner.ServingNodes(0), 1)
}

const (
	hotShards    = 9
	spareShards  = 2
	slots        = 3
	meanWork     = 23 * time.Millisecond
	target       = 170 * time.Millisecond
	timeout      = 1900 * time.Millisecond
	playedFor    = 10 * time.Second
	pauseFor     = 250 * time.Millisecond
	pausePeriod  = 6 * time.Second
	loadRequests = 180 // a second; the only leaf of a shard answers about 128
)

type (
	// occurrence is something that happens at a time of the played load.
	occurrence struct {
		at  time.Time
		run func(now time.Time)
	}

	occurrences []occurrence

	// request is sent to the only leaf of each hot shard.
	request struct {
		arrivedAt time.Time
		node      int
		missing   int
		ended     bool
	}

	// play is the state of a played load: nodes that send the calls of requests to one leaf a shard.
	play struct {
		random      *rand.Rand
		due         occurrences
		limit       int
		waiting     [][]queuer.Queuer[*request] // by node and shard
		inFlight    [][]int                     // by node and shard
		atLeaf      [][]*request                // by shard, in order of arrival
		busy        []int                       // by shard
		pausedUntil []time.Time                 // by shard
		inTime      int
		asked       int
	}
)

func (o occurrences) Len() int           { return len(o) }
func (o occurrences) Less(i, j int) bool { return o[i].at.Before(o[j].at) }
func (o occurrences) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *occurrences) Push(x any)        { *o = append(*o, x.(occurrence)) }
func (o *occurrences) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

func (p *play) schedule(at time.Time, run func(now time.Time)) {
	heap.Push(&p.due, occurrence{at: at, run: run})
}

// arrive sends the request's call to each shard.
func (p *play) arrive(now time.Time) {
	p.asked++
	r := &request{arrivedAt: now, node: p.random.IntN(len(p.waiting)), missing: hotShards}
	for s := range hotShards {
		p.waiting[r.node][s].Add(&queuer.Call[*request]{InTimeUntil: now.Add(target - meanWork), Value: r})
		p.send(now, r.node, s)
	}
	p.schedule(now.Add(target), func(time.Time) {
		if !r.ended && r.missing <= spareShards {
			r.ended = true
			p.inTime++
		}
	})
	p.schedule(now.Add(timeout), func(time.Time) { r.ended = true })
}

func (p *play) send(now time.Time, node, shard int) {
	for q := &p.waiting[node][shard]; q.Len() > 0 && p.inFlight[node][shard] < p.limit; {
		if r := q.Take(now).Value; !r.ended {
			p.inFlight[node][shard]++
			p.atLeaf[shard] = append(p.atLeaf[shard], r)
		}
	}
	p.startWork(now, shard)
}

func (p *play) startWork(now time.Time, shard int) {
	for p.busy[shard] < slots && len(p.atLeaf[shard]) > 0 && !now.Before(p.pausedUntil[shard]) {
		r := p.atLeaf[shard][0]
		p.atLeaf[shard] = p.atLeaf[shard][1:]
		p.busy[shard]++
		work := time.Duration((0.5 + p.random.Float64()) * float64(meanWork))
		p.schedule(now.Add(work), func(now time.Time) { p.finish(now, r, shard) })
	}
}

func (p *play) finish(now time.Time, r *request, shard int) {
	p.busy[shard]--
	p.inFlight[r.node][shard]--
	r.missing--
	if r.missing == 0 && !r.ended {
		r.ended = true
		if now.Sub(r.arrivedAt) <= target {
			p.inTime++
		}
	}
	p.send(now, r.node, shard)
	p.startWork(now, shard)
}

func (p *play) pause(now time.Time, shard int) {
	p.pausedUntil[shard] = now.Add(pauseFor)
	p.schedule(now.Add(pauseFor), func(now time.Time) { p.startWork(now, shard) })
	p.schedule(now.Add(pausePeriod), func(now time.Time) { p.pause(now, shard) })
}

// shareInTime plays the load with a number of nodes that may each have limit calls in flight at a leaf, and returns the
// share of requests that were answered in time.
func shareInTime(seed uint64, nodes, limit int, perSecond float64) float64 {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), limit: limit,
		waiting: make([][]queuer.Queuer[*request], nodes), inFlight: make([][]int, nodes),
		atLeaf: make([][]*request, hotShards), busy: make([]int, hotShards),
		pausedUntil: make([]time.Time, hotShards),
	}
	start := time.Unix(0, 0)
	for n := range nodes {
		p.waiting[n], p.inFlight[n] = make([]queuer.Queuer[*request], hotShards), make([]int, hotShards)
	}
	for s := range hotShards {
		at := start.Add(time.Duration(p.random.Float64() * float64(pausePeriod)))
		p.schedule(at, func(now time.Time) { p.pause(now, s) })
	}
	for at := start; at.Before(start.Add(playedFor)); {
		at = at.Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
		p.schedule(at, p.arrive)
	}
	for end := start.Add(playedFor + timeout); p.due[0].at.Before(end); {
		o := heap.Pop(&p.due).(occurrence)
		o.run(o.at)
	}
	return float64(p.inTime) / float64(p.asked)
}

// Plays an overload in which nine shards have one leaf left, each asked for 1.4 times what it can answer, while an
// answer may lack two shards. Leaves answer in order of arrival, so what waits at them is answered too late. Before,
// the nodes had as many calls in flight as they had connections, until late answers reduced them, and 15 nodes served.
func TestApportionedCallsAreAnsweredInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	const (
		nodesBefore, limitBefore = 15, 6
	)
	nodes := apportioner.ServingNodes(slots)
	limit := apportioner.CallsInFlight(slots, nodes)
	for seed := range uint64(4) {
		before := shareInTime(seed, nodesBefore, limitBefore, loadRequests)
		fewerNodes := shareInTime(seed, nodes, limitBefore, loadRequests)
		fewerCalls := shareInTime(seed, nodesBefore, 1, loadRequests)
		after := shareInTime(seed, nodes, limit, loadRequests)
		t.Logf("seed %d, in time: before %.2f, fewer nodes %.2f, fewer calls %.2f, both %.2f", seed, before, fewerNodes,
			fewerCalls, after)
		is.True(after >= 0.35)
		is.True(after >= 2*before)
	}
}

// The limits must cost nothing while the leaves can answer all calls.
func TestApportionedCallsCostNothingBelowCapacity(t *testing.T) {
	is := is.New(t)
	nodes := apportioner.ServingNodes(slots)
	limit := apportioner.CallsInFlight(slots, nodes)
	for seed := range uint64(3) {
		is.True(shareInTime(seed, nodes, limit, loadRequests/3) >= shareInTime(seed, nodes, 6, loadRequests/3)-0.01)
	}
}
