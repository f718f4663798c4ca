package limiter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

// pass lets time pass without requests.
func (c *cluster) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance()
	}
}

// flood sends far more requests of the account a0 than its quota to some nodes for a time, and returns the number of
// grants.
func (c *cluster) flood(d time.Duration, nodes ...int) int {
	granted := 0
	for end := c.now.Add(d); c.now.Before(end); c.advance() {
		for range 20 {
			for _, i := range nodes {
				if ok, _ := c.ask(i, "a0"); ok {
					granted++
				}
			}
		}
	}
	return granted
}

// isolate cuts a node off from all others, or connects it again.
func (c *cluster) isolate(i int, cut bool) {
	for j := range c.nodes {
		c.setCut(i, j, cut)
		c.setCut(j, i, cut)
	}
}

// Guards against a node that is cut off while callers still reach it: neither it nor the others may use its share and
// theirs. The others get the whole quota once its permission has run out.
func TestOthersGetQuotaOfNodeThatIsCutOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 6, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	c.isolate(0, true)
	c.flood(6*time.Second, 0, 1, 2, 3, 4, 5)
	alone := c.flood(5*time.Second, 0)
	is.True(alone <= 8) // its part of the tolerance, twice at most
	others := c.flood(5*time.Second, 1, 2, 3, 4, 5)
	is.True(others >= 56*5*95/100)
	c.isolate(0, false)
	c.pass(2 * time.Second)
	c.flood(2*time.Second, 0)
	back := c.flood(5*time.Second, 0)
	is.True(back >= 56*5*95/100)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
}

// Guards against a common restart, after which no node knows what was spent: the first seconds must not grant a burst
// again, and callers must not wait until the view of the fleet is settled.
func TestQuotaAfterRestartOfAllNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 6, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	c.flood(time.Second, 0, 1, 2, 3, 4, 5)
	for i := range c.nodes {
		c.kill(i)
	}
	c.pass(time.Second)
	for i := range c.nodes {
		c.start(i)
	}
	c.flood(time.Second, 0, 1, 2, 3, 4, 5)
	second := c.flood(2*time.Second, 0, 1, 2, 3, 4, 5)
	is.True(second >= 56*2*90/100)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
}

// Guards against nodes that die one after the other and leave the survivors without the quota.
func TestSurvivorsGetQuotaOfKilledNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 7, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	c.kill(0)
	c.kill(1)
	c.pass(4 * time.Second)
	c.flood(2*time.Second, 2, 3, 4, 5, 6)
	is.True(c.flood(5*time.Second, 2, 3, 4, 5, 6) >= 56*5*95/100)
	c.kill(2)
	c.pass(4 * time.Second)
	c.flood(2*time.Second, 3, 4, 5, 6)
	is.True(c.flood(5*time.Second, 3, 4, 5, 6) >= 56*5*95/100)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
}

// Guards against a process that was paused and goes on with a permission that has run out.
func TestPausedNodeHasNoPermission(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 6, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	n := c.nodes[0]
	granted := 0
	for range 200 {
		if ok, _ := n.limiter.Take("a0", c.now.Add(8*time.Second)); ok {
			granted++
		}
	}
	is.True(granted <= 4) // its part of the tolerance
}

// Guards against a lowered quota that does not bind, and a raised one that is not usable at once.
func TestChangedQuotaBindsAllNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 6, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	set := func(rate, burst float64) {
		c.accounts = accounts(1, rate, burst)
		c.grants = map[string][]time.Time{}
		for _, n := range c.nodes {
			n.limiter.SetAccounts(c.accounts, c.now)
		}
	}
	set(10, 10)
	c.flood(6*time.Second, 0, 1, 2, 3, 4, 5)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
	set(100, 200)
	is.True(c.flood(time.Second, 0, 1, 2, 3, 4, 5) >= 200)
	c.flood(5*time.Second, 0, 1, 2, 3, 4, 5)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
}

// Guards against quotas that no node can work with, which must not panic, refuse all requests or disturb others.
func TestUnusableQuotaSetsNoLimit(t *testing.T) {
	is := is.New(t)
	l := limiter.New(limiter.Config{NodeName: "n", Process: 1, Bounds: limiter.Bounds{
		Window: -1, Over: math.NaN(), Slack: math.Inf(1),
	}})
	now := time.Unix(1000, 0)
	unusable := l.SetAccounts([]limiter.Account{
		{Name: "nan", Rate: math.NaN()},
		{Name: "negative", Rate: -1},
		{Name: "huge", Rate: 1e300},
		{Name: "bad burst", Rate: 1, Burst: math.Inf(1)},
		{Name: "good", Rate: 1, Burst: 1},
		{Name: "good", Rate: 1e6},
		{Name: "none"},
	}, now)
	is.Equal(unusable, []string{"nan", "negative", "huge", "bad burst"})
	l.SetView(limiter.View{Known: true, Serving: true, Alive: 1}, now)
	for _, name := range []string{"nan", "negative", "huge", "bad burst", "none", "unknown"} {
		ok, _ := l.Take(name, now)
		is.True(ok)
	}
	now = now.Add(time.Minute)
	l.SetView(limiter.View{Known: true, Serving: true, Alive: 1}, now)
	first, _ := l.Take("good", now)
	second, retryIn := l.Take("good", now)
	is.True(first && !second)
	is.True(retryIn > 0 && retryIn <= limiter.DefaultWindow)
}

// Guards against reports that are cut short or absurd, which must not panic or take the quota away for good.
func TestAbsurdReportIsSurvived(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	l := c.nodes[0].limiter
	hash := []uint64{0}
	for _, r := range c.nodes[1].limiter.Reports(c.now.Add(2 * time.Second)) {
		hash = r.Message.GetAccounts()
	}
	for _, r := range []*pb.QuotaReport{
		{},
		{Process: 1},
		{Process: 1, Accounts: []uint64{1, 2}, Granted: []int64{1}},
		{Process: 9, Sequence: math.MaxUint64, HeardProcess: 9, HeardSequence: math.MaxUint64},
		{
			Process: 9, Sequence: 1, Accounts: hash, Granted: make([]int64, len(hash)),
			Recent: fill(len(hash), math.MaxInt64), Demand: make([]uint64, len(hash)),
		},
	} {
		l.Receive("stranger", r, c.now)
		l.Receive("n0", r, c.now)
	}
	c.pass(20 * time.Second)
	is.True(c.flood(3*time.Second, 0, 1, 2) >= 56*3*90/100)
}

func fill(n int, value int64) []int64 {
	values := make([]int64, n)
	for i := range values {
		values[i] = value
	}
	return values
}

// Guards against an operator who can't tell why an account is refused: each node says once that it begins and once that
// it ends, with what it knew.
func TestChangeOfAccountIsToldOnce(t *testing.T) {
	is := is.New(t)
	var changes []limiter.Change
	l := limiter.New(limiter.Config{NodeName: "n", Process: 1, Bounds: bounds(), OnChange: func(c limiter.Change) {
		changes = append(changes, c)
	}})
	now := time.Unix(1000, 0)
	l.SetAccounts(accounts(1, 2, 4), now)
	l.SetView(limiter.View{Known: true, Serving: true, Alive: 1}, now)
	for range 100 {
		l.Take("a0", now)
	}
	is.Equal(l.Limited(), 1)
	for range 100 {
		now = now.Add(limiter.ReportPeriod)
		l.Reports(now)
	}
	is.Equal(len(changes), 2)
	is.True(changes[0].Limited && changes[0].Refused == 0 && changes[0].Account == "a0")
	is.True(!changes[1].Limited && changes[1].Refused > 80)
	is.Equal(l.Limited(), 0)
}

// Guards against quotas that cost much: the decision is on the path of each request.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("%d accounts", n), func(b *testing.B) {
			c := newCluster(1, 6, accounts(n, 1, 2))
			c.pass(5 * time.Second)
			now := c.now
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				c.nodes[0].limiter.Take(c.accounts[i%n].Name, now)
			}
		})
	}
}

// Guards against state that grows with accounts and nodes beyond what a small VM can hold.
func BenchmarkReports(b *testing.B) {
	c := newCluster(1, 6, accounts(1000, 1, 2))
	for i := range c.accounts {
		c.ask(i%6, c.accounts[i].Name)
	}
	c.pass(5 * time.Second)
	now := c.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(limiter.ReportPeriod)
		c.nodes[0].limiter.Reports(now)
	}
}

// Guards against a node that restarts while it is cut off from exactly half of the fleet: it does not know the demand
// of the others, so nothing reserves their share (found with seed 271 of 400 random ones).
func TestNodeRestartedBehindCutHasNoShare(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 2, accounts(1, 56, 110))
	c.pass(10 * time.Second)
	c.isolate(0, true)
	c.pass(3 * time.Second)
	c.kill(0)
	c.start(0)
	c.pass(6 * time.Second)
	is.True(!c.nodes[0].limiter.Permitted())
	c.flood(6*time.Second, 0, 1)
	is.True(float64(c.most("a0")) <= allowed(c.accounts[0]))
}
