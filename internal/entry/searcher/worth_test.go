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

	"github.com/magnoliastep/magnoliastep/internal/entry/valuer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	worthResult struct {
		worth    float64
		coverage float64
		median   time.Duration
		high     time.Duration
	}
)

// exampleClass reads a class of the committed example configurations.
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

// runWorth answers by the class decide and judges by the class true.
func runWorth(t *testing.T, decide, judge *pb.Class, queries int, apply func(*bed)) worthResult {
	t.Helper()
	result := worthResult{}
	value := valuer.New(judge)
	var times tailResult
	synctest.Test(t, func(*testing.T) {
		b := newBed(bedConfig{
			seed: 1, partitions: 10, replicas: 3, slots: 6, budget: 0.05, class: proto.CloneOf(decide),
			draw: logNormal(20*time.Millisecond, 0.4),
		})
		apply(b)
		arrivals := rand.New(rand.NewPCG(1, 3))
		var mutex sync.Mutex
		var running sync.WaitGroup
		for i := range queries {
			time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(100*time.Millisecond)))
			running.Go(func() {
				at := time.Now()
				a, _ := b.searcher.Search(context.Background(), b.caller, &pb.SearchRequest{
					Service: serviceName, Class: className, TimeLeft: judge.GetLateness(),
				})
				took := time.Since(at)
				if i < queries/10 {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				coverage := float64(len(a.GetParts())) / float64(a.GetCoverage().GetAsked())
				times.complete = append(times.complete, took)
				result.worth += value.Worth(took, coverage) / judge.GetWorth()
				result.coverage += coverage
			})
		}
		running.Wait()
		time.Sleep(time.Hour)
	})
	n := float64(len(times.complete))
	result.worth /= n
	result.coverage /= n
	times.sort()
	result.median, result.high = times.quantile(0.5), times.quantile(0.99)
	return result
}

// lateReplicas makes every replica of one partition answer after the time.
func lateReplicas(d time.Duration) func(*bed) {
	return func(b *bed) {
		for _, l := range b.leaves {
			if l.leaf.GetPartitions()[0] == 3 {
				l.draw = logNormal(d, 0.1)
			}
		}
	}
}

// TestClassesDifferByConfiguration holds that, with the same fault, skippers are answered early and the
// catalogue waits for the last partition.
func TestClassesDifferByConfiguration(t *testing.T) {
	is := is.New(t)
	late := 700 * time.Millisecond
	stalls := exampleClass(t, "treidelstall", "stalls")
	catalogue := exampleClass(t, "dikranos", "catalogue")
	skippers := runWorth(t, stalls, stalls, 200, lateReplicas(late))
	is.True(skippers.high < stalls.GetLateness().AsDuration())
	is.True(skippers.median < stalls.GetLateness().AsDuration()/2) // no waiting for what will not come
	is.True(skippers.coverage >= 0.9)
	buyers := runWorth(t, catalogue, catalogue, 200, lateReplicas(late))
	is.True(buyers.median >= 600*time.Millisecond) // waits
	is.Equal(buyers.coverage, 1.0)
	is.Equal(buyers.worth, 1.0)
}

// TestWorthTable prints the table of docs/design/answering.md when WORTH_TABLE is set.
func TestWorthTable(t *testing.T) {
	if os.Getenv("WORTH_TABLE") == "" {
		t.Skip("prints a table; set WORTH_TABLE=1")
	}
	faults := []struct {
		name  string
		apply func(*bed)
	}{
		{"healthy", func(*bed) {}},
		{"5 % stragglers", scenarioOf(stragglers(logNormal(20*time.Millisecond, 0.4), 0.05, 10))},
		{"a partition 150 ms late", lateReplicas(150 * time.Millisecond)},
		{"a partition 700 ms late", lateReplicas(700 * time.Millisecond)},
		{"a partition silent", lateReplicas(time.Hour)},
	}
	fmt.Println("| class | faults | policy | worth | coverage | p50 | p99 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, class := range []*pb.Class{
		exampleClass(t, "treidelstall", "stalls"), exampleClass(t, "dikranos", "catalogue"),
	} {
		toTheEnd, atFullWorth := proto.CloneOf(class), proto.CloneOf(class)
		toTheEnd.FullWorthUntil = durationpb.New(class.GetLateness().AsDuration() - time.Nanosecond)
		atFullWorth.CoverageExponent, atFullWorth.CoverageFloor = 0.001, 0
		name := class.GetName()
		for _, f := range faults {
			for _, p := range []struct {
				name   string
				decide *pb.Class
			}{{"wait to the end", toTheEnd}, {"answer when worth falls", atFullWorth}, {"by expected worth", class}} {
				r := runWorth(t, p.decide, class, 2000, f.apply)
				fmt.Printf("| %s | %s | %s | %.3f | %.4f | %.0f ms | %.0f ms |\n", name, f.name, p.name, r.worth, r.coverage,
					milliseconds(r.median), milliseconds(r.high))
			}
		}
	}
}

func scenarioOf(draw func(*rand.Rand) time.Duration) func(*bed) {
	return func(b *bed) {
		for _, l := range b.leaves {
			l.draw = draw
		}
	}
}
