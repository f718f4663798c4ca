package prober_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestMeasureFleet prints a table when MAGNOLIASTEP_MEASURE names sizes, for example 9,30,100,300,1000.
// Times are virtual; processor time is that of the whole process divided by nodes and virtual seconds.
func TestMeasureFleet(t *testing.T) {
	sizes := os.Getenv("MAGNOLIASTEP_MEASURE")
	if sizes == "" {
		t.Skip("MAGNOLIASTEP_MEASURE is not set")
	}
	const regions = 6
	t.Logf("%6s %8s %10s %10s %10s %12s %12s %10s %10s", "nodes", "join s", "msg/s", "sent B/s", "cpu us/s",
		"detect p50 s", "detect max s", "false", "peers/min")
	var counts, rates []float64
	for text := range strings.SplitSeq(sizes, ",") {
		size, err := strconv.Atoi(text)
		is.New(t).NoErr(err)
		synctest.Test(t, func(t *testing.T) {
			rate := measureFleet(t, size, min(regions, max(1, size/9)))
			counts, rates = append(counts, float64(size)), append(rates, rate)
		})
	}
	alpha, beta := fitLine(counts, rates)
	t.Logf("sent B/s = %.0f + %.3f * nodes", alpha, beta)
}

// fitLine returns the least-squares line through the points.
func fitLine(x, y []float64) (alpha, beta float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	if len(x) < 2 {
		return sy, 0
	}
	beta = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - beta*sx) / n, beta
}

func measureFleet(t *testing.T, size, regions int) float64 {
	f := newFleet(uint64(size))
	defer f.stop()
	nodes := f.startMany(size, regions)
	joined := waitFor(10*joinLimit, func() bool { return complete(nodes, size) })
	const steady = time.Minute
	time.Sleep(2 * steady) // the rumours of the start run out
	for _, n := range nodes {
		n.dialled.Clear()
	}
	bytes, messages, used := f.bytes.Load(), f.messages.Load(), processTime()
	time.Sleep(steady)
	perNode := float64(size) * steady.Seconds()
	bytesRate := float64(f.bytes.Load()-bytes) / perNode
	messageRate := float64(f.messages.Load()-messages) / perNode
	usedRate := float64((processTime() - used).Microseconds()) / perNode
	dialled := 0
	nodes[size/2].dialled.Range(func(any, any) bool { dialled++; return true })
	var deaths []time.Duration
	rest := slices.Clone(nodes)
	for range min(5, size/3) {
		victim := rest[len(rest)-1]
		rest = rest[:len(rest)-1]
		victim.down.Store(true)
		victim.cancel()
		name := fmt.Sprintf("node-%04d", len(rest))
		deaths = append(deaths, waitFor(joinLimit, func() bool { return sees(rest, name) == 0 }))
	}
	slices.Sort(deaths)
	wrong := 0
	for _, n := range rest {
		for _, m := range rest {
			if n != m && sees([]*node{n}, m.name) == 0 {
				wrong++
			}
		}
	}
	t.Logf("%6d %8.1f %10.2f %10.0f %10.0f %12.1f %12.1f %10d %10d", size, joined.Seconds(), messageRate, bytesRate,
		usedRate, deaths[len(deaths)/2].Seconds(), deaths[len(deaths)-1].Seconds(), wrong, dialled)
	return bytesRate
}

func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
