package applier_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
)

type (
	// attempted is what an operator asked for: a change of the version that an earlier change made.
	attempted struct {
		id string
		// over is the id of the change that the operator read last; any is set for AnyVersion.
		over string
		any  bool
		read bool
	}

	// told is what the operator was told.
	told struct {
		code pb.ResultCode
		// last is the change that stands, as read or as the winner of a conflict.
		last string
	}

	history struct {
		mutex      sync.Mutex
		operations []porcupine.Operation
	}
)

const (
	operators       = 4
	changesEach     = 6
	historySeeds    = 200
	checkTimeout    = 20 * time.Second
	historyFaults   = 0.5
	maxThinkingTime = 2000 // ms
)

// changeModel says that each object is a register: a change takes effect at one moment between its
// request and its answer, over the change that it names; where the outcome is unknown, at any later
// moment or never.
func changeModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			last, in, out := state.(string), input.(attempted), output.(told)
			if in.read {
				return keepIf(last == out.last, last)
			}
			fits := in.any || in.over == last
			switch out.code {
			case pb.ResultCode_RESULT_CODE_OK:
				return keepIf(fits, in.id)
			case pb.ResultCode_RESULT_CODE_VERSION_CONFLICT:
				named := out.last == "" || out.last == last
				return keepIf(named && (in.any || !fits), last)
			case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
				return append(keepIf(fits, in.id), last)
			case pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE:
				return []any{last}
			}
			return nil
		},
	}
	return m.ToModel()
}

func keepIf(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	var counts sync.Map
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFaultyStore()
			s.random = rand.New(rand.NewPCG(seed, 1))
			s.faultShare = historyFaults
			h := &history{}
			h.run(s, seed)
			s.settle()
			h.checkTrail(t, seed, newApplier(s), &counts)
			result := porcupine.CheckOperationsTimeout(changeModel(), h.operations, checkTimeout)
			if result != porcupine.Ok {
				t.Logf("seed %d: %v", seed, h.operations)
			}
			is.Equal(result, porcupine.Ok) // history is linearizable
		})
	}
	counts.Range(func(code, count any) bool {
		t.Logf("%v: %d", code, *count.(*int))
		return true
	})
}

// run lets the operators race, each through an Applier of its own.
func (h *history) run(s *faultyStore, seed uint64) {
	var wait sync.WaitGroup
	for op := range operators {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(op)+100))
			a := newApplier(s)
			for i := range changesEach {
				time.Sleep(time.Duration(random.IntN(maxThinkingTime)) * time.Millisecond)
				h.changeOnce(op, fmt.Sprintf("op%d-%d", op, i), s, a, random)
			}
		})
	}
	wait.Wait()
}

func (h *history) changeOnce(op int, id string, s *faultyStore, a *applier.Applier, random *rand.Rand) {
	c := change(id, applier.AnyVersion)
	in := attempted{id: id, any: true}
	if random.IntN(3) > 0 {
		start := time.Now()
		o, err := s.Get(context.Background(), zoneKey)
		if err == nil {
			read, _ := watcher.Decode(o)
			in.any, in.over = false, lastChange(read)
			c.ExpectedVersion = read.GetVersion()
			h.add(op, start, attempted{read: true}, told{last: in.over}, false)
		}
	}
	start := time.Now()
	o := a.Apply(context.Background(), c)
	unknown := o.GetCode() == pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN
	h.add(op, start, in, told{code: o.GetCode(), last: o.GetWinner().GetChangeId()}, unknown)
}

// add records an operation. One whose outcome is unknown never returns.
func (h *history) add(op int, start time.Time, in attempted, out told, open bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	end := time.Now().UnixNano()
	if open {
		end = math.MaxInt64
		op += len(h.operations) + operators // an open operation needs a client of its own
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: op, Input: in, Call: start.UnixNano(), Output: out, Return: end,
	})
}

// checkTrail compares what operators were told with the audit trail, after every late write has landed.
func (h *history) checkTrail(t *testing.T, seed uint64, a *applier.Applier, counts *sync.Map) {
	is := is.New(t)
	trail, err := a.Trail(context.Background(), zoneKey)
	is.NoErr(err)
	times := map[string]int{}
	for _, c := range trail {
		times[c.GetChange().GetChangeId()]++
	}
	for _, o := range h.operations {
		in, out := o.Input.(attempted), o.Output.(told)
		if in.read {
			continue
		}
		count, _ := counts.LoadOrStore(out.code, new(int))
		*count.(*int)++
		switch out.code {
		case pb.ResultCode_RESULT_CODE_OK:
			is.Equal(times[in.id], 1) // an accepted change is in the trail once
		case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
			is.True(times[in.id] <= 1) // at most once
		default:
			if times[in.id] != 0 {
				t.Fatalf("seed %d: change %s was answered %v but is in the trail", seed, in.id, out.code)
			}
		}
	}
}

func lastChange(o *pb.ConfigObject) string {
	if n := len(o.GetChanges()); n > 0 {
		return o.GetChanges()[n-1].GetChangeId()
	}
	return ""
}
