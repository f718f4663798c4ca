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
	// operationInput is the request of an operator: a read, or a change based on an earlier change.
	operationInput struct {
		id string
		// baseChange is the id of the change that the operator read last; anyVersion is set for AnyVersion.
		baseChange string
		anyVersion bool
		isRead     bool
	}

	// operationOutput is the answer to the operator.
	operationOutput struct {
		code pb.ResultCode
		// lastChange is the id of the latest change, as read or as the winner of a conflict.
		lastChange string
	}

	history struct {
		mutex      sync.Mutex
		operations []porcupine.Operation
	}
)

const (
	operatorCount      = 4
	changesPerOperator = 6
	historySeeds       = 200
	checkerTimeout     = 20 * time.Second
	historyFaultShare  = 0.5
	maxThinkTimeMs     = 2000
)

// changeModel models an object as a register that holds the id of its last change. A change takes effect at one
// moment between its request and its answer, and only on top of the change that it is based on; a change with an
// unknown outcome may take effect at any later moment or never.
func changeModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			last, in, out := state.(string), input.(operationInput), output.(operationOutput)
			if in.isRead {
				return stateIf(last == out.lastChange, last)
			}
			baseMatches := in.anyVersion || in.baseChange == last
			switch out.code {
			case pb.ResultCode_RESULT_CODE_OK:
				return stateIf(baseMatches, in.id)
			case pb.ResultCode_RESULT_CODE_VERSION_CONFLICT:
				winnerMatches := out.lastChange == "" || out.lastChange == last
				return stateIf(winnerMatches && (in.anyVersion || !baseMatches), last)
			case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
				return append(stateIf(baseMatches, in.id), last)
			case pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE:
				return []any{last}
			}
			return nil
		},
	}
	return m.ToModel()
}

// stateIf returns the state as the only next state, or no next state if the step is not allowed.
func stateIf(ok bool, state string) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// Guards against outcomes that contradict the order of concurrent changes: an accepted change that is lost or applied
// twice, or a rejected one that takes effect. Operators change one object concurrently while faults are injected into
// historyFaultShare of the writes.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	var counts sync.Map
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFaultyStore()
			s.random = rand.New(rand.NewPCG(seed, 1))
			s.faultShare = historyFaultShare
			h := &history{}
			h.run(s, seed)
			s.waitForLateWrites()
			h.checkTrail(t, seed, newApplier(s), &counts)
			result := porcupine.CheckOperationsTimeout(changeModel(), h.operations, checkerTimeout)
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

// run makes the operators change the object concurrently, each through its own Applier.
func (h *history) run(s *faultyStore, seed uint64) {
	var wait sync.WaitGroup
	for operator := range operatorCount {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)+100))
			a := newApplier(s)
			for i := range changesPerOperator {
				time.Sleep(time.Duration(random.IntN(maxThinkTimeMs)) * time.Millisecond)
				h.changeOnce(operator, fmt.Sprintf("op%d-%d", operator, i), s, a, random)
			}
		})
	}
	wait.Wait()
}

func (h *history) changeOnce(operator int, id string, s *faultyStore, a *applier.Applier, random *rand.Rand) {
	c := change(id, applier.AnyVersion)
	in := operationInput{id: id, anyVersion: true}
	if random.IntN(3) > 0 {
		start := time.Now()
		o, err := s.Get(context.Background(), zoneKey)
		if err == nil {
			read, _ := watcher.Decode(o)
			in.anyVersion, in.baseChange = false, lastChange(read)
			c.ExpectedVersion = read.GetVersion()
			h.add(operator, start, operationInput{isRead: true}, operationOutput{lastChange: in.baseChange}, false)
		}
	}
	start := time.Now()
	o := a.Apply(context.Background(), c)
	unknown := o.GetCode() == pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN
	h.add(operator, start, in, operationOutput{code: o.GetCode(), lastChange: o.GetWinner().GetChangeId()}, unknown)
}

// add records an operation. An open operation, whose outcome is unknown, has no end.
func (h *history) add(operator int, start time.Time, in operationInput, out operationOutput, open bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	end := time.Now().UnixNano()
	if open {
		end = math.MaxInt64
		operator += len(h.operations) + operatorCount // an open operation needs its own client id
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: operator, Input: in, Call: start.UnixNano(), Output: out, Return: end,
	})
}

// checkTrail compares the answers to operators with the audit trail, after all late writes were executed.
func (h *history) checkTrail(t *testing.T, seed uint64, a *applier.Applier, counts *sync.Map) {
	is := is.New(t)
	trail, err := a.Trail(context.Background(), zoneKey)
	is.NoErr(err)
	occurrences := map[string]int{}
	for _, c := range trail {
		occurrences[c.GetChange().GetChangeId()]++
	}
	for _, o := range h.operations {
		in, out := o.Input.(operationInput), o.Output.(operationOutput)
		if in.isRead {
			continue
		}
		count, _ := counts.LoadOrStore(out.code, new(int))
		*count.(*int)++
		switch out.code {
		case pb.ResultCode_RESULT_CODE_OK:
			is.Equal(occurrences[in.id], 1) // an accepted change is in the audit trail once
		case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
			is.True(occurrences[in.id] <= 1) // at most once
		default:
			if occurrences[in.id] != 0 {
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
