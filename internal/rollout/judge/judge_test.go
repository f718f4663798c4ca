package judge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/rollout/judge"
)

const (
	period      = 250 * time.Millisecond
	usualTime   = 20 * time.Millisecond
	targetBound = 50
)

// load is played to a Judge: the answers of the leaves of both versions in one period.
type load struct {
	// oldRate and newRate are answers per second.
	oldRate, newRate float64
	leaves           int
	// worse returns the share of failures and the factor of the latency of an answer.
	worse func(at time.Duration, isNew bool, leaf int, route string) (failures, slowness float64)
}

// play plays the load for a time. It returns the last verdict, when it became bad, and the bad answers given by then.
func play(l load, duration time.Duration, seed uint64) (judge.Verdict, time.Duration, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	j, start, badAnswers := judge.New(), time.Unix(1000, 0), 0
	j.SetLeaves(l.leaves)
	oldDue, newDue := 0.0, 0.0
	for at := time.Duration(0); at < duration; at += period {
		now := start.Add(at)
		answer := func(isNew bool) {
			leaf, route := random.IntN(l.leaves), []string{"search", "flag"}[random.IntN(2)]
			failures, slowness := l.worse(at, isNew, leaf, route)
			took := time.Duration(float64(usualTime) * slowness * (0.6 + 0.8*random.Float64()))
			var c judge.Counts
			if random.Float64() < failures {
				c.Failures = 1
			} else {
				c.Latencies[judge.BucketOf(took)] = 1
			}
			s := judge.Source{Route: route}
			if isNew {
				s.Leaf = fmt.Sprintf("leaf-%d", leaf)
				if c.Failures > 0 || slowness > 2 {
					badAnswers++
				}
			}
			j.Add(s, c, now)
		}
		for oldDue += l.oldRate * period.Seconds(); oldDue >= 1; oldDue-- {
			answer(false)
		}
		for newDue += l.newRate * period.Seconds(); newDue >= 1; newDue-- {
			answer(true)
		}
		if v := j.Evaluate(now); v.Bad {
			return v, at, badAnswers
		}
	}
	return j.Evaluate(start.Add(duration + time.Second)), 0, badAnswers
}

// A version that is bad must be found before it has given 50 bad answers, and soon after it became bad, whether it
// fails or is slow, on one route or on all, at once or later.
func TestJudgeFindsBadVersion(t *testing.T) {
	for _, c := range []struct {
		name             string
		oldRate, newRate float64
		worse            func(at time.Duration, route string) (float64, float64)
	}{
		{"fails from the start, 200 a second", 190, 8, func(time.Duration, string) (float64, float64) { return 0.3, 1 }},
		{"is slow from the start, 200 a second", 190, 8, func(time.Duration, string) (float64, float64) { return 0, 4 }},
		{"fails from the start, 2 a second", 1.5, 0.5, func(time.Duration, string) (float64, float64) { return 0.4, 1 }},
		{"fails late", 190, 8, func(at time.Duration, _ string) (float64, float64) {
			if at > 40*time.Second {
				return 0.3, 1
			}
			return 0, 1
		}},
		{"fails after a long good time", 20, 8, func(at time.Duration, _ string) (float64, float64) {
			if at > 10*time.Minute {
				return 0.3, 1
			}
			return 0, 1
		}},
		{"fails on one route", 100, 5, func(_ time.Duration, route string) (float64, float64) {
			if route == "flag" {
				return 0.4, 1
			}
			return 0, 1
		}},
		{"is slow on one route", 100, 5, func(_ time.Duration, route string) (float64, float64) {
			if route == "flag" {
				return 0, 5
			}
			return 0, 1
		}},
		{"fails a little, 200 a second under load", 30, 170, func(time.Duration, string) (float64, float64) {
			return 0.1, 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				l := load{oldRate: c.oldRate, newRate: c.newRate, leaves: 3}
				l.worse = func(at time.Duration, isNew bool, _ int, route string) (float64, float64) {
					if isNew {
						return c.worse(at, route)
					}
					return 0, 1
				}
				v, at, badAnswers := play(l, 12*time.Minute, seed)
				t.Log(seed, at, badAnswers, v)
				is.True(v.Bad)                                            // found
				is.True(v.BadAnswers <= targetBound)                      // judged before the 50th
				is.True(badAnswers <= targetBound || at <= 5*time.Second) // given before it was found, or within 5 s
			}
		})
	}
}

// A good version must not be taken for a bad one because of one bad leaf, of trouble that all versions share, or of
// noise: its roll-out would be reverted.
func TestJudgeSparesGoodVersion(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  load
		worse func(at time.Duration, isNew bool, leaf int, route string) (float64, float64)
	}{
		{"few requests", load{oldRate: 1.9, newRate: 0.1, leaves: 3}, nil},
		{"many requests", load{oldRate: 190, newRate: 10, leaves: 3}, nil},
		{
			"all versions fail a little",
			load{oldRate: 190, newRate: 10, leaves: 3},
			func(time.Duration, bool, int, string) (float64, float64) { return 0.02, 1 },
		},
		{
			"one leaf fails",
			load{oldRate: 190, newRate: 10, leaves: 3},
			func(_ time.Duration, isNew bool, leaf int, _ string) (float64, float64) {
				if isNew && leaf == 1 {
					return 0.5, 1
				}
				return 0, 1
			},
		},
		{
			"one leaf is slow",
			load{oldRate: 190, newRate: 10, leaves: 3},
			func(_ time.Duration, isNew bool, leaf int, _ string) (float64, float64) {
				if isNew && leaf == 2 {
					return 0, 6
				}
				return 0, 1
			},
		},
		{
			"the service gets into trouble and out of it",
			load{oldRate: 95, newRate: 5, leaves: 3},
			func(at time.Duration, _ bool, _ int, _ string) (float64, float64) {
				if at > 20*time.Second && at < 35*time.Second {
					return 0.25, 4
				}
				return 0, 1
			},
		},
		{
			"the service is in trouble under load of the new version",
			load{oldRate: 30, newRate: 170, leaves: 3},
			func(at time.Duration, _ bool, _ int, _ string) (float64, float64) {
				if at > 20*time.Second {
					return 0.3, 1
				}
				return 0, 1
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				c.load.worse = c.worse
				if c.worse == nil {
					c.load.worse = func(time.Duration, bool, int, string) (float64, float64) { return 0, 1 }
				}
				v, at, _ := play(c.load, time.Minute, seed)
				t.Log(seed, at, v)
				is.True(!v.Bad)
			}
		})
	}
}

// The slow answers of leaves that have just started must not make their version bad; their failures must.
func TestJudgeForgivesColdLeavesSlownessOnly(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts judge.Counts
		bad    bool
	}{
		{"slow", judge.Counts{Latencies: [judge.Buckets]uint64{40: 30}}, false},
		{"failing", judge.Counts{Failures: 30}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j, now := judge.New(), time.Unix(1000, 0)
			j.Add(judge.Source{Route: "search"}, judge.Counts{Latencies: [judge.Buckets]uint64{12: 100}}, now)
			j.Add(judge.Source{Route: "search", Leaf: "l1", Cold: true}, c.counts, now)
			is.Equal(j.Evaluate(now.Add(time.Second)).Bad, c.bad)
		})
	}
}
