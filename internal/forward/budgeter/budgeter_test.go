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

func limits() budgeter.Config { return budgeter.Config{Share: share, Slack: slack} }

// Guards against second sends of all nodes exceeding the share of the requests plus the slack in a window. Nodes save
// tokens and then all spend them at once, while nodes restart, join and leave.
func TestSecondSendsOfAllNodesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes := 3 + random.IntN(8)
		budgets := make([]*budgeter.Budgeter, 12)
		for i := range budgets {
			budgets[i] = budgeter.New(limits)
		}
		var requests, sends []int
		saving := 0
		for second := range 60 {
			requests, sends = append(requests, 0), append(sends, 0)
			if random.IntN(8) == 0 {
				nodes = 3 + random.IntN(8)
			}
			if random.IntN(4) == 0 {
				budgets[random.IntN(nodes)] = budgeter.New(limits)
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
			is.True(float64(used) <= allowed) // second sends within the budget
		}
	}
}

func TestHedgesLeaveReserveForRetries(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(limits)
	is.True(!b.TakeRetry()) // the bucket of a new node is empty
	for range 1000 {
		b.Earn(4)
	}
	for b.TakeHedge() {
	}
	is.True(b.Tokens() > 1)
	is.True(b.TakeRetry())
	before := b.Tokens()
	b.Refund()
	is.True(b.Tokens() > before)
}
