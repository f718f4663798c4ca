package forwarder

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/view/linker"
)

const leafEntryJSON = `{"Service":"service-%d","Address":"10.0.0.1:80","Zone":"z1","Version":"v1","MaxConcurrency":6,` +
	`"State":"ready","WarmupLeftMs":0,"Seq":4,"born":1700000000000}`

// TestMeasureSlopes prints the figures that docs/CAPACITY.md quotes: memory and time by the number of leaves and nodes.
// Command: MAGNOLIASTEP_MEASURE=1 go test -v -run TestMeasureSlopes ./internal/node/forwarder.
func TestMeasureSlopes(t *testing.T) {
	if os.Getenv("MAGNOLIASTEP_MEASURE") == "" {
		t.Skip("set MAGNOLIASTEP_MEASURE")
	}
	for _, leaves := range []int{710, 2130, 6500} {
		before := measureHeap()
		r := replicator.New(replicator.Config{Clock: quartz.NewReal(), OnChange: func(replicator.Document, time.Time) {}})
		p := balancer.New(balancer.Config{
			Zone: "z1", Random: func() float64 { return 0 },
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		now := time.Now()
		var documents []replicator.Document
		for i := range leaves {
			name := fmt.Sprintf("leaf-%d", i)
			documents = append(documents, replicator.Document{
				Kind: "leaves", Name: name, Revision: int64(i + 1), Data: fmt.Appendf(nil, leafEntryJSON, i/3),
			})
			p.Put(balancer.Entry{ID: name, Service: fmt.Sprintf("service-%d", i/3), Address: "10.0.0.1:80", Slots: 6}, now)
		}
		put := time.Since(now)
		r.ApplyList("leaves", documents, replicator.Point{Revision: int64(leaves)}, now)
		t.Logf("leaves %d: %d B of heap, %.1f us to take one entry", leaves, measureHeap()-before,
			float64(put.Microseconds())/float64(leaves))
		started := time.Now()
		const picks = 20000
		for i := range picks {
			call := balancer.Call{TypicalLatency: time.Millisecond}
			p.Pick(fmt.Sprintf("service-%d", i%(leaves/3)), call, func(*balancer.Leaf) bool { return false }, now)
		}
		t.Logf("leaves %d: %.2f us to pick a leaf of three", leaves, float64(time.Since(started).Nanoseconds())/picks/1000)
		runtime.KeepAlive(r)
	}
	for _, nodes := range []int{9, 91, 300, 1000} {
		var names []string
		for i := range nodes {
			names = append(names, fmt.Sprintf("node-%d", i))
		}
		started := time.Now()
		links := len(linker.ChoosePeers(names, "node-0"))
		t.Logf("nodes %d: %d links, chosen in %v", nodes, links, time.Since(started))
	}
}

func measureHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
