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
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/evaluator"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	worthResult struct {
		worth    float64
		coverage float64
		median   time.Duration
		p99      time.Duration
	}
)

// exampleClass reads a class from an example configuration of this repository.
func exampleClass(t *testing.T, user, name string) *pb.Class {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + user + "/config.json")
	if err != nil {
		t.Fatal(err)
	}
	file := &pb.ConfigFile{}
	if err := protojson.Unmarshal(data, file); err != nil {
		t.Fatal(err)
	}
	for _, c := range file.GetClasses() {
		if c.GetName() == name {
			return c
		}
	}
	t.Fatalf("%s has no class %s", user, name)
	return nil
}

// measureWorth runs queries with class decideBy and computes the worth of the answers by class scoreBy.
func measureWorth(t *testing.T, decideBy, scoreBy *pb.Class, queries int, apply func(*fakeCluster)) worthResult {
	t.Helper()
	result := worthResult{}
	scorer := evaluator.New(scoreBy)
	var times tailResult
	synctest.Test(t, func(*testing.T) {
		b := newFakeCluster(clusterConfig{
			seed: 1, partitions: 10, replicas: 3, slots: 6, budget: 0.05, class: proto.CloneOf(decideBy),
			drawTime: logNormal(20*time.Millisecond, 0.4),
		})
		apply(b)
		arrivals := rand.New(rand.NewPCG(1, 3))
		var mutex sync.Mutex
		var running sync.WaitGroup
		for i := range queries {
			time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(100*time.Millisecond)))
			running.Go(func() {
				sentAt := time.Now()
				a, _ := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
					Service: serviceName, Class: className, TimeLeft: scoreBy.GetLateness(),
				})
				elapsed := time.Since(sentAt)
				if i < queries/10 {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				coverage := float64(len(a.GetParts())) / float64(a.GetCoverage().GetAsked())
				times.completeTimes = append(times.completeTimes, elapsed)
				result.worth += scorer.Worth(elapsed, coverage) / scoreBy.GetWorth()
				result.coverage += coverage
			})
		}
		running.Wait()
		time.Sleep(time.Hour)
	})
	n := float64(len(times.completeTimes))
	result.worth /= n
	result.coverage /= n
	times.sort()
	result.median, result.p99 = times.quantile(0.5), times.quantile(0.99)
	return result
}

// delayPartition makes every replica of one partition take about the given time.
func delayPartition(d time.Duration) func(*fakeCluster) {
	return func(b *fakeCluster) {
		for _, l := range b.leaves {
			if l.leaf.GetPartitions()[0] == 3 {
				l.drawTime = logNormal(d, 0.1)
			}
		}
	}
}

// TestClassDecidesEarlyAnswerOrWait guards against worth settings that have no effect: with the same late
// partition, class stalls is answered early and class catalogue waits for the last partition.
func TestClassDecidesEarlyAnswerOrWait(t *testing.T) {
	is := is.New(t)
	delay := 700 * time.Millisecond
	stalls := exampleClass(t, "treidelstall", "stalls")
	catalogue := exampleClass(t, "dikranos", "catalogue")
	stallsResult := measureWorth(t, stalls, stalls, 200, delayPartition(delay))
	is.True(stallsResult.p99 < stalls.GetLateness().AsDuration())
	is.True(stallsResult.median < stalls.GetLateness().AsDuration()/2) // does not wait for the late partition
	is.True(stallsResult.coverage >= 0.9)
	catalogueResult := measureWorth(t, catalogue, catalogue, 200, delayPartition(delay))
	is.True(catalogueResult.median >= 600*time.Millisecond) // waits for the late partition
	is.Equal(catalogueResult.coverage, 1.0)
	is.Equal(catalogueResult.worth, 1.0)
}

// TestWorthTable prints the table of docs/design/answering.md when WORTH_TABLE is set.
func TestWorthTable(t *testing.T) {
	if os.Getenv("WORTH_TABLE") == "" {
		t.Skip("prints a table; set WORTH_TABLE=1")
	}
	faults := []struct {
		name  string
		apply func(*fakeCluster)
	}{
		{"healthy", func(*fakeCluster) {}},
		{"5 % stragglers", setAllLeafTimes(stragglers(logNormal(20*time.Millisecond, 0.4), 0.05, 10))},
		{"a partition 150 ms late", delayPartition(150 * time.Millisecond)},
		{"a partition 700 ms late", delayPartition(700 * time.Millisecond)},
		{"a partition silent", delayPartition(time.Hour)},
	}
	fmt.Println("| class | faults | policy | worth | coverage | p50 | p99 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, class := range []*pb.Class{
		exampleClass(t, "treidelstall", "stalls"), exampleClass(t, "dikranos", "catalogue"),
	} {
		waitToEnd, answerAtFullWorth := proto.CloneOf(class), proto.CloneOf(class)
		waitToEnd.FullWorthUntil = durationpb.New(class.GetLateness().AsDuration() - time.Nanosecond)
		answerAtFullWorth.CoverageExponent, answerAtFullWorth.CoverageFloor = 0.001, 0
		name := class.GetName()
		for _, f := range faults {
			for _, p := range []struct {
				name   string
				decide *pb.Class
			}{{"wait to the end", waitToEnd}, {"answer when worth falls", answerAtFullWorth}, {"by expected worth", class}} {
				r := measureWorth(t, p.decide, class, 2000, f.apply)
				fmt.Printf("| %s | %s | %s | %.3f | %.4f | %.0f ms | %.0f ms |\n", name, f.name, p.name, r.worth, r.coverage,
					milliseconds(r.median), milliseconds(r.p99))
			}
		}
	}
}

func setAllLeafTimes(drawTime func(*rand.Rand) time.Duration) func(*fakeCluster) {
	return func(b *fakeCluster) {
		for _, l := range b.leaves {
			l.drawTime = drawTime
		}
	}
}
