package decider_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/decider"
	"github.com/magnoliastep/magnoliastep/internal/entry/evaluator"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// heavyTail is a distribution in which a call stays open for a further time t with probability 1/(1+t/scale),
	// whatever its age.
	heavyTail struct{ scale time.Duration }
	// neverArrives is the distribution of calls that are never answered.
	neverArrives struct{}
)

func (h heavyTail) StillOpenProbability(_, further time.Duration) float64 {
	return 1 / (1 + float64(further)/float64(h.scale))
}

func (heavyTail) ExceedsMeasured(time.Duration) bool { return false }

func (neverArrives) ExceedsMeasured(time.Duration) bool { return true }

func (neverArrives) StillOpenProbability(_, _ time.Duration) float64 { return 1 }

// stallsClass is the class of examples/treidelstall; its worth falls early.
func stallsClass() *pb.Class {
	return &pb.Class{
		Worth: 10, Lateness: durationpb.New(400 * time.Millisecond), FullWorthUntil: durationpb.New(120 * time.Millisecond),
		CoverageExponent: 1, CoverageFloor: 0.7,
	}
}

// catalogueClass is the class of examples/dikranos; it needs a high coverage.
func catalogueClass() *pb.Class {
	return &pb.Class{
		Worth: 10, Lateness: durationpb.New(2 * time.Second), FullWorthUntil: durationpb.New(1500 * time.Millisecond),
		CoverageExponent: 6, CoverageFloor: 0.9,
	}
}

func TestDeciderDecide(t *testing.T) {
	one := []decider.Pending{{OldestAge: 100 * time.Millisecond, OpenCalls: 1}}
	soon := heavyTail{20 * time.Millisecond}
	slow := heavyTail{200 * time.Millisecond}
	late := heavyTail{5 * time.Second}
	tests := []struct {
		name     string
		class    *pb.Class
		arrivals decider.Arrivals
		elapsed  time.Duration
		included int
		pending  []decider.Pending
		answers  bool
	}{
		{"complete", stallsClass(), soon, 0, 10, nil, true},
		{"waits while full worth lasts", stallsClass(), late, 100 * time.Millisecond, 9, one, false},
		{"stalls answer early", stallsClass(), late, 130 * time.Millisecond, 9, one, true},
		{"stalls wait for a part due soon", stallsClass(), soon, 130 * time.Millisecond, 9, one, false},
		{"catalogue waits", catalogueClass(), late, 130 * time.Millisecond, 9, one, false},
		{"catalogue waits while its worth falls", catalogueClass(), slow, 1550 * time.Millisecond, 9, one, false},
		{"nothing more can arrive", catalogueClass(), soon, time.Millisecond, 9, nil, true},
		{"waits below the floor", stallsClass(), late, 300 * time.Millisecond, 6, one, false},
		{"waits while empty and a part may arrive", stallsClass(), neverArrives{}, 300 * time.Millisecond, 0, one, false},
		{"time is over", catalogueClass(), soon, 1980 * time.Millisecond, 0, one, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := decider.New(decider.Config{
				Evaluator: evaluator.New(tt.class), Arrivals: tt.arrivals,
				AnswerBy: tt.class.GetLateness().AsDuration() - 20*time.Millisecond,
			})
			state := decider.State{Elapsed: tt.elapsed, Included: tt.included, Asked: 10, Pending: tt.pending}
			is.Equal(d.Decide(state) == 0, tt.answers)
		})
	}
}
