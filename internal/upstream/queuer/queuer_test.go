package queuer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/queuer"
)

const ms = time.Millisecond

func TestTakeOrdersByLatenessPriorityAndAge(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var q queuer.Queuer[string]
	for _, c := range []queuer.Call[string]{
		{Value: "late, high priority", Priority: 1, InTimeUntil: now},
		{Value: "older", Priority: 1, InTimeUntil: now.Add(ms)},
		{Value: "newer", Priority: 1, InTimeUntil: now.Add(ms)},
		{Value: "low priority", Priority: 2, InTimeUntil: now.Add(ms)},
		{Value: "newest, late", Priority: 2, InTimeUntil: now},
	} {
		q.Add(&c)
	}
	var got []string
	for q.Len() > 0 {
		got = append(got, q.Take(now).Value)
	}
	// Every second call is the newest one.
	is.Equal(got, []string{"newer", "newest, late", "older", "low priority", "late, high priority"})
	is.True(q.Take(now) == nil)
}

func TestRemoveReportsWhetherCallStillWaited(t *testing.T) {
	is := is.New(t)
	var q queuer.Queuer[int]
	a, b := &queuer.Call[int]{Value: 1}, &queuer.Call[int]{Value: 2}
	q.Add(a)
	q.Add(b)
	is.True(q.Remove(a))
	is.True(!q.Remove(a))
	is.Equal(q.Take(time.Now()).Value, 2)
}

// route is a kind of call in a simulated load.
type route struct {
	priority  int
	perSecond float64
	work      time.Duration
	target    time.Duration
}

// playLoad sends calls of two routes to a leaf with one slot for ten seconds and returns the share of each route's
// calls that were answered in time. take chooses the next call; a call that has waited for a second leaves.
func playLoad(
	routes []route, seed uint64, take func(q *queuer.Queuer[int], now time.Time) *queuer.Call[int],
) []float64 {
	const step = ms
	random := rand.New(rand.NewPCG(seed, 1))
	var q queuer.Queuer[int]
	waiting := map[*queuer.Call[int]]time.Time{}
	asked, inTime := make([]float64, len(routes)), make([]float64, len(routes))
	start := time.Unix(0, 0)
	var busyUntil time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
		for i, r := range routes {
			if random.Float64() < r.perSecond*step.Seconds() {
				c := &queuer.Call[int]{Value: i, Priority: r.priority, InTimeUntil: now.Add(r.target - r.work)}
				q.Add(c)
				waiting[c] = now
				asked[i]++
			}
		}
		for c, since := range waiting {
			if now.Sub(since) > time.Second && q.Remove(c) {
				delete(waiting, c)
			}
		}
		for !now.Before(busyUntil) && q.Len() > 0 {
			c := take(&q, now)
			r := routes[c.Value]
			busyUntil = now.Add(r.work)
			if busyUntil.Sub(waiting[c]) <= r.target {
				inTime[c.Value]++
			}
			delete(waiting, c)
		}
	}
	shares := make([]float64, len(routes))
	for i := range routes {
		shares[i] = inTime[i] / asked[i]
	}
	return shares
}

// Plays a leaf that gets 1.6 times the calls that it can answer, half of them of a more urgent route. Newest first, as
// calls were ordered before, does not distinguish the routes. The urgent route must be answered in time more often than
// with that order, and the other one must keep more than a quarter of the mean.
func TestOverloadedLeafServesHigherPriorityMoreButStarvesNone(t *testing.T) {
	is := is.New(t)
	routes := []route{
		{priority: 1, perSecond: 45, work: 28 * ms, target: 200 * ms},
		{priority: 2, perSecond: 40, work: 9 * ms, target: 80 * ms},
	}
	equalRoutes := slices.Clone(routes)
	equalRoutes[1].priority = 1
	beforeAnyCallIsLate := time.Unix(0, 0).Add(-time.Hour)
	for seed := range uint64(5) {
		before := playLoad(equalRoutes, seed, func(q *queuer.Queuer[int], _ time.Time) *queuer.Call[int] {
			return q.Take(beforeAnyCallIsLate)
		})
		after := playLoad(routes, seed, (*queuer.Queuer[int]).Take)
		t.Logf("seed %d: in time before %.2f, after %.2f", seed, before, after)
		is.True(after[0] > before[0])                // the urgent route gains
		is.True(after[1] >= (after[0]+after[1])/2/4) // the other one is not starved
	}
}
