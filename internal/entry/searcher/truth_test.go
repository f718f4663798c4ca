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

// faults that a leaf can show.
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

// mix draws the faults of one leaf, which may change with every call.
func applyFault(l *fakeLeaf, fault int, share float64, other func() *pb.LeafReply) {
	healthy := logNormal(4*time.Millisecond, 0.5)
	l.draw = healthy
	code := func(c pb.ResultCode) {
		l.answer = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share {
				p.Code, p.Payload = c, ""
			}
			return []*pb.LeafReply{p}
		}
	}
	switch fault {
	case faultSlow:
		l.draw = stragglers(healthy, share, 10)
	case faultSilent:
		l.draw = stragglers(healthy, share, 1e6)
	case faultUnreachable:
		code(pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE)
	case faultShed:
		code(pb.ResultCode_RESULT_CODE_LEAF_SHED)
	case faultNotOwner:
		code(pb.ResultCode_RESULT_CODE_NOT_OWNER)
	case faultDraining:
		code(pb.ResultCode_RESULT_CODE_LEAF_DRAINING)
	case faultWrongSnapshot:
		l.answer = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share && p.GetSnapshot() > 1 {
				p.Snapshot--
				p.Payload = "wrong"
			}
			return []*pb.LeafReply{p}
		}
	case faultCrossed:
		l.answer = func(r *rand.Rand, p *pb.LeafReply) []*pb.LeafReply {
			if r.Float64() < share {
				crossed := other()
				crossed.CallId = p.GetCallId()
				return []*pb.LeafReply{crossed}
			}
			return []*pb.LeafReply{p}
		}
	case faultDuplicate:
		l.answer = func(_ *rand.Rand, p *pb.LeafReply) []*pb.LeafReply { return []*pb.LeafReply{p, p, p} }
	}
}

// TestAnswersAreTrue holds for every mix of faults: the content is exactly the named partitions of the
// named snapshot, each once, in time, and never empty while a part could come.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		partitions := rapid.IntRange(1, 8).Draw(rt, "partitions")
		seed := rapid.Uint64().Draw(rt, "seed")
		queries := rapid.IntRange(1, 12).Draw(rt, "queries")
		faults := rapid.SliceOfN(rapid.IntRange(0, faultCount-1), partitions*3, partitions*3).Draw(rt, "faults")
		shares := rapid.SliceOfN(rapid.Float64Range(0, 1), partitions*3, partitions*3).Draw(rt, "shares")
		changes := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 6).Draw(rt, "changes")
		class := drawClass(rt)
		var failures []string
		synctest.Test(t, func(*testing.T) {
			b := newBed(bedConfig{
				seed: seed, partitions: partitions, replicas: 3, slots: 4, budget: 0.05, class: class,
				draw: logNormal(4*time.Millisecond, 0.5),
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
			failures = b.ask(queries, class)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

func drawClass(rt *rapid.T) *pb.Class {
	full := rapid.IntRange(0, 200).Draw(rt, "full_worth_ms")
	lateness := full + rapid.IntRange(1, 300).Draw(rt, "further_ms")
	return &pb.Class{
		Worth: 5, FullWorthUntil: durationpb.New(time.Duration(full) * time.Millisecond),
		Lateness:         durationpb.New(time.Duration(lateness) * time.Millisecond),
		CoverageExponent: rapid.Float64Range(0.5, 8).Draw(rt, "exponent"),
		CoverageFloor:    rapid.Float64Range(0, 1).Draw(rt, "floor"),
	}
}

// ask sends the queries side by side and returns what is wrong with the answers.
func (b *bed) ask(queries int, class *pb.Class) []string {
	var mutex sync.Mutex
	var running sync.WaitGroup
	var failures []string
	for i := range queries {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			query := fmt.Sprintf("q%d", i)
			at := time.Now()
			a, err := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
				Service: serviceName, Class: className, Query: query, RequestId: query,
			})
			failure := judge(a, err, query, time.Since(at), class.GetLateness().AsDuration())
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

// judge checks an answer against the pure function that the leaves compute.
func judge(a *pb.SearchAnswer, err error, query string, took, lateness time.Duration) string {
	switch {
	case err != nil:
		return err.Error()
	case took >= lateness:
		return fmt.Sprintf("answered after %v with lateness %v", took, lateness)
	case a.GetRequestId() != query:
		return "answer of another request"
	}
	var named []uint32
	for _, p := range a.GetParts() {
		named = append(named, p.GetPartition())
		if p.GetPayload() != payload(query, p.GetPartition(), a.GetSnapshot()) {
			return fmt.Sprintf("part %q in an answer of snapshot %d", p.GetPayload(), a.GetSnapshot())
		}
	}
	if !slices.Equal(named, a.GetCoverage().GetIncluded()) {
		return fmt.Sprintf("parts %v, coverage names %v", named, a.GetCoverage().GetIncluded())
	}
	for _, l := range a.GetCoverage().GetLacking() {
		named = append(named, l.GetPartition())
		if l.GetReason() == pb.ResultCode_RESULT_CODE_UNSPECIFIED || l.GetReason() == pb.ResultCode_RESULT_CODE_OK {
			return "a partition is lacking without a reason"
		}
	}
	slices.Sort(named)
	if len(slices.Compact(named)) != int(a.GetCoverage().GetAsked()) {
		return "coverage does not name every asked partition once"
	}
	if len(a.GetParts()) == 0 && took < lateness/2 {
		return fmt.Sprintf("empty answer after %v", took)
	}
	return ""
}

// changeSnapshots moves replicas from snapshot to snapshot while queries run. Each change withdraws the
// old snapshot at some replicas, and some change the number of partitions.
func (b *bed) changeSnapshots(changes []int, partitions int) {
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
			keep := l.holds[max(0, len(l.holds)-1-(c+i)%2):]
			l.holds = append(slices.Clone(keep), held)
			if b.random.Float64() < 0.5 {
				l.refresh() // the others' status lags behind
			}
		}
		b.mutex.Unlock()
	}
}

func (b *bed) leafNames() []string {
	names := make([]string, 0, len(b.leaves))
	for n := range b.leaves {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func TestAllReplicasSilentAnswersInTime(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		class := waitingClass()
		b := newBed(bedConfig{
			seed: 1, partitions: 2, replicas: 3, slots: 4, budget: 0.05, class: class,
			draw: func(*rand.Rand) time.Duration { return time.Hour },
		})
		is.Equal(len(b.ask(1, class)), 0)
		started, cancelled := b.totals()
		is.Equal(started, cancelled) // every call was cancelled at its leaf
	})
}
