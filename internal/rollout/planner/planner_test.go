package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
)

const (
	duration = time.Minute
	// A version that has not been completed may get exposeShare of the requests and exposeSlack more.
	exposeShare = 0.1
	exposeSlack = 50
	// storeOutage is for how long the store may be away at any time.
	storeOutage = 3 * time.Second
)

func bounds() planner.Bounds { return planner.Bounds{Share: exposeShare, Slack: exposeSlack} }

// ready returns a situation in which nothing is wrong.
func ready(age time.Duration) planner.Situation {
	return planner.Situation{
		Bounds: bounds(), Age: age, Duration: duration, Answers: 1000, Leaves: 3, OtherLeaves: 3,
	}
}

// A step that is too early exposes callers to a bad version; one that is too late misses the deadline.
func TestDecideBySituation(t *testing.T) {
	with := func(s planner.Situation, change func(*planner.Situation)) planner.Situation {
		change(&s)
		return s
	}
	for _, c := range []struct {
		name      string
		situation planner.Situation
		reason    string
		outcome   planner.Outcome
	}{
		{"at the start", ready(0), "proving", planner.Wait},
		{"no leaf yet", with(ready(10*time.Second), func(s *planner.Situation) { s.Leaves = 0 }), "no_leaf", planner.Wait},
		{
			"no leaf at the deadline", with(ready(duration), func(s *planner.Situation) { s.Leaves = 0 }),
			"no_leaf_by_deadline", planner.Revert,
		},
		{
			"too many requests exposed", with(ready(10*time.Second), func(s *planner.Situation) { s.Exposed = 91 }), "exposed",
			planner.Wait,
		},
		{"found bad early", with(ready(time.Second), func(s *planner.Situation) { s.Bad = true }), "bad", planner.Revert},
		{
			"found bad at last", with(ready(59*time.Second), func(s *planner.Situation) { s.Bad = true }), "bad",
			planner.Revert,
		},
		{"first step", ready(46 * time.Second), "half", planner.Wait},
		{"second step", ready(49 * time.Second), "load", planner.Wait},
		{
			"cold leaves", with(ready(46*time.Second), func(s *planner.Situation) { s.Cold = 1 }), "leaves_not_ready",
			planner.Wait,
		},
		{
			"leaves are missing", with(ready(46*time.Second), func(s *planner.Situation) { s.Leaves = 2 }),
			"leaves_not_ready", planner.Wait,
		},
		{
			"leaves are missing and time is short", with(ready(54*time.Second), func(s *planner.Situation) { s.Leaves = 2 }),
			"moved", planner.Complete,
		},
		{
			"nodes have to move", with(ready(51*time.Second), func(s *planner.Situation) { s.Unmoved = 1 }), "moving",
			planner.Wait,
		},
		{
			"a node never confirms", with(ready(58500*time.Millisecond), func(s *planner.Situation) { s.Unmoved = 1 }),
			"deadline", planner.Complete,
		},
		{"all have moved", ready(51 * time.Second), "moved", planner.Complete},
		{"past the deadline", ready(2 * duration), "moved", planner.Complete},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := planner.Decide(c.situation)
			is.Equal(p.Reason, c.reason)
			is.Equal(p.Outcome, c.outcome)
			is.True(p.Outcome != planner.Complete || p.Sealed) // leaves of other versions stop
			is.True(p.Outcome != planner.Revert || p.Share == 0)
		})
	}
}

// A version that is never found bad must not have got more than its bound before it is completed, at any rate of
// requests, and must be completed early enough for the store to be away.
func TestDecideKeepsBoundsUntilCompleted(t *testing.T) {
	const tick, moveTime = 250 * time.Millisecond, time.Second
	for _, duration := range []time.Duration{20 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute} {
		for _, rate := range []float64{2, 20, 200} {
			is := is.New(t)
			answers, exposed, sealedFor := 0.0, 0.0, time.Duration(0)
			for age := time.Duration(0); ; age += tick {
				s := planner.Situation{
					Bounds: bounds(), Age: age, Duration: duration, Answers: uint64(answers),
					Exposed: uint64(exposed), Leaves: 3, OtherLeaves: 3,
				}
				if sealedFor < moveTime {
					s.Unmoved = 1
				}
				p := planner.Decide(s)
				if p.Outcome == planner.Complete {
					t.Log(duration, rate, "completed at", age, "answers", answers, "exposed", exposed)
					is.True(duration-age >= storeOutage)
					break
				}
				if p.Sealed {
					sealedFor += tick
				}
				answers += rate * tick.Seconds()
				exposed += p.Share * rate * tick.Seconds()
			}
			is.True(exposed <= exposeShare*(rate*duration.Seconds())+exposeSlack)
		}
	}
}
