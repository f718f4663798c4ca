package limiter_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

// seeds is the number of random loads and failures.
const seeds = 25

func size(r *pb.QuotaReport) int {
	return proto.Size(r)
}

// poisson returns a random number of requests in one step for a rate per second.
func poisson(r *rand.Rand, perSecond float64) int {
	limit, n, product := math.Exp(-perSecond*step.Seconds()), 0, r.Float64()
	for ; product > limit; n++ {
		product *= r.Float64()
	}
	return n
}

// Guards against nodes that together grant more than the quota and its tolerance in a window, because each knows only a
// part of the grants: reports are late or lost, nodes are killed, cut off in one direction or both, or all restarted.
func TestNoWindowExceedsQuotaWhateverFails(t *testing.T) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			nodes := []int{1, 2, 3, 5, 6, 9, 12, 18}[r.IntN(8)]
			a := limiter.Account{Name: "a", Rate: math.Exp(r.Float64()*7 - 1.5)}
			a.Burst = math.Floor(a.Rate * r.Float64() * 3)
			c := newCluster(seed, nodes, []limiter.Account{a})
			c.loss, c.delay = r.Float64()*0.2, time.Duration(r.Float64()*float64(200*time.Millisecond))
			playDisturbed(c, r, a)
			if most := c.most("a"); float64(most) > allowed(a) {
				t.Errorf("%d nodes, rate %.2f, burst %.0f: %d grants in a window, %.1f allowed", nodes, a.Rate, a.Burst, most,
					allowed(a))
			}
		})
	}
}

// playDisturbed sends an account's requests to the nodes, for a part of the time several times the quota, while
// failures begin and end.
func playDisturbed(c *cluster, r *rand.Rand, a limiter.Account) {
	skew, hot := r.Float64()*3, 2+6*float64(r.IntN(2))
	for range int(25 * time.Second / step) {
		disturb(c, r)
		load := a.Rate * 0.6
		if second := c.now.Second() % 10; second >= 4 && second < 8 {
			load = a.Rate * hot
		}
		for range poisson(r, load) {
			c.ask(int(float64(len(c.nodes))*math.Pow(r.Float64(), 1+skew)), a.Name)
		}
		c.advance()
	}
}

// disturb lets a random failure begin or end.
func disturb(c *cluster, r *rand.Rand) {
	i, j := r.IntN(len(c.nodes)), r.IntN(len(c.nodes))
	switch event := r.Float64(); {
	case event < 0.004:
		c.kill(i)
	case event < 0.02:
		if !c.runs(i) {
			c.start(i)
		}
	case event < 0.024:
		c.setCut(i, j, true)
	case event < 0.027:
		for k := range c.nodes {
			c.setCut(i, k, true)
			c.setCut(k, i, true)
		}
	case event < 0.032:
		for k := range c.nodes {
			for m := range c.nodes {
				c.setCut(k, m, false)
			}
		}
	case event < 0.0335:
		for k := range c.nodes {
			c.kill(k)
		}
	}
	for k := range c.nodes {
		if !c.runs(k) && r.Float64() < 0.03 {
			c.start(k)
		}
	}
}
