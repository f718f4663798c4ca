package bootstrapper_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/bootstrapper"
)

// chunkTime is how long a seed takes for one part of its answer.
const chunkTime = 40 * time.Millisecond

type (
	seedState int

	// seeds is a set of seeds that a starting node pulls from. It implements bootstrapper.Puller.
	seeds struct {
		mutex      sync.Mutex
		states     map[string]seedState
		answeredAt time.Time
		// pulls counts the pulls of each seed; transfers counts the answers with documents.
		pulls     map[string]int
		transfers int
		complete  bool
		// chunks is the number of parts of an answer with documents.
		chunks int
	}
)

const (
	silent seedState = iota
	refusing
	empty
	holding
)

func (s *seeds) Pull(_ context.Context, address string) error {
	s.mutex.Lock()
	state := s.states[address]
	s.pulls[address]++
	s.mutex.Unlock()
	switch state {
	case refusing:
		return errors.New("connection refused")
	case empty:
		s.answer()
		return nil
	case holding:
		for range s.chunks {
			time.Sleep(chunkTime)
			s.answer()
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.complete = true
		s.transfers++
		return nil
	default:
		time.Sleep(100 * time.Millisecond)
		return errors.New("deadline exceeded")
	}
}

func (s *seeds) answer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answeredAt = time.Now()
}

func (s *seeds) AnsweredAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answeredAt
}

func (s *seeds) isComplete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.complete
}

// start runs a Bootstrapper for two seconds. It returns the seeds with what was asked of them, after how long the node
// was complete, and after how long it would have read the store; 0 for never.
func start(t *testing.T, chunks int, firstStart, isSeed bool, states ...seedState) (
	s *seeds, completeAfter, readAfter time.Duration,
) {
	t.Helper()
	s = &seeds{states: map[string]seedState{}, pulls: map[string]int{}, chunks: chunks}
	names := []string{"a", "b", "c"}
	for i, state := range states {
		s.states[names[i]] = state
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer func() {
		cancel()
		time.Sleep(time.Second) // lets the goroutines and transfers end
	}()
	startedAt := time.Now()
	b := bootstrapper.New(bootstrapper.Config{
		Seeds: func() []string { return names }, IsSeed: func() bool { return isSeed }, FirstStart: firstStart,
		Puller: s, Complete: s.isComplete, Clock: quartz.NewReal(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	go b.Run(ctx)
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if s.isComplete() {
			return s, time.Since(startedAt), readAfter
		}
		if readAfter == 0 && b.ShouldReadStore() {
			readAfter = max(time.Since(startedAt), 1)
		}
	}
	return s, 0, readAfter
}

// Guards against a large configuration that arrives at a starting node from all seeds and the store at the same time.
func TestFirstDocumentsComeOnceWhileSeedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, completeAfter, readAfter := start(t, 8, false, false, holding, holding, holding)
		is.Equal(readAfter, time.Duration(0))
		is.True(completeAfter > 0 && completeAfter < 9*chunkTime)
		is.Equal(s.transfers, 1)
	})
}

func TestSeedsThatGiveNothingDelayStartLittle(t *testing.T) {
	for name, states := range map[string][]seedState{
		"silent": {silent, silent, holding}, "refusing": {refusing, refusing, holding}, "empty": {empty, empty, holding},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, completeAfter, _ := start(t, 1, false, false, states...)
				is.True(completeAfter > 0 && completeAfter < 400*time.Millisecond)
			})
		})
	}
}

func TestStoreIsReadWithoutSeeds(t *testing.T) {
	silentSeeds, refusingSeeds := []seedState{silent, silent, silent}, []seedState{refusing, refusing, refusing}
	emptySeeds, holdingSeeds := []seedState{empty, empty, empty}, []seedState{holding, holding, holding}
	for name, c := range map[string]struct {
		states             []seedState
		firstStart, isSeed bool
		after              time.Duration
	}{
		"all seeds silent":   {silentSeeds, false, false, 150 * time.Millisecond},
		"all seeds refusing": {refusingSeeds, false, false, 150 * time.Millisecond},
		"all seeds empty":    {emptySeeds, false, false, 800 * time.Millisecond},
		"first start":        {emptySeeds, true, false, 2 * time.Second},
		"seed":               {holdingSeeds, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, _, readAfter := start(t, 3, c.firstStart, c.isSeed, c.states...)
				is.True(readAfter > c.after && readAfter < c.after+50*time.Millisecond)
			})
		})
	}
}

// Guards against questions without a pause to seeds whose connections fail at once.
func TestRefusingSeedsAreAskedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _, _ := start(t, 1, false, false, refusing, refusing, refusing)
		is.True(s.pulls["a"] >= 10 && s.pulls["a"] <= 25)
	})
}
