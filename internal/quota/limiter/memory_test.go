package limiter_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

// Guards against state that grows with accounts and nodes beyond what a small VM can spare: 1,000 accounts that callers
// use at each of 12 nodes may take 1 MB.
func TestThousandAccountsTakeAtMostOneMegabyte(t *testing.T) {
	is := is.New(t)
	const nodes = 12
	now := time.Unix(1000, 0)
	all := accounts(1000, 1, 2)
	view := limiter.View{Known: true, Serving: true, Alive: nodes}
	for i := range nodes {
		view.Peers = append(view.Peers, "n"+strconv.Itoa(i))
	}
	other := limiter.New(limiter.Config{NodeName: "n1", Process: 1, Bounds: bounds()})
	other.SetAccounts(all, now)
	other.SetView(view, now)
	for _, a := range all {
		other.Take(a.Name, now)
	}
	var reports []*pb.QuotaReport
	for range 40 {
		now = now.Add(time.Second)
		for _, r := range other.Reports(now) {
			if r.To == "n0" {
				reports = append(reports, r.Message)
			}
		}
	}
	before := heapBytes()
	l := limiter.New(limiter.Config{NodeName: "n0", Process: 1, Bounds: bounds()})
	l.SetAccounts(all, now)
	l.SetView(view, now)
	for i := 1; i < nodes; i++ {
		for _, r := range reports {
			l.Receive("n"+strconv.Itoa(i), r, now)
		}
	}
	for _, a := range all {
		l.Take(a.Name, now)
	}
	bytes := heapBytes() - before
	t.Logf("%d bytes, %d reports", bytes, len(reports))
	is.True(bytes < 1<<20)
	runtime.KeepAlive(l)
	runtime.KeepAlive(reports)
	runtime.KeepAlive(all)
}

// heapBytes returns the bytes of all live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
