package searcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	overloadResult struct {
		coverage   float64
		extraShare float64
		lateExtra  uint64
		denied     uint64
	}
)

// runOverload sends factor times the load that the leaves can serve; a leaf sheds calls above a short queue.
func runOverload(t *testing.T, factor float64, duration time.Duration) overloadResult {
	t.Helper()
	result := overloadResult{}
	synctest.Test(t, func(*testing.T) {
		c := tailConfig(0.05)
		c.slots = 2
		b := newFakeCluster(c)
		for _, l := range b.leaves {
			l.shedQueueLength = 4
		}
		// 3 replicas with 2 slots each per partition; the median time of 5 ms gives a mean of 5.4 ms.
		capacity := 3 * 2 / 0.0054
		arrivals := rand.New(rand.NewPCG(1, 3))
		var running sync.WaitGroup
		var mutex sync.Mutex
		answers, extraAtHalf := 0.0, uint64(0)
		startedAt := time.Now()
		for time.Since(startedAt) < duration {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / (factor * capacity) * float64(time.Second)))
			if extraAtHalf == 0 && time.Since(startedAt) > duration/2 {
				extraAtHalf = b.extraCalls()
			}
			running.Go(func() {
				a, _ := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
					Service: serviceName, Class: className, TimeLeft: patientClass().GetLateness(),
				})
				mutex.Lock()
				defer mutex.Unlock()
				answers++
				result.coverage += float64(len(a.GetParts())) / float64(a.GetCoverage().GetAsked())
			})
		}
		result.lateExtra = b.extraCalls() - extraAtHalf
		running.Wait()
		result.coverage /= answers
		result.extraShare = float64(b.extraCalls()) / float64(b.series.FirstCalls.Get())
		result.denied = b.series.DeniedExtraCalls.Get()
		time.Sleep(time.Minute)
	})
	return result
}

// TestOverloadStopsExtraCalls guards against hedges and retries that add load to overloaded leaves: while
// the leaves shed half of the work, no extra call may be made.
func TestOverloadStopsExtraCalls(t *testing.T) {
	is := is.New(t)
	r := runOverload(t, 2, time.Second)
	is.Equal(r.lateExtra, uint64(0)) // after the first half second
	is.True(r.extraShare <= 0.05)
	is.True(r.denied > 0)
}

// TestOverloadTable prints the table of docs/design/replicas-and-hedges.md when OVERLOAD_TABLE is set.
func TestOverloadTable(t *testing.T) {
	if os.Getenv("OVERLOAD_TABLE") == "" {
		t.Skip("prints a table; set OVERLOAD_TABLE=1")
	}
	fmt.Println("| load to capacity | coverage | extra calls | denied |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2, 4} {
		r := runOverload(t, factor, 2*time.Second)
		fmt.Printf("| %.1f | %.3f | %.2f %% | %d |\n", factor, r.coverage, 100*r.extraShare, r.denied)
	}
}
