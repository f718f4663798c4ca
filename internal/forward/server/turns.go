package server

import "github.com/magnoliastep/magnoliastep/internal/forward/matcher"

// turns gives the targets of a route their turns by weight, evenly mixed: each turn adds its weight to the
// credit of each target, and the one with the most credit pays for the turn.
type turns struct {
	targets []matcher.Target
	credit  []float64
	total   float64
}

// newTurns begins at a place given by offset, 0 to 1, so that nodes do not all begin with the same target.
func newTurns(targets []matcher.Target, offset float64) *turns {
	t := &turns{targets: targets, credit: make([]float64, len(targets))}
	for _, target := range targets {
		t.total += target.Weight
	}
	if t.total > 0 && len(targets) > 0 {
		t.credit[0] = (offset - 0.5) * t.total
	}
	return t
}

func (t *turns) same(targets []matcher.Target) bool {
	if len(targets) != len(t.targets) {
		return false
	}
	for i := range targets {
		if targets[i] != t.targets[i] {
			return false
		}
	}
	return true
}

func (t *turns) next() string {
	best := -1
	for i, target := range t.targets {
		if target.Weight <= 0 {
			continue
		}
		t.credit[i] += target.Weight
		if best < 0 || t.credit[i] > t.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return t.targets[0].Service
	}
	t.credit[best] -= t.total
	return t.targets[best].Service
}
