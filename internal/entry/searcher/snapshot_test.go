package searcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// rollout describes how new snapshots are distributed to the leaves.
	rollout struct {
		name string
		// overlap is how long a leaf keeps the old snapshot after it has loaded the new one.
		overlap time.Duration
		// spread is the time from the first leaf's change to the last one's.
		spread time.Duration
		// partitions is the partition count of every second snapshot; the others have 10.
		partitions int
	}

	rolloutResult struct {
		answers      int
		restarts     uint64
		partial      int
		restartCalls uint64
		tail         tailResult
		failures     []string
	}
)

func rollouts() []rollout {
	return []rollout{
		{"none", 0, 0, 10},
		{"old one kept for 2 s", 2 * time.Second, time.Second, 10},
		{"old one dropped at once, leaves over 1 s", 0, time.Second, 10},
		{"old one dropped at once, all leaves together", 0, 0, 10},
		{"10 to 12 partitions, old one kept for 2 s", 2 * time.Second, time.Second, 12},
		{"10 to 12 partitions, dropped at once", 0, 0, 12},
	}
}

// runRollout changes the snapshot every 4 seconds while queries run; the leaf statuses that the entry node
// reads are up to half a second old.
func runRollout(t *testing.T, r rollout, queries int) rolloutResult {
	t.Helper()
	result := rolloutResult{}
	synctest.Test(t, func(*testing.T) {
		b := newFakeCluster(tailConfig(0.05))
		done := make(chan struct{})
		go b.refreshStatuses(done)
		if r.name != "none" {
			go b.rollSnapshots(r, done)
		}
		arrivals := rand.New(rand.NewPCG(1, 3))
		var mutex sync.Mutex
		var running sync.WaitGroup
		for i := range queries {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / queriesPerSecond * float64(time.Second)))
			running.Go(func() {
				sentAt := time.Now()
				query := fmt.Sprint("q", i)
				a, err := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
					Service: serviceName, Class: className, Query: query, RequestId: query,
				})
				failure := checkAnswer(a, err, query, time.Since(sentAt), patientClass().GetLateness().AsDuration())
				mutex.Lock()
				defer mutex.Unlock()
				result.answers++
				if failure != "" {
					result.failures = append(result.failures, failure)
				}
				if a.GetCode() != pb.ResultCode_RESULT_CODE_OK {
					result.partial++
					return
				}
				result.tail.completeTimes = append(result.tail.completeTimes, time.Since(sentAt))
			})
		}
		running.Wait()
		close(done)
		result.restarts = b.series.Restarts.Get()
		result.restartCalls = b.series.RestartCalls.Get()
		if b.asserter.Violations() > 0 {
			result.failures = append(result.failures, fmt.Sprint(b.asserter.ViolationsByName()))
		}
		time.Sleep(time.Minute)
	})
	result.tail.sort()
	return result
}

func (b *fakeCluster) refreshStatuses(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
		b.mutex.Lock()
		for _, l := range b.leaves {
			l.refreshStatus()
		}
		b.mutex.Unlock()
	}
}

// rollSnapshots distributes a new snapshot to every leaf every 4 seconds until done is closed.
func (b *fakeCluster) rollSnapshots(r rollout, done chan struct{}) {
	names := b.leafNames()
	for snapshot := uint64(2); ; snapshot++ {
		select {
		case <-done:
			return
		case <-time.After(4 * time.Second):
		}
		partitions := 10
		if snapshot%2 == 0 {
			partitions = r.partitions
		}
		for i, name := range names {
			l := b.leaves[name]
			snapshotHeld := &pb.SnapshotHeld{Snapshot: snapshot, PartitionCount: uint32(partitions)}
			for p := i / 3; p < partitions; p += 10 {
				snapshotHeld.Partitions = append(snapshotHeld.Partitions, uint32(p))
			}
			startAt := r.spread * time.Duration(i%3*10+i/3) / 30
			time.AfterFunc(startAt, func() { b.addSnapshot(l, snapshotHeld) })
			time.AfterFunc(startAt+r.overlap, func() { b.setSnapshots(l, []*pb.SnapshotHeld{snapshotHeld}) })
		}
	}
}

// addSnapshot makes the leaf hold its newest snapshot and the given one.
func (b *fakeCluster) addSnapshot(l *fakeLeaf, held *pb.SnapshotHeld) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.snapshots = append(slices.Clone(l.snapshots[len(l.snapshots)-1:]), held)
}

func (b *fakeCluster) setSnapshots(l *fakeLeaf, held []*pb.SnapshotHeld) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l.snapshots = held
}

// TestAnswersStayCorrectDuringSnapshotRollout guards against answers that mix snapshots, and against missing
// partitions and restarts when leaves keep the old snapshot longer than a status can be out of date.
func TestAnswersStayCorrectDuringSnapshotRollout(t *testing.T) {
	for _, r := range rollouts() {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			result := runRollout(t, r, 2500)
			is.Equal(result.failures, nil)
			if r.overlap > 0 {
				is.Equal(result.partial, 0) // no part is lost if the overlap exceeds the age of statuses
				is.Equal(result.restarts, uint64(0))
			}
		})
	}
}

// TestSnapshotTable prints the table of docs/design/snapshots.md when SNAPSHOT_TABLE is set.
func TestSnapshotTable(t *testing.T) {
	if os.Getenv("SNAPSHOT_TABLE") == "" {
		t.Skip("prints a table; set SNAPSHOT_TABLE=1")
	}
	fmt.Println("| change every 4 s | restarted | partial | p50 | p99 | p99.9 | restart calls |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rollouts() {
		result := runRollout(t, r, 6000)
		fmt.Printf("| %s | %.2f %% | %.2f %% | %.1f ms | %.1f ms | %.1f ms | %d |\n", r.name,
			100*float64(result.restarts)/float64(result.answers), 100*float64(result.partial)/float64(result.answers),
			milliseconds(result.tail.quantile(0.5)), milliseconds(result.tail.quantile(0.99)),
			milliseconds(result.tail.quantile(0.999)), result.restartCalls)
	}
}
