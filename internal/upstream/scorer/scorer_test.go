package scorer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

const (
	ms             = time.Millisecond
	typicalLatency = 10 * ms
	slots          = 4
)

// recordCall records one complete call and returns the time of its end.
func recordCall(s *scorer.Scorer, at time.Time, took time.Duration, o scorer.Outcome) time.Time {
	s.Begin(at)
	end := at.Add(took)
	s.End(at, end, took, typicalLatency, o)
	return end
}

// The answer of a stalled leaf arrives too late to steer other calls away, so the age of an open call must raise
// the estimate.
func TestExpectedRisesWhileCallIsOverdue(t *testing.T) {
	is := is.New(t)
	s, now := scorer.New(), time.Now()
	s.Begin(now)
	early := s.ExpectedLatency(now.Add(5*ms), typicalLatency, slots)
	late := s.ExpectedLatency(now.Add(50*ms), typicalLatency, slots)
	is.True(early < 2*typicalLatency)
	is.True(late > early+40*ms) // the age of the overdue call is added
	s.End(now, now.Add(60*ms), 60*ms, typicalLatency, scorer.Success)
	is.True(s.ExpectedLatency(now.Add(61*ms), typicalLatency, slots) < late-20*ms) // only observed latencies count
}

func TestPenaltyOfSlowOrFailingLeafDecays(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name string
		took time.Duration
		o    scorer.Outcome
	}{{"slow", 100 * ms, scorer.Success}, {"failing", ms, scorer.Failure}, {
		"rejecting", ms,
		scorer.Rejection,
	}, {"abandoned", 200 * ms, scorer.Abandoned}} {
		s, now := scorer.New(), time.Now()
		for range 8 {
			now = recordCall(s, now, c.took, c.o)
		}
		is.True(s.ExpectedLatency(now, typicalLatency, slots) > 4*typicalLatency) // avoided
		// The penalty has decayed.
		is.True(s.ExpectedLatency(now.Add(20*time.Second), typicalLatency, slots) < 2*typicalLatency)
	}
}

func TestExpectedGrowsWithOpenCalls(t *testing.T) {
	is := is.New(t)
	s, now := scorer.New(), time.Now()
	before := s.ExpectedLatency(now, typicalLatency, slots)
	for range slots + 2 {
		s.Begin(now)
		after := s.ExpectedLatency(now, typicalLatency, slots)
		is.True(after > before)
		before = after
	}
	is.Equal(s.OpenCalls(), slots+2)
}

// Guards against a leaf that is left alone for seconds after one failure or a short pause, and against one that has
// been failing or slow for long and is tried as soon.
func TestPenaltyLastsAboutAsLongAsItsCause(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name string
		took time.Duration
		o    scorer.Outcome
	}{{"slow", 100 * ms, scorer.Success}, {"failing", 100 * ms, scorer.Failure}} {
		// penaltyEnds returns how long a leaf is expected to be slow after it has been so for a time.
		penaltyEnds := func(calls int) time.Duration {
			s, now := scorer.New(), time.Now()
			for range calls {
				now = recordCall(s, now, c.took, c.o)
			}
			end := time.Duration(0)
			for s.ExpectedLatency(now.Add(end), typicalLatency, slots) > 2*typicalLatency {
				end += 10 * ms
			}
			return end
		}
		once, long := penaltyEnds(1), penaltyEnds(60)
		t.Logf("%s: once %v, for 6 s %v", c.name, once, long)
		is.True(once > 0 && once <= 1500*ms)
		is.True(long >= 2*time.Second)
	}
}

// Guards against a leaf that is gone and gets a call every moment because a single failure is soon forgotten.
func TestLeafThatIsGoneIsTriedRarely(t *testing.T) {
	is := is.New(t)
	s, start := scorer.New(), time.Now()
	tried := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
		if s.ExpectedLatency(start.Add(at), typicalLatency, slots) < 4*typicalLatency {
			recordCall(s, start.Add(at), ms, scorer.Failure)
			tried++
		}
	}
	is.True(tried >= 2 && tried <= 10)
}
