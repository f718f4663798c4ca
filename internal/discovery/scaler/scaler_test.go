package scaler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/discovery/scaler"
)

// observePeriod is the time between two observations.
const observePeriod = 500 * time.Millisecond

// play divides a load, in cores, among a zone's two serving nodes and their helpers for a time, and returns the number
// of helpers asked for after each observation. capacity is the cores of one node.
func play(s *scaler.Scaler, start time.Time, duration time.Duration, load, capacity float64) []int {
	const servingNodes = 2
	var helpers []int
	asked := s.Observe(0, start.Add(-observePeriod))
	for at := time.Duration(0); at < duration; at += observePeriod {
		used := load / float64(servingNodes+asked) / capacity
		asked = s.Observe(used, start.Add(at))
		helpers = append(helpers, asked)
	}
	return helpers
}

func changes(values []int) int {
	count := 0
	for i := 1; i < len(values); i++ {
		if values[i] != values[i-1] {
			count++
		}
	}
	return count
}

// Guards against serving nodes that are overloaded while others are on standby, and against a number of helpers that
// swings under a steady load.
func TestHelpersFollowLoadWithoutFlapping(t *testing.T) {
	is := is.New(t)
	s, start := &scaler.Scaler{}, time.Now()
	calm := play(s, start, time.Minute, 0.1, 0.4)
	is.Equal(calm[len(calm)-1], 0)
	is.Equal(changes(calm), 0)
	high := play(s, start.Add(time.Minute), time.Minute, 1.6, 0.4) // twice what two nodes have
	helpers := high[len(high)-1]
	is.True(1.6/float64(2+helpers)/0.4 <= 0.5) // no node is more than half busy
	is.True(high[int(15*time.Second/observePeriod)] == helpers)
	is.True(changes(high) <= 4)
	after := play(s, start.Add(2*time.Minute), 3*time.Minute, 0.1, 0.4)
	is.Equal(after[len(after)-1], 0)
}

// A burst that is shorter than callers keep their addresses must not change who serves.
func TestShortBurstAsksForNoHelpers(t *testing.T) {
	is := is.New(t)
	s, now := &scaler.Scaler{}, time.Now()
	is.Equal(s.Observe(0.9, now), 0)
	is.Equal(s.Observe(0.9, now.Add(observePeriod)), 0)
	is.Equal(s.Observe(0.1, now.Add(2*observePeriod)), 0)
}
