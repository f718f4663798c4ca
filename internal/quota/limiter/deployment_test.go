package limiter_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

const (
	// usualOfAll is the number of requests per second of all accounts together, and quotaFactor that of an account's quota
	// to its usual requests.
	usualOfAll  = 120
	quotaFactor = 1.6
)

// unevenAccounts returns accounts of which a few are large, and the usual requests per second of each.
func unevenAccounts(n int) ([]limiter.Account, []float64) {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		sum += weights[i]
	}
	all, usual := accounts(n, 0, 0), make([]float64, n)
	for i := range all {
		usual[i] = usualOfAll * weights[i] / sum
		all[i].Rate = quotaFactor * usual[i]
		all[i].Burst = 2 * all[i].Rate
	}
	return all, usual
}

// Guards against refusals inside the quota among many accounts, most of them small, while the largest sends several
// times its quota, and against messages that cost more than the quotas are worth.
func TestHotAccountTakesNothingFromOthers(t *testing.T) {
	for _, nodes := range []int{6, 18} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			is := is.New(t)
			all, usual := unevenAccounts(72)
			c := newCluster(1, nodes, all)
			c.pass(10 * time.Second)
			c.bytes, c.messages = 0, 0
			exact := make([]*bucket, len(all))
			for i, a := range all {
				exact[i] = &bucket{rate: a.Rate, depth: max(1, a.Burst), level: max(1, a.Burst), at: c.now}
			}
			owed, refused := make([]int, len(all)), make([]int, len(all))
			begin, length := c.now, 20*time.Second
			for ; c.now.Sub(begin) < length; c.advance() {
				for i, a := range all {
					load := usual[i]
					if at := c.now.Sub(begin); i == 0 && at > 8*time.Second && at < 14*time.Second {
						load *= 7.5
					}
					for range poisson(c.random, load) {
						ok, _ := c.ask(c.random.IntN(nodes), a.Name)
						if exact[i].take(c.now) {
							owed[i]++
							refused[i] += count(!ok)
						}
					}
				}
			}
			owedOthers, refusedOthers := 0, 0
			for i := range all[1:] {
				owedOthers, refusedOthers = owedOthers+owed[i+1], refusedOthers+refused[i+1]
				is.True(float64(c.most(all[i+1].Name)) <= allowed(all[i+1]))
			}
			is.True(float64(c.most(all[0].Name)) <= allowed(all[0]))
			t.Logf("refused at first: hot account %d of %d, others %d of %d; %.0f bytes/s in %.0f reports/s", refused[0],
				owed[0], refusedOthers, owedOthers, float64(c.bytes)/length.Seconds(),
				float64(c.messages)/length.Seconds())
			is.True(float64(refusedOthers) <= unused*float64(owedOthers))
		})
	}
}
