package answerer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/answerer"
	"github.com/magnoliastep/magnoliastep/internal/entry/valuer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// constantRate is an exponential distribution with the mean.
	constantRate struct{ mean time.Duration }
	// never is a call that never ends.
	never struct{}
)

func (c constantRate) Remaining(_, further time.Duration) float64 {
	return 1 / (1 + float64(further)/float64(c.mean))
}

func (constantRate) Beyond(time.Duration) bool { return false }

func (never) Beyond(time.Duration) bool { return true }

func (never) Remaining(_, _ time.Duration) float64 { return 1 }

// The two classes are those of examples/treidelstall and examples/dikranos.
func stalls() *pb.Class {
	return &pb.Class{
		Worth: 10, Lateness: durationpb.New(400 * time.Millisecond), FullWorthUntil: durationpb.New(120 * time.Millisecond),
		CoverageExponent: 1, CoverageFloor: 0.7,
	}
}

func catalogue() *pb.Class {
	return &pb.Class{
		Worth: 10, Lateness: durationpb.New(2 * time.Second), FullWorthUntil: durationpb.New(1500 * time.Millisecond),
		CoverageExponent: 6, CoverageFloor: 0.9,
	}
}

func TestDecide(t *testing.T) {
	one := []answerer.Pending{{Oldest: 100 * time.Millisecond, Calls: 1}}
	soon := constantRate{20 * time.Millisecond}
	slow := constantRate{200 * time.Millisecond}
	late := constantRate{5 * time.Second}
	tests := []struct {
		name     string
		class    *pb.Class
		arrivals answerer.Arrivals
		elapsed  time.Duration
		included int
		pending  []answerer.Pending
		answers  bool
	}{
		{"complete", stalls(), soon, 0, 10, nil, true},
		{"full worth lasts", stalls(), late, 100 * time.Millisecond, 9, one, false},
		{"skippers answer early", stalls(), late, 130 * time.Millisecond, 9, one, true},
		{"skippers wait for what is near", stalls(), soon, 130 * time.Millisecond, 9, one, false},
		{"catalogue waits", catalogue(), late, 130 * time.Millisecond, 9, one, false},
		{"catalogue waits while its worth falls", catalogue(), slow, 1550 * time.Millisecond, 9, one, false},
		{"nothing more can arrive", catalogue(), soon, time.Millisecond, 9, nil, true},
		{"below the floor", stalls(), late, 300 * time.Millisecond, 6, one, false},
		{"empty while a part may come", stalls(), never{}, 300 * time.Millisecond, 0, one, false},
		{"time is over", catalogue(), soon, 1980 * time.Millisecond, 0, one, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := answerer.New(answerer.Config{
				Valuer: valuer.New(tt.class), Arrivals: tt.arrivals,
				AnswerBy: tt.class.GetLateness().AsDuration() - 20*time.Millisecond,
			})
			state := answerer.State{Elapsed: tt.elapsed, Included: tt.included, Asked: 10, Pending: tt.pending}
			is.Equal(a.Decide(state) == 0, tt.answers)
		})
	}
}
