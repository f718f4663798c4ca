package submitter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Faults and changes of the fleet that happen while requests run.
const (
	eventNetworkPartition = iota
	eventHeal
	eventPause
	eventRestart
	eventJoin
	eventReplace
	eventCount
)

type (
	event struct {
		after time.Duration
		kind  int
		node  int
	}

	// callerHistory has the result codes that one caller received for one id.
	callerHistory struct {
		id    string
		codes []pb.ResultCode
	}
)

func drawEvents(rt *rapid.T) []event {
	count := rapid.IntRange(0, 12).Draw(rt, "events")
	var events []event
	for range count {
		events = append(events, event{
			after: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "after_ms")) * time.Millisecond,
			kind:  rapid.IntRange(0, eventCount-1).Draw(rt, "kind"),
			node:  rapid.IntRange(0, 8).Draw(rt, "node"),
		})
	}
	return events
}

func (f *fleet) apply(e event, joined *int) {
	name := fmt.Sprintf("node-%d", e.node)
	if f.nodes[name] == nil || !f.nodes[name].alive {
		return
	}
	switch e.kind {
	case eventNetworkPartition:
		f.mutex.Lock()
		for n := range f.nodes {
			f.side[n] = f.random.IntN(2)
		}
		f.mutex.Unlock()
	case eventHeal:
		f.mutex.Lock()
		clear(f.side)
		f.mutex.Unlock()
	case eventPause:
		f.pause(name, time.Duration(1+e.node)*400*time.Millisecond)
	case eventRestart:
		f.start(name)
	case eventJoin, eventReplace:
		if e.kind == eventReplace {
			f.remove(name)
		}
		*joined++
		f.start(fmt.Sprintf("node-1%d", *joined))
	}
}

// TestSubmitRunsAtMostOnce guards against a request that runs twice and against wrong answers: "OK" for a request that
// did not run, or "not run" for one that ran. It draws network partitions, pauses, restarts, joining and replaced
// nodes, lost answers and callers that repeat requests through other nodes, also concurrently, and compares the
// answers with the runs at the leaf.
func TestSubmitRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		nodes := rapid.IntRange(3, 9).Draw(rt, "nodes")
		events := drawEvents(rt)
		answerLossShare := rapid.Float64Range(0, 0.5).Draw(rt, "lose_answer")
		shedShare := rapid.Float64Range(0, 0.5).Draw(rt, "shed")
		var failures []string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(seed, nodes)
			f.answerLossShare, f.shedShare = answerLossShare, shedShare
			ctx, cancel := context.WithCancel(context.Background())
			go f.publishLoop(ctx)
			time.Sleep(3 * clockAllowance)
			go func() {
				joined := 0
				for _, e := range events {
					time.Sleep(e.after)
					f.apply(e, &joined)
				}
			}()
			failures = f.check(f.runCallers(12, nodes))
			time.Sleep(time.Minute)
			cancel()
			time.Sleep(2 * listPeriod)
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

func (f *fleet) publishLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.publish()
		time.Sleep(listPeriod)
	}
}

// runCallers runs one caller for each id; each submits its id one to four times and records the result codes.
func (f *fleet) runCallers(count, nodes int) []*callerHistory {
	var running sync.WaitGroup
	var histories []*callerHistory
	f.mutex.Lock()
	seed := f.random.Uint64()
	f.mutex.Unlock()
	for i := range count {
		h := &callerHistory{}
		histories = append(histories, h)
		random := rand.New(rand.NewPCG(uint64(i), seed))
		running.Go(func() {
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			h.id = newID(time.Duration(random.Int64N(2*int64(callerClockSkew)))-callerClockSkew, random)
			for range 1 + random.IntN(4) {
				if code := f.submitThroughNodes(h.id, nodes, random); code != nil {
					h.codes = append(h.codes, code...)
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	return histories
}

// submitThroughNodes sends the id through one node, or through two concurrently.
func (f *fleet) submitThroughNodes(id string, nodes int, random *rand.Rand) []pb.ResultCode {
	var mutex sync.Mutex
	var running sync.WaitGroup
	var codes []pb.ResultCode
	for range 1 + random.IntN(2) {
		name := fmt.Sprintf("node-%d", random.IntN(nodes))
		timeLeft := durationpb.New(time.Duration(100+random.IntN(1500)) * time.Millisecond)
		running.Go(func() {
			f.mutex.Lock()
			n := f.nodes[name]
			f.mutex.Unlock()
			if !n.waitUntilRunning() {
				return
			}
			a, err := n.submitter.Submit(context.Background(), &pb.Caller{Classes: []string{"desk/book"}}, &pb.SubmitRequest{
				Service: "desk", Class: "book", RequestId: id, Payload: "stall", TimeLeft: timeLeft,
			})
			if err == nil && n.waitUntilRunning() {
				mutex.Lock()
				defer mutex.Unlock()
				codes = append(codes, a.GetCode())
			}
		})
	}
	running.Wait()
	return codes
}

// check compares the result codes of the callers with the runs at the leaf and returns the failures.
func (f *fleet) check(histories []*callerHistory) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var failures []string
	for _, h := range histories {
		runs, confirmed, onlyNotRun := f.runs[h.id], false, len(h.codes) > 0
		for _, c := range h.codes {
			confirmed = confirmed || c == pb.ResultCode_RESULT_CODE_OK
			onlyNotRun = onlyNotRun && c == pb.ResultCode_RESULT_CODE_NOT_RUN
		}
		switch {
		case runs > 1:
			failures = append(failures, fmt.Sprintf("%s ran %d times: %v", h.id, runs, h.codes))
		case confirmed && runs == 0:
			failures = append(failures, fmt.Sprintf("%s did not run but was confirmed", h.id))
		case onlyNotRun && runs > 0:
			failures = append(failures, fmt.Sprintf("%s ran and every attempt was told not run: %v", h.id, h.codes))
		}
	}
	if f.asserter.Violations() > 0 {
		failures = append(failures, fmt.Sprint(f.asserter.ViolationsByName()))
	}
	return failures
}

// TestFirstSubmitSucceeds guards against first attempts that do not run although most nodes are reachable: in a healthy
// fleet, and right after a node was lost, joined, was replaced or restarted.
func TestFirstSubmitSucceeds(t *testing.T) {
	tests := []struct {
		name   string
		events []event
	}{
		{"healthy", nil},
		{"node lost", []event{{kind: eventPause, node: 8}}},
		{"node joined", []event{{kind: eventJoin, node: 1}}},
		{"node replaced", []event{{kind: eventReplace, node: 1}}},
		{"node restarted", []event{{kind: eventRestart, node: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				f := newFleet(1, 9)
				ctx, cancel := context.WithCancel(context.Background())
				go f.publishLoop(ctx)
				time.Sleep(2 * rosterOverlap)
				joined := 0
				for _, e := range tt.events {
					f.apply(e, &joined)
				}
				random := rand.New(rand.NewPCG(1, 1))
				for i := range 50 {
					n := f.nodes[fmt.Sprintf("node-%d", []int{0, 3, 4, 5}[i%4])]
					a, err := n.submitter.Submit(ctx, &pb.Caller{Classes: []string{"desk/book"}}, &pb.SubmitRequest{
						Service: "desk", Class: "book", RequestId: newID(0, random), Payload: "stall",
					})
					is.NoErr(err)
					if a.GetCode() != pb.ResultCode_RESULT_CODE_OK && a.GetMessage() != "the owner of the leaf did not answer" {
						t.Errorf("%d: %v", i, a)
					}
				}
				time.Sleep(time.Minute)
				cancel()
				time.Sleep(2 * listPeriod)
			})
		})
	}
}
