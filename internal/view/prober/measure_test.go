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

// TestMeasureFleet logs a table of traffic, CPU time and detection times for the fleet sizes that MAGNOLIASTEP_MEASURE
// lists, for example 9,30,100,300,1000. Times are virtual; CPU time is that of the whole process, divided by the number
// of nodes and the virtual seconds.
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
	intercept, slope := fitLine(counts, rates)
	t.Logf("sent B/s = %.0f + %.3f * nodes", intercept, slope)
}

// fitLine returns the least-squares line through the points.
func fitLine(x, y []float64) (intercept, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	if len(x) < 2 {
		return sy, 0
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// measureFleet logs one row of the table and returns the bytes per second that each node sends.
func measureFleet(t *testing.T, size, regions int) float64 {
	f := newFleet(uint64(size))
	defer f.stop()
	nodes := f.startMany(size, regions)
	joinTime := waitFor(10*joinLimit, func() bool { return allViewsHaveSize(nodes, size) })
	const measurePeriod = time.Minute
	time.Sleep(2 * measurePeriod) // until the rumours of the start are no longer sent
	for _, n := range nodes {
		n.calledAddresses.Clear()
	}
	bytes, messages, cpuTime := f.bytes.Load(), f.messages.Load(), processTime()
	time.Sleep(measurePeriod)
	nodeSeconds := float64(size) * measurePeriod.Seconds()
	bytesRate := float64(f.bytes.Load()-bytes) / nodeSeconds
	messageRate := float64(f.messages.Load()-messages) / nodeSeconds
	cpuRate := float64((processTime() - cpuTime).Microseconds()) / nodeSeconds
	calledAddresses := 0
	nodes[size/2].calledAddresses.Range(func(any, any) bool { calledAddresses++; return true })
	var detectionTimes []time.Duration
	rest := slices.Clone(nodes)
	for range min(5, size/3) {
		victim := rest[len(rest)-1]
		rest = rest[:len(rest)-1]
		victim.killed.Store(true)
		victim.cancel()
		name := fmt.Sprintf("node-%04d", len(rest))
		detectionTimes = append(detectionTimes, waitFor(joinLimit, func() bool { return viewsWithMember(rest, name) == 0 }))
	}
	slices.Sort(detectionTimes)
	missingMembers := 0
	for _, n := range rest {
		for _, m := range rest {
			if n != m && viewsWithMember([]*node{n}, m.name) == 0 {
				missingMembers++
			}
		}
	}
	t.Logf("%6d %8.1f %10.2f %10.0f %10.0f %12.1f %12.1f %10d %10d", size, joinTime.Seconds(), messageRate, bytesRate,
		cpuRate, detectionTimes[len(detectionTimes)/2].Seconds(), detectionTimes[len(detectionTimes)-1].Seconds(),
		missingMembers, calledAddresses)
	return bytesRate
}

// processTime returns the CPU time that the process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
