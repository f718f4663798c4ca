package granter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/quota/granter"
)

// quota allows 10 requests per second and 20 on top, in windows of 5 s exactly.
func quota() granter.Config {
	return granter.Config{Rate: 10, Burst: 20, Window: 5 * time.Second}
}

// alone is the situation of the only node.
func alone(now time.Time) granter.Situation {
	return granter.Situation{Now: now, Nodes: 1, Permitted: true}
}

// take asks for a number of requests and returns how many were granted.
func take(g *granter.Granter, s granter.Situation, requests int) int {
	granted := 0
	for range requests {
		if ok, _ := g.Take(s); ok {
			granted++
		}
	}
	return granted
}

// Guards against a burst after a start: what was granted before it is not known.
func TestNodeBeginsWithRateAndNoBurst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := granter.New(quota(), now)
	is.Equal(take(g, alone(now), 100), 0)
	is.Equal(take(g, alone(now.Add(time.Second)), 100), 10)
	is.Equal(take(g, alone(now.Add(time.Minute)), 100), 20)
}

// Guards against a node that takes the share of others, whose grants it does not know yet.
func TestNodeTakesItsShareUntilOthersConfirm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := granter.New(quota(), now)
	s := granter.Situation{Now: now.Add(time.Minute), Nodes: 4, Permitted: true}
	is.Equal(take(g, s, 100), 5) // a quarter of 20
	g.Report(s, 1)
	is.Equal(take(g, s, 100), 0)
	s.Confirmed = 1
	is.Equal(take(g, s, 100), 10) // seven tenths of 15, since the others have no demand
}

// Guards against a share that stays small at the node at which all callers of an account are.
func TestShareFollowsDemandOnceOthersKnowIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := granter.New(quota(), now)
	s := granter.Situation{Now: now.Add(time.Minute), Nodes: 4, Permitted: true, OthersDemand: 30}
	take(g, s, 30)
	before := g.Share(s)
	g.Report(s, 1)
	is.Equal(g.Share(s), before)
	s.Confirmed, s.OthersDemand = 1, 0
	take(g, s, 1)
	is.True(g.Share(s) > 0.6)
}

// Guards against a node that is cut off and goes on with its share of a level that others use.
func TestNodeWithoutPermissionHasOnlyItsExtraGrants(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := granter.New(quota(), now)
	s := granter.Situation{Now: now.Add(time.Minute), Nodes: 4, Extra: 2, ExtraNodes: 4}
	is.Equal(take(g, s, 100), 2)
	s.Now = s.Now.Add(4 * time.Second)
	is.Equal(take(g, s, 100), 0)
	s.Now = s.Now.Add(2 * time.Second)
	is.Equal(take(g, s, 100), 2)
}

// Guards against requests that cost credit although no leaf has run them.
func TestReturnedGrantCanBeTakenAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := granter.New(quota(), now)
	s := alone(now.Add(time.Minute))
	is.Equal(take(g, s, 100), 20)
	g.Return(s)
	is.Equal(take(g, s, 100), 1)
	granted, _, _ := g.Report(s, 1)
	is.Equal(granted, int64(20))
}

// Guards against a lowered quota that binds late, and a raised one whose burst has to be earned first.
func TestChangedQuotaIsInForceAtOnce(t *testing.T) {
	is := is.New(t)
	s := alone(time.Unix(1060, 0))
	lowered := granter.New(quota(), time.Unix(1000, 0))
	lowered.Reconfigure(granter.Config{Rate: 1, Burst: 2, Window: 5 * time.Second}, s)
	is.Equal(take(lowered, s, 100), 2)
	raised := granter.New(quota(), time.Unix(1000, 0))
	is.Equal(take(raised, s, 100), 20)
	raised.Reconfigure(granter.Config{Rate: 10, Burst: 50, Window: 5 * time.Second}, s)
	is.Equal(take(raised, s, 100), 30)
}

// Guards against refused callers that are all told the same time, and come back in one wave.
func TestRefusedCallersAreToldTimesAtPaceOfRate(t *testing.T) {
	is := is.New(t)
	s := alone(time.Unix(1060, 0))
	g := granter.New(quota(), time.Unix(1000, 0))
	take(g, s, 20)
	var told []time.Duration
	for range 5 {
		ok, retryIn := g.Take(s)
		is.True(!ok)
		told = append(told, retryIn)
	}
	for i := range told[1:] {
		is.Equal(told[i+1]-told[i], 100*time.Millisecond)
	}
	s.Now = s.Now.Add(told[0])
	is.Equal(take(g, s, 1), 1)
}

// Guards against the loss of a node that had granted its share without a report: what it may have taken is reserved.
func TestShareOfSilentNodeStaysReserved(t *testing.T) {
	is := is.New(t)
	g := granter.New(quota(), time.Unix(1000, 0))
	s := granter.Situation{Now: time.Unix(1060, 0), Nodes: 2, Permitted: true, OthersDemand: 10}
	reserved := g.Reserve(s, 10)
	is.True(reserved >= 10)
	level := g.Level()
	s.Silent, s.SilentDemand = 1, 10
	s.Now = s.Now.Add(time.Second)
	take(g, s, 0)
	g.Spend(s, 0)
	is.True(g.Level() < level+5) // less than the rate
}

// Guards against refusals of seldom requests at the many nodes whose share is less than a request, and against more of
// them than the others know of.
func TestNodeWithSmallShareHasSpareRequestWhileLevelIsHigh(t *testing.T) {
	is := is.New(t)
	c := quota()
	c.Slack = 20
	g := granter.New(c, time.Unix(1000, 0))
	s := granter.Situation{
		Now: time.Unix(1060, 0), Nodes: 60, Permitted: true, OthersDemand: 10000,
	}
	is.Equal(take(g, s, 100), 1)
	g.Report(s, 1)
	is.Equal(take(g, s, 100), 0)
	s.Confirmed = 1
	is.Equal(take(g, s, 100), 1)
	g.Spend(s, 15)
	g.Report(s, 2)
	s.Confirmed = 2
	is.Equal(take(g, s, 100), 0)
}
