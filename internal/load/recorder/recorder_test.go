package recorder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/recorder"
)

func TestWorthByLatencyAndCoverage(t *testing.T) {
	class := &pb.Class{
		Worth: 8, CoverageExponent: 2, CoverageFloor: 0.5,
		FullWorthUntil: durationpb.New(time.Second), Lateness: durationpb.New(3 * time.Second),
	}
	cases := map[string]struct {
		latency  time.Duration
		coverage float64
		worth    float64
	}{
		"whole and early":  {time.Second, 1, 8},
		"whole, half late": {2 * time.Second, 1, 4},
		"too late":         {3 * time.Second, 1, 0},
		"half covered":     {0, 0.5, 2},
		"below the floor":  {0, 0.4, 0},
		"no coverage":      {0, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(recorder.Worth(class, c.latency, c.coverage), c.worth)
		})
	}
}

func TestReportIncludesEverySample(t *testing.T) {
	i := is.New(t)
	class := &pb.Class{Worth: 1, CoverageExponent: 1, Lateness: durationpb.New(time.Second)}
	r := recorder.New(recorder.Config{Class: class, Window: time.Second})
	r.Record(recorder.Sample{
		Scheduled: 0, Latency: time.Millisecond, Code: "RESULT_CODE_OK", PartsIncluded: 2, PartsAsked: 2,
	})
	r.Record(recorder.Sample{Scheduled: 2 * time.Second, Latency: time.Hour, Code: recorder.CodeTransport})
	report := r.Report()
	i.Equal(report.GetSent(), uint64(2))
	i.Equal(report.GetWholeShare(), 0.5)
	i.Equal(report.GetMeanCoverage(), 0.5)
	i.Equal(len(report.GetWindows()), 3)
	i.Equal(report.GetWindows()[1].GetAnswers(), uint64(0))
	i.Equal(r.PartsAsked(), uint64(2))
}
