package balancer_test

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	playShards    = 12
	playSlots     = 4
	playZones     = 3
	playNodes     = 3 // in each zone
	playTypical   = 5 * time.Millisecond
	playTarget    = 50 * time.Millisecond
	playDuration  = 6 * time.Second
	playCallBytes = 1 << 10
	playPerZone   = 150 // requests per second
	// playFactor is the factor by which an earlier rule multiplied the expected latency of a leaf in another zone.
	playFactor = 1.5
)

type (
	// playedLeaf is a leaf of a shard in a zone. It runs a call on the slot that is free first.
	playedLeaf struct {
		freeAt [playSlots]time.Time
		// slowdown returns the factor of the leaf's latency at a time; nil is 1.
		slowdown func(at time.Duration) float64
		// absent returns whether the leaf may not be called at a time; nil is never.
		absent func(at time.Duration) bool
	}

	// playedCall is a call that is open.
	playedCall struct {
		endsAt, startedAt time.Time
		leaf              *balancer.Leaf
	}

	playedCalls []playedCall

	// play is a load on the leaves of three zones that runs in virtual time.
	play struct {
		random *rand.Rand
		leaves map[string]*playedLeaf
		// perZone is the number of requests in a second of each zone.
		perZone [playZones]float64
		// pick is the rule; nil is the one of the balancer.
		pick func(leaves []*balancer.Leaf, zone string, now time.Time) *balancer.Leaf
		open playedCalls
		// left has, for each tenth of a second, how many of the calls of the first zone have left it, and calls their number.
		left, calls [playDuration / (100 * time.Millisecond)]float64
		// late is the number of parts that were not there by the target, and parts the number of all.
		late, parts float64
	}
)

func (p playedCalls) Len() int           { return len(p) }
func (p playedCalls) Less(i, j int) bool { return p[i].endsAt.Before(p[j].endsAt) }
func (p playedCalls) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *playedCalls) Push(x any)        { *p = append(*p, x.(playedCall)) }
func (p *playedCalls) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func newPlay() *play {
	p := &play{random: rand.New(rand.NewPCG(1, 2)), leaves: map[string]*playedLeaf{}}
	for z := range playZones {
		p.perZone[z] = playPerZone
		for s := range playShards {
			p.leaves[leafID(s, z)] = &playedLeaf{}
		}
	}
	return p
}

func leafID(shard, zone int) string { return fmt.Sprintf("s%d/z%d", shard, zone) }

// lowestLatency is the earlier rule: the lowest expected latency, multiplied by a factor in another zone.
func lowestLatency(leaves []*balancer.Leaf, zone string, now time.Time) *balancer.Leaf {
	var best *balancer.Leaf
	lowest := math.Inf(1)
	for _, l := range leaves {
		expected := float64(l.Scorer().ExpectedLatency(now, playTypical, playSlots))
		if l.Entry().Zone != zone {
			expected *= playFactor
		}
		if expected < lowest {
			best, lowest = l, expected
		}
	}
	return best
}

// newNode returns the balancer of a node of a zone with an entry for each leaf.
func (p *play) newNode(zone int, now time.Time) *balancer.Balancer {
	b := balancer.New(balancer.Config{
		Zone: fmt.Sprintf("z%d", zone), MaxAnswerBytes: 1, ColdShare: func(string) float64 { return 1 },
		Localizer: localizer.New(localizer.Config{TrafficCost: localizer.DefaultTrafficCost, Random: p.random.Float64}),
		Random:    p.random.Float64, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	b.SetServices(map[string]balancer.Service{})
	for s := range playShards {
		for z := range playZones {
			b.Put(balancer.Entry{
				ID: leafID(s, z), Service: fmt.Sprintf("s%d", s), Address: "127.0.0.1:1", Zone: fmt.Sprintf("z%d", z),
				Slots: playSlots,
			}, now)
		}
	}
	return b
}

// run plays the load and returns the share of late parts and that of the calls of the first zone that left it.
func (p *play) run() (late, left float64) {
	start := time.Unix(1, 0)
	var nodes [playZones][]*balancer.Balancer
	var next [playZones]time.Duration
	for z := range nodes {
		for range playNodes {
			nodes[z] = append(nodes[z], p.newNode(z, start))
		}
	}
	for {
		z := 0
		for i := range next {
			if next[i] < next[z] {
				z = i
			}
		}
		at := next[z]
		if at >= playDuration {
			break
		}
		p.endCalls(start.Add(at))
		b := nodes[z][p.random.IntN(playNodes)]
		for s := range playShards {
			p.call(b, z, s, start, at)
		}
		next[z] += time.Duration(p.random.ExpFloat64() / p.perZone[z] * float64(time.Second))
	}
	total := 0.0
	for i := range p.calls {
		left += p.left[i]
		total += p.calls[i]
	}
	return p.late / p.parts, left / total
}

func (p *play) endCalls(now time.Time) {
	for len(p.open) > 0 && !p.open[0].endsAt.After(now) {
		c := heap.Pop(&p.open).(playedCall)
		c.leaf.Scorer().End(c.startedAt, c.endsAt, c.endsAt.Sub(c.startedAt), playTypical, scorer.Success)
	}
}

// call makes one call of a request that arrives at a node.
func (p *play) call(b *balancer.Balancer, zone, shard int, start time.Time, at time.Duration) {
	now, service := start.Add(at), fmt.Sprintf("s%d", shard)
	absent := func(l *balancer.Leaf) bool {
		played := p.leaves[l.Entry().ID]
		return played.absent != nil && played.absent(at)
	}
	var l *balancer.Leaf
	if p.pick != nil {
		var present []*balancer.Leaf
		for _, l := range b.UsableLeaves(service) {
			if !absent(l) {
				present = append(present, l)
			}
		}
		l = p.pick(present, fmt.Sprintf("z%d", zone), now)
	} else {
		l, _ = b.Pick(service, balancer.Call{
			TypicalLatency: playTypical,
			Call: localizer.Call{
				InTime:    localizer.Stake{Left: playTarget, Loss: 2.0 / playShards},
				InAnyCase: localizer.Stake{Left: 10 * playTarget, Loss: 0.1},
				Bytes:     playCallBytes,
			},
		}, absent, now)
	}
	endsAt := p.leaves[l.Entry().ID].serve(now, at, p.random)
	l.Scorer().Begin(now)
	heap.Push(&p.open, playedCall{endsAt: endsAt, startedAt: now, leaf: l})
	p.parts++
	if endsAt.Sub(now) > playTarget {
		p.late++
	}
	if zone == 0 {
		window := at / (100 * time.Millisecond)
		p.calls[window]++
		if l.Entry().Zone != "z0" {
			p.left[window]++
		}
	}
}

// serve returns when a call ends that arrives now.
func (l *playedLeaf) serve(now time.Time, at time.Duration, random *rand.Rand) time.Time {
	slot := 0
	for i := range l.freeAt {
		if l.freeAt[i].Before(l.freeAt[slot]) {
			slot = i
		}
	}
	factor := math.Exp(0.35 * random.NormFloat64())
	if random.Float64() < 0.01 {
		factor *= 5
	}
	if l.slowdown != nil {
		factor *= l.slowdown(at)
	}
	begins := now
	if l.freeAt[slot].After(now) {
		begins = l.freeAt[slot]
	}
	l.freeAt[slot] = begins.Add(time.Duration(factor * float64(playTypical)))
	return l.freeAt[slot]
}

// share returns the share of the calls of the first zone that left it from one time to another.
func (p *play) share(from, to time.Duration) float64 {
	left, calls := 0.0, 0.0
	for i := from / (100 * time.Millisecond); i < to/(100*time.Millisecond); i++ {
		left += p.left[i]
		calls += p.calls[i]
	}
	return left / max(1, calls)
}

// Guards against calls that leave the zone although its own leaves answer in time, against calls that stay at a leaf
// that can't, and against a zone that is left alone no sooner than long after its leaf has recovered. Each load is also
// played with the earlier rule.
func TestCallsLeaveZoneOnlyWhereItPays(t *testing.T) {
	const (
		begin, end = 2 * time.Second, 4 * time.Second
		// recovery is the time after which a leaf that has recovered gets its calls again.
		recovery = time.Second
		// maxHealthyShare is the share of calls that may leave a zone whose leaves are all healthy.
		maxHealthyShare = 0.015
		// maxMoreLate is how many more parts may be late than with the earlier rule, so that of ten requests over
		// playShards shards not one more lacks a part.
		maxMoreLate = 0.1 / playShards
	)
	lasts := func(at time.Duration) bool { return at >= begin && at < end }
	during := func(factor float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if lasts(at) {
				return factor
			}
			return 1
		}
	}
	pauses := func(at time.Duration) float64 {
		if at%time.Second < 100*time.Millisecond { // the call that arrives then waits for the end of the pause
			return float64((100*time.Millisecond - at%time.Second) / playTypical)
		}
		return 1
	}
	for _, c := range []struct {
		name    string
		prepare func(p *play)
		// minLeft and maxLeft bound the share of the calls of zone 0 that leave it while the cause lasts.
		minLeft, maxLeft float64
		// maxAfter bounds the share after the cause has ended; 0 is maxHealthyShare.
		maxAfter float64
	}{
		{"healthy", func(*play) {}, 0, maxHealthyShare, 0},
		{"one leaf is slow and in time", func(p *play) { p.leaves["s0/z0"].slowdown = during(1.5) }, 0, maxHealthyShare, 0},
		{
			"one leaf is slow and late", func(p *play) { p.leaves["s0/z0"].slowdown = during(12) }, 0.7 / playShards,
			1.3 / playShards, 0,
		},
		{
			"one leaf pauses now and then", func(p *play) { p.leaves["s0/z0"].slowdown = pauses }, 0, 0.5 / playShards,
			0.5 / playShards,
		},
		{
			"one leaf is absent for a while", func(p *play) { p.leaves["s0/z0"].absent = lasts }, 1.0 / playShards,
			1.3 / playShards, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			earlier, current := newPlay(), newPlay()
			earlier.pick = lowestLatency
			c.prepare(earlier)
			c.prepare(current)
			earlierLate, earlierLeft := earlier.run()
			late, left := current.run()
			meanwhile, after := current.share(begin, end), current.share(end+recovery, playDuration)
			t.Logf("late %.4f, with the earlier rule %.4f; left %.4f, %.4f; meanwhile %.4f, after %.4f", late, earlierLate, left,
				earlierLeft, meanwhile, after)
			is.True(late <= earlierLate+maxMoreLate)
			is.True(left <= earlierLeft/2)
			is.True(meanwhile >= c.minLeft && meanwhile <= c.maxLeft)
			is.True(after <= max(c.maxAfter, maxHealthyShare))
		})
	}
}

// Guards against a zone whose nodes all send their calls away at once, and all back again, when its leaves have more
// calls than they can answer. The leaves of the other zones have room for the rest.
func TestOverloadedZoneSendsSteadyShareAway(t *testing.T) {
	is := is.New(t)
	earlier, current := newPlay(), newPlay()
	earlier.pick = lowestLatency
	for _, p := range []*play{earlier, current} {
		p.perZone[0] = 900
	}
	earlierLate, earlierLeft := earlier.run()
	late, left := current.run()
	lowest, highest := 1.0, 0.0
	for at := time.Second; at < playDuration; at += 200 * time.Millisecond {
		share := current.share(at, at+200*time.Millisecond)
		lowest, highest = min(lowest, share), max(highest, share)
	}
	t.Logf("late %.4f, with the earlier rule %.4f; left %.4f, %.4f; between %.4f and %.4f", late, earlierLate, left,
		earlierLeft, lowest, highest)
	is.True(late <= earlierLate+0.1/playShards)
	is.True(left <= earlierLeft)
	is.True(lowest >= left/2 && highest <= 2*left) // no swing
}
