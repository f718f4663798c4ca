package searcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Faults of a leaf.
const (
	faultNone = iota
	faultSlow
	faultSilent
	faultUnreachable
	faultShed
	faultCrossed
	faultWrongSnapshot
	faultDuplicate
	faultNotOwner
	faultDraining
	faultCount
)

// applyFault makes the leaf show the fault in a share of its calls.
func applyFault(l *fakeLeaf, fault int, share float64, foreignReply func() *pb.LeafReply) {
	healthy := logNormal(4*time.Millisecond, 0.5)
	l.drawTime = healthy
	replyWithCode := func(c pb.ResultCode) {
		l.makeReplies = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share {
				p.Code, p.Payload = c, ""
			}
			return []*pb.LeafReply{p}
		}
	}
	switch fault {
	case faultSlow:
		l.drawTime = stragglers(healthy, share, 10)
	case faultSilent:
		l.drawTime = stragglers(healthy, share, 1e6)
	case faultUnreachable:
		replyWithCode(pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE)
	case faultShed:
		replyWithCode(pb.ResultCode_RESULT_CODE_LEAF_SHED)
	case faultNotOwner:
		replyWithCode(pb.ResultCode_RESULT_CODE_NOT_OWNER)
	case faultDraining:
		replyWithCode(pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
	case faultWrongSnapshot:
		l.makeReplies = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share && p.GetSnapshot() > 1 {
				p.Snapshot--
				p.Payload = "wrong"
			}
			return []*pb.LeafReply{p}
		}
	case faultCrossed:
		l.makeReplies = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share {
				crossed := foreignReply()
				crossed.CallId = p.GetCallId()
				return []*pb.LeafReply{crossed}
			}
			return []*pb.LeafReply{p}
		}
	case faultDuplicate:
		l.makeReplies = func(_ *rand.Rand, p *pb.LeafReply) []*pb.LeafReply { return []*pb.LeafReply{p, p, p} }
	}
}

// TestAnswersMatchLeafContentUnderFaults guards, for any mix of leaf faults and snapshot changes, against
// answers that are late, or empty while a part could still arrive, and against parts that are duplicated or
// come from another partition, snapshot or request than the answer states.
func TestAnswersMatchLeafContentUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		partitions := rapid.IntRange(1, 8).Draw(rt, "partitions")
		seed := rapid.Uint64().Draw(rt, "seed")
		queries := rapid.IntRange(1, 12).Draw(rt, "queries")
		faults := rapid.SliceOfN(rapid.IntRange(0, faultCount-1), partitions*3, partitions*3).Draw(rt, "faults")
		shares := rapid.SliceOfN(rapid.Float64Range(0, 1), partitions*3, partitions*3).Draw(rt, "shares")
		changes := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 6).Draw(rt, "changes")
		class := randomClass(rt)
		var failures []string
		synctest.Test(t, func(*testing.T) {
			b := newFakeCluster(clusterConfig{
				seed: seed, partitions: partitions, replicas: 3, slots: 4, budget: 0.05, class: class,
				drawTime: logNormal(4*time.Millisecond, 0.5),
			})
			for i, name := range b.leafNames() {
				applyFault(b.leaves[name], faults[i], shares[i], func() *pb.LeafReply {
					return &pb.LeafReply{
						RequestId: "other", Partition: uint32(b.random.IntN(partitions)), Snapshot: 1, Payload: "other",
						Code: pb.ResultCode_RESULT_CODE_OK,
					}
				})
			}
			go b.changeSnapshots(changes, partitions)
			failures = b.runQueries(queries, class)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

func randomClass(rt *rapid.T) *pb.Class {
	fullWorthMs := rapid.IntRange(0, 200).Draw(rt, "full_worth_ms")
	latenessMs := fullWorthMs + rapid.IntRange(1, 300).Draw(rt, "further_ms")
	return &pb.Class{
		Worth: 5, FullWorthUntil: durationpb.New(time.Duration(fullWorthMs) * time.Millisecond),
		Lateness:         durationpb.New(time.Duration(latenessMs) * time.Millisecond),
		CoverageExponent: rapid.Float64Range(0.5, 8).Draw(rt, "exponent"),
		CoverageFloor:    rapid.Float64Range(0, 1).Draw(rt, "floor"),
	}
}

// runQueries runs the queries concurrently and returns the errors found in the answers.
func (b *fakeCluster) runQueries(queries int, class *pb.Class) []string {
	var mutex sync.Mutex
	var running sync.WaitGroup
	var failures []string
	for i := range queries {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			query := fmt.Sprintf("q%d", i)
			sentAt := time.Now()
			a, err := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
				Service: serviceName, Class: className, Query: query, RequestId: query,
			})
			failure := checkAnswer(a, err, query, time.Since(sentAt), class.GetLateness().AsDuration())
			mutex.Lock()
			defer mutex.Unlock()
			if failure != "" {
				failures = append(failures, failure)
			}
		})
	}
	running.Wait()
	time.Sleep(10 * time.Second)
	if b.asserter.Violations() > 0 {
		failures = append(failures, fmt.Sprint(b.asserter.ViolationsByName()))
	}
	return failures
}

// checkAnswer compares an answer with the payloads that the fake leaves compute; it returns "" if it is correct.
func checkAnswer(a *pb.SearchAnswer, err error, query string, elapsed, lateness time.Duration) string {
	switch {
	case err != nil:
		return err.Error()
	case elapsed >= lateness:
		return fmt.Sprintf("answered after %v with lateness %v", elapsed, lateness)
	case a.GetRequestId() != query:
		return "answer of another request"
	}
	var listed []uint32
	for _, p := range a.GetParts() {
		listed = append(listed, p.GetPartition())
		if p.GetPayload() != payload(query, p.GetPartition(), a.GetSnapshot()) {
			return fmt.Sprintf("part %q in an answer of snapshot %d", p.GetPayload(), a.GetSnapshot())
		}
	}
	if !slices.Equal(listed, a.GetCoverage().GetIncluded()) {
		return fmt.Sprintf("parts %v, coverage names %v", listed, a.GetCoverage().GetIncluded())
	}
	for _, l := range a.GetCoverage().GetLacking() {
		listed = append(listed, l.GetPartition())
		if l.GetReason() == pb.ResultCode_RESULT_CODE_UNSPECIFIED || l.GetReason() == pb.ResultCode_RESULT_CODE_OK {
			return "a partition is lacking without a reason"
		}
	}
	slices.Sort(listed)
	if len(slices.Compact(listed)) != int(a.GetCoverage().GetAsked()) {
		return "coverage does not name every asked partition once"
	}
	if len(a.GetParts()) == 0 && elapsed < lateness/2 {
		return fmt.Sprintf("empty answer after %v", elapsed)
	}
	return ""
}

// changeSnapshots gives the replicas new snapshots while queries run. Each change removes the old snapshot
// at some replicas, and some changes alter the number of partitions.
func (b *fakeCluster) changeSnapshots(changes []int, partitions int) {
	snapshot := uint64(1)
	count := partitions
	for _, c := range changes {
		time.Sleep(time.Duration(5+10*c) * time.Millisecond)
		snapshot++
		if c == 4 {
			count++
		}
		if c == 5 {
			count = max(1, count-1)
		}
		b.mutex.Lock()
		for i, name := range b.leafNames() {
			l := b.leaves[name]
			held := &pb.SnapshotHeld{Snapshot: snapshot, PartitionCount: uint32(count)}
			for p := range count {
				if p%partitions == i/3%partitions || count < partitions {
					held.Partitions = append(held.Partitions, uint32(p))
				}
			}
			keep := l.snapshots[max(0, len(l.snapshots)-1-(c+i)%2):]
			l.snapshots = append(slices.Clone(keep), held)
			if b.random.Float64() < 0.5 {
				l.refreshStatus() // the status of the other leaves is out of date
			}
		}
		b.mutex.Unlock()
	}
}

func (b *fakeCluster) leafNames() []string {
	names := make([]string, 0, len(b.leaves))
	for n := range b.leaves {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// TestSearchAnswersInTimeWhenAllReplicasAreSilent guards against answers after the deadline, and against calls left
// running at the leaves, when no replica replies.
func TestSearchAnswersInTimeWhenAllReplicasAreSilent(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		class := patientClass()
		b := newFakeCluster(clusterConfig{
			seed: 1, partitions: 2, replicas: 3, slots: 4, budget: 0.05, class: class,
			drawTime: func(*rand.Rand) time.Duration { return time.Hour },
		})
		is.Equal(len(b.runQueries(1, class)), 0)
		started, cancelled := b.callTotals()
		is.Equal(started, cancelled) // every call was cancelled at its leaf
	})
}
