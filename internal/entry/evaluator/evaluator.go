// Package evaluator computes the worth of an answer of a class from the time since the request arrived and from
// the coverage. The worth is full until full_worth_until, then falls linearly to zero at the lateness. It is
// multiplied by the coverage raised to the class's exponent, and is zero below the coverage floor.
package evaluator

import (
	"math"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Evaluator computes the worth of the answers of one class.
	Evaluator struct {
		worth          float64
		fullWorthUntil time.Duration
		lateness       time.Duration
		exponent       float64
		floor          float64
	}
)

// New returns the Evaluator of the class.
func New(c *pb.Class) *Evaluator {
	return &Evaluator{
		worth: c.GetWorth(), fullWorthUntil: c.GetFullWorthUntil().AsDuration(), lateness: c.GetLateness().AsDuration(),
		exponent: c.GetCoverageExponent(), floor: c.GetCoverageFloor(),
	}
}

// FullWorthUntil returns the time since arrival until which an answer keeps its full worth.
func (e *Evaluator) FullWorthUntil() time.Duration { return e.fullWorthUntil }

// Worth returns the worth of an answer given after elapsed with the coverage, which is from 0 to 1.
func (e *Evaluator) Worth(elapsed time.Duration, coverage float64) float64 {
	return e.worth * e.TimeFactor(elapsed) * e.CoverageFactor(coverage)
}

// TimeFactor returns the share of the worth that is left after elapsed, from 0 to 1.
func (e *Evaluator) TimeFactor(elapsed time.Duration) float64 {
	switch {
	case elapsed >= e.lateness:
		return 0
	case elapsed <= e.fullWorthUntil || e.lateness <= e.fullWorthUntil:
		return 1
	}
	return float64(e.lateness-elapsed) / float64(e.lateness-e.fullWorthUntil)
}

// CoverageFactor returns the share of the worth that an answer with the coverage has, from 0 to 1.
func (e *Evaluator) CoverageFactor(coverage float64) float64 {
	switch {
	case coverage <= 0 || coverage < e.floor:
		return 0
	case coverage >= 1:
		return 1
	}
	return math.Pow(coverage, e.exponent)
}
