package tallier_test

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

func class() *pb.Class {
	return &pb.Class{Name: "c", Service: "s", Lateness: durationpb.New(time.Second), CoverageFloor: 0.7}
}

func TestClassMissesFloor(t *testing.T) {
	cases := map[string]struct {
		took        time.Duration
		coverage    float64
		count       int
		missesFloor bool
	}{
		"good answers":    {0, 1, 100, false},
		"at the floor":    {0, 0.7, 100, false},
		"under the floor": {0, 0.6, 100, true},
		"too late":        {1001 * time.Millisecond, 1, 100, true},
		"too few answers": {0, 0, 9, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			counter := tallier.New(tallier.Config{Clock: clock})
			var ends []func(float64)
			for range c.count {
				end, _ := counter.Begin(class())
				ends = append(ends, end)
			}
			is.Equal(counter.Demand("s", "c").InProgress, uint32(c.count))
			clock.Advance(c.took).MustWait(context.Background())
			for _, end := range ends {
				end(c.coverage)
			}
			is.Equal(counter.Demand("s", "c").InProgress, uint32(0))
			is.Equal(counter.MissesFloor("s", "c"), c.missesFloor)
			clock.Advance(6 * time.Second).MustWait(context.Background())
			is.Equal(counter.Demand("s", "c"), tallier.Demand{}) // the window has passed
		})
	}
}

func TestTallierCountsNoMissForRejectedRequest(t *testing.T) {
	is := is.New(t)
	counter := tallier.New(tallier.Config{Clock: quartz.NewMock(t)})
	for range 100 {
		_, cancel := counter.Begin(class())
		cancel()
	}
	is.Equal(counter.Demand("s", "c"), tallier.Demand{})
}
