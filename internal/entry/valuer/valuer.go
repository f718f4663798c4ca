// Package valuer says what an answer of a class is worth. The time since the request came and the
// coverage flow in, the worth flows out: full until full_worth_until, then falling linearly to zero at
// the lateness, times the coverage to the class's power, and nothing below the coverage floor.
package valuer

import (
	"math"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Valuer is the worth of the answers of one class.
	Valuer struct {
		worth    float64
		full     time.Duration
		lateness time.Duration
		exponent float64
		floor    float64
	}
)

// New returns the Valuer of the class.
func New(c *pb.Class) *Valuer {
	return &Valuer{
		worth: c.GetWorth(), full: c.GetFullWorthUntil().AsDuration(), lateness: c.GetLateness().AsDuration(),
		exponent: c.GetCoverageExponent(), floor: c.GetCoverageFloor(),
	}
}

// FullWorthUntil returns the time until which waiting costs nothing.
func (v *Valuer) FullWorthUntil() time.Duration { return v.full }

// Worth returns the worth of an answer after elapsed with the coverage, 0 to 1.
func (v *Valuer) Worth(elapsed time.Duration, coverage float64) float64 {
	return v.worth * v.Time(elapsed) * v.Coverage(coverage)
}

// Time returns the share of the worth that is left after elapsed.
func (v *Valuer) Time(elapsed time.Duration) float64 {
	switch {
	case elapsed >= v.lateness:
		return 0
	case elapsed <= v.full || v.lateness <= v.full:
		return 1
	}
	return float64(v.lateness-elapsed) / float64(v.lateness-v.full)
}

// Coverage returns the share of the worth that an answer with the coverage has.
func (v *Valuer) Coverage(c float64) float64 {
	switch {
	case c <= 0 || c < v.floor:
		return 0
	case c >= 1:
		return 1
	}
	return math.Pow(c, v.exponent)
}
