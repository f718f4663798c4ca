package budgeter_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/budgeter"
)

const (
	share         = 0.2
	slack         = 54
	windowSeconds = 10
)

func bound() budgeter.Config { return budgeter.Config{Share: share, Slack: slack} }

// The load: nodes that save their second sends and then all take every one they may, start anew now and then,
// join and leave. In no window may all of them together exceed the share of the requests plus the slack.
func TestAllNodesStayWithinTheBudgetOfAnyWindow(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes := 3 + random.IntN(8)
		budgets := make([]*budgeter.Budgeter, 12)
		for i := range budgets {
			budgets[i] = budgeter.New(bound)
		}
		var requests, sends []int
		saving := 0
		for second := range 60 {
			requests, sends = append(requests, 0), append(sends, 0)
			if random.IntN(8) == 0 {
				nodes = 3 + random.IntN(8)
			}
			if random.IntN(4) == 0 {
				budgets[random.IntN(nodes)] = budgeter.New(bound)
			}
			if saving--; saving < -1 {
				saving = random.IntN(20)
			}
			for range random.IntN(200) {
				b := budgets[random.IntN(nodes)]
				requests[second]++
				b.Earn(nodes)
				for saving <= 0 && b.TakeRetry() {
					sends[second]++
				}
			}
			from := max(0, second-windowSeconds+1)
			allowed, used := float64(slack), 0
			for i := from; i <= second; i++ {
				allowed += share * float64(requests[i])
				used += sends[i]
			}
			is.True(float64(used) <= allowed) // within the budget
		}
	}
}

func TestHedgesLeaveRoomForRetries(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(bound)
	is.True(!b.TakeRetry()) // a node that has just started has earned nothing
	for range 1000 {
		b.Earn(4)
	}
	for b.TakeHedge() {
	}
	is.True(b.Tokens() > 1)
	is.True(b.TakeRetry())
	before := b.Tokens()
	b.Return()
	is.True(b.Tokens() > before)
}
