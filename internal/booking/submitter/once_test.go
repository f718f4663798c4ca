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

// What befalls the nodes while requests run.
const (
	eventCut = iota
	eventHeal
	eventFreeze
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

	// history is what one caller was told of one id.
	history struct {
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
	case eventCut:
		f.mutex.Lock()
		for n := range f.nodes {
			f.side[n] = f.random.IntN(2)
		}
		f.mutex.Unlock()
	case eventHeal:
		f.mutex.Lock()
		clear(f.side)
		f.mutex.Unlock()
	case eventFreeze:
		f.freeze(name, time.Duration(1+e.node)*400*time.Millisecond)
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

// TestRunsAtMostOnce draws histories with cuts, freezes, restarts, joining and replaced nodes, lost
// answers and callers that repeat through other entries, also at once. The leaf's journal judges.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		nodes := rapid.IntRange(3, 9).Draw(rt, "nodes")
		events := drawEvents(rt)
		lose := rapid.Float64Range(0, 0.5).Draw(rt, "lose_answer")
		shed := rapid.Float64Range(0, 0.5).Draw(rt, "shed")
		var failures []string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(seed, nodes)
			f.loseAnswer, f.shed = lose, shed
			ctx, cancel := context.WithCancel(context.Background())
			go f.publishLoop(ctx)
			time.Sleep(3 * allowance)
			go func() {
				joined := 0
				for _, e := range events {
					time.Sleep(e.after)
					f.apply(e, &joined)
				}
			}()
			failures = f.judge(f.callers(12, nodes))
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

// callers makes one caller for each id; each repeats until it has an answer that ends its doubt.
func (f *fleet) callers(count, nodes int) []*history {
	var running sync.WaitGroup
	var histories []*history
	f.mutex.Lock()
	seed := f.random.Uint64()
	f.mutex.Unlock()
	for i := range count {
		h := &history{}
		histories = append(histories, h)
		random := rand.New(rand.NewPCG(uint64(i), seed))
		running.Go(func() {
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			h.id = newID(time.Duration(random.Int64N(2*int64(callerSkew)))-callerSkew, random)
			for range 1 + random.IntN(4) {
				if code := f.submitTwice(h.id, nodes, random); code != nil {
					h.codes = append(h.codes, code...)
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	return histories
}

// submitTwice sends the id through one entry, or through two at once.
func (f *fleet) submitTwice(id string, nodes int, random *rand.Rand) []pb.ResultCode {
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
			if !n.wait() {
				return
			}
			a, err := n.submitter.Submit(context.Background(), &pb.Caller{Classes: []string{"desk/book"}}, &pb.SubmitRequest{
				Service: "desk", Class: "book", RequestId: id, Payload: "stall", TimeLeft: timeLeft,
			})
			if err == nil && n.wait() {
				mutex.Lock()
				defer mutex.Unlock()
				codes = append(codes, a.GetCode())
			}
		})
	}
	running.Wait()
	return codes
}

// judge compares what callers were told with the journal.
func (f *fleet) judge(histories []*history) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var failures []string
	for _, h := range histories {
		runs, told, onlyNotRun := f.journal[h.id], false, len(h.codes) > 0
		for _, c := range h.codes {
			told = told || c == pb.ResultCode_RESULT_CODE_OK
			onlyNotRun = onlyNotRun && c == pb.ResultCode_RESULT_CODE_NOT_RUN
		}
		switch {
		case runs > 1:
			failures = append(failures, fmt.Sprintf("%s ran %d times: %v", h.id, runs, h.codes))
		case told && runs == 0:
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

// TestFirstSubmitsSucceed holds that ordinary first attempts run: in a healthy fleet, right after a node
// was lost, and right after one joined.
func TestFirstSubmitsSucceed(t *testing.T) {
	tests := []struct {
		name   string
		events []event
	}{
		{"healthy", nil},
		{"node lost", []event{{kind: eventFreeze, node: 8}}},
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
				time.Sleep(2 * groupSettle)
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
