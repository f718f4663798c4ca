package splitter_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/rollout/splitter"
)

// Nodes that each round their share up or down make all nodes together send far more or less than the share.
func TestSplitterSharesOfManyNodesAddUp(t *testing.T) {
	const nodes, share = 300, 0.04
	for _, callsPerNode := range []int{1, 10, 1000} {
		is := is.New(t)
		random, sent := rand.New(rand.NewPCG(1, 2)), 0
		for range nodes {
			s := splitter.New(splitter.Config{TargetVersion: "v2", Credit: random.Float64()})
			s.SetShare(share, false)
			for range callsPerNode {
				if s.Next() {
					sent++
				}
			}
		}
		expected := share * nodes * float64(callsPerNode)
		t.Log(callsPerNode, sent, expected)
		is.True(float64(sent) > 0.5*expected)
		is.True(float64(sent) < 1.5*expected)
	}
}

// A share of zero must hold whatever credit is left, and a stop must hold whatever share is set afterwards.
func TestSplitterSendsNothingWithoutShareOrAfterStop(t *testing.T) {
	is := is.New(t)
	s := splitter.New(splitter.Config{TargetVersion: "v2", Credit: 5})
	is.True(!s.Next())
	s.SetShare(0.5, false)
	is.True(s.Next())
	s.Stop()
	s.SetShare(1, true)
	is.True(!s.Next())
	is.True(s.Excludes("l1", 1, "v2"))
	is.True(!s.Excludes("l1", 1, "v1"))
	share, sealed := s.Share()
	is.Equal(share, 0.0)
	is.True(!sealed)
}

// A leaf that was replaced by a later process under its ID must be called although the former one has stopped.
func TestSplitterExcludesDepartedProcessOnly(t *testing.T) {
	is := is.New(t)
	s := splitter.New(splitter.Config{TargetVersion: "v2"})
	s.Depart("l1", 7)
	is.True(s.Excludes("l1", 7, "v1"))
	is.True(!s.Excludes("l1", 8, "v3"))
	is.True(!s.Excludes("l2", 7, "v1"))
}
