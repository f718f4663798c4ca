package server

import "github.com/magnoliastep/magnoliastep/internal/forward/matcher"

// weightedRoundRobin selects the targets of a route by smooth weighted round-robin: each selection adds each target's
// weight to its credit, then selects the target with the most credit and subtracts the total weight from it. This
// spreads the selections of a target evenly.
type weightedRoundRobin struct {
	targets []matcher.Target
	credits []float64
	// totalWeight is the sum of the targets' weights.
	totalWeight float64
}

// newWeightedRoundRobin returns a weightedRoundRobin whose start position is given by offset, 0 to 1, so that nodes do
// not all start with the same target.
func newWeightedRoundRobin(targets []matcher.Target, offset float64) *weightedRoundRobin {
	w := &weightedRoundRobin{targets: targets, credits: make([]float64, len(targets))}
	for _, target := range targets {
		w.totalWeight += target.Weight
	}
	if w.totalWeight > 0 && len(targets) > 0 {
		w.credits[0] = (offset - 0.5) * w.totalWeight
	}
	return w
}

// hasTargets reports whether the targets and their weights are equal to those given.
func (w *weightedRoundRobin) hasTargets(targets []matcher.Target) bool {
	if len(targets) != len(w.targets) {
		return false
	}
	for i := range targets {
		if targets[i] != w.targets[i] {
			return false
		}
	}
	return true
}

// next returns the service of the next target.
func (w *weightedRoundRobin) next() string {
	best := -1
	for i, target := range w.targets {
		if target.Weight <= 0 {
			continue
		}
		w.credits[i] += target.Weight
		if best < 0 || w.credits[i] > w.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return w.targets[0].Service
	}
	w.credits[best] -= w.totalWeight
	return w.targets[best].Service
}
