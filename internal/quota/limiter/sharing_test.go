package limiter_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

// unused is the part of a quota that callers may miss. They come back once, at the time told.
const unused = 0.05

// bucket is a token bucket; one for all nodes grants just what the quota allows, one at each node is a fixed share.
type bucket struct {
	rate, depth, level float64
	at                 time.Time
}

func newBucket(a limiter.Account, share float64) *bucket {
	return &bucket{rate: a.Rate * share, depth: max(1, a.Burst*share)}
}

func (b *bucket) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.level = min(b.depth, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// shares has what callers got, of what one bucket for all nodes would have granted at once.
type shares struct {
	// granted counts requests granted at once, retried those granted when the caller came back at the time told.
	exact, granted, retried, refused, fixed int
}

// retry is a refused caller that comes back.
type retry struct {
	at      time.Time
	node    int
	account string
}

// run sends the load of each account to nodes that pick returns, and counts what callers got after the settling time.
func run(c *cluster, load float64, settle, length time.Duration, pick func() int) shares {
	exact, fixed := map[string]*bucket{}, map[string][]*bucket{}
	for _, a := range c.accounts {
		exact[a.Name] = newBucket(a, 1)
		for range c.nodes {
			fixed[a.Name] = append(fixed[a.Name], newBucket(a, 1/float64(len(c.nodes))))
		}
	}
	var s shares
	var retries []retry
	for begin := c.now; c.now.Sub(begin) < length; c.advance() {
		counts := count(c.now.Sub(begin) >= settle)
		retries = slices.DeleteFunc(retries, func(r retry) bool {
			if r.at.After(c.now) {
				return false
			}
			ok, _ := c.ask(r.node, r.account)
			s.retried += counts * count(ok)
			return true
		})
		for _, a := range c.accounts {
			for range poisson(c.random, load) {
				i := pick()
				s.exact += counts * count(exact[a.Name].take(c.now))
				s.fixed += counts * count(fixed[a.Name][i].take(c.now))
				ok, retryIn := c.ask(i, a.Name)
				s.granted += counts * count(ok)
				if !ok {
					s.refused += counts
					retries = append(retries, retry{at: c.now.Add(retryIn), node: i, account: a.Name})
				}
			}
		}
	}
	return s
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against refusals of requests inside the quota, because the demand of an account sits at one or a few nodes
// while each node has a fixed share. Fixed shares play the same load.
func TestCallersGetWholeQuotaWhereverTheyAre(t *testing.T) {
	for _, nodes := range []int{2, 6, 18} {
		for _, c := range []struct {
			name        string
			accounts    int
			rate, burst float64
			load, skew  float64
		}{
			{"large, all at one node, hot", 1, 56, 110, 200, math.Inf(1)},
			{"large, all at one node, below quota", 1, 56, 110, 45, math.Inf(1)},
			{"large, uneven, hot", 1, 56, 110, 200, 1.5},
			{"large, even, hot", 1, 56, 110, 200, 0},
			{"large, even, below quota", 1, 56, 110, 45, 0},
			{"middle, uneven, hot", 5, 4, 8, 12, 1.5},
			{"middle, even, below quota", 5, 4, 8, 2.5, 0},
			{"without burst, even, hot", 5, 10, 0, 30, 0},
			{"small, even, below quota", 20, 0.3, 1, 0.2, 0},
			{"small, at one node, below quota", 20, 0.3, 1, 0.2, math.Inf(1)},
		} {
			t.Run(fmt.Sprintf("%s, %d nodes", c.name, nodes), func(t *testing.T) {
				cl := newCluster(1, nodes, accounts(c.accounts, c.rate, c.burst))
				pick := func() int { return int(float64(nodes) * math.Pow(cl.random.Float64(), 1+c.skew)) }
				s := run(cl, c.load, 4*time.Second, 24*time.Second, pick)
				t.Logf("granted %.2f, on retry %.2f, fixed shares %.2f of %d; %d bytes in %d reports",
					float64(s.granted)/float64(s.exact), float64(s.retried)/float64(s.exact),
					float64(s.fixed)/float64(s.exact), s.exact, cl.bytes, cl.messages)
				if float64(s.granted+s.retried) < (1-unused)*float64(s.exact) {
					t.Errorf("granted %d of %d", s.granted+s.retried, s.exact)
				}
				for _, a := range cl.accounts {
					if float64(cl.most(a.Name)) > allowed(a) {
						t.Errorf("%d grants in a window, %.1f allowed", cl.most(a.Name), allowed(a))
					}
				}
			})
		}
	}
}

// accounts returns accounts with the same quota.
func accounts(n int, rate, burst float64) []limiter.Account {
	var all []limiter.Account
	for i := range n {
		all = append(all, limiter.Account{Name: "a" + strconv.Itoa(i), Rate: rate, Burst: burst})
	}
	return all
}
