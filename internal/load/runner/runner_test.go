package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/runner"
)

// serialServer answers one request at a time; its first answer takes one second.
type serialServer struct {
	// semaphore admits one request; unlike a wait for a mutex, a wait for it lets virtual time advance.
	semaphore chan struct{}
	calls     int
}

func (s *serialServer) SendRequest(context.Context, *pb.ClassLoad, *pb.Class) (string, int, int) {
	s.semaphore <- struct{}{}
	defer func() { <-s.semaphore }()
	s.calls++
	if s.calls == 1 {
		time.Sleep(time.Second)
	}
	return pb.ResultCode_RESULT_CODE_OK.String(), 1, 1
}

// TestRunnerCountsStallInLatencyOfEveryDueRequest guards against coordinated omission: with a closed loop, or
// latency counted from the actual send time, only one of the requests that were due during a stall is slow.
func TestRunnerCountsStallInLatencyOfEveryDueRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		plan := &pb.LoadPlan{
			Duration: durationpb.New(2 * time.Second), Seed: 1, Classes: []*pb.ClassLoad{{
				Service: "s", Class: "c", Steps: []*pb.RateStep{{RequestsPerSecond: 100}},
			}},
		}
		class := &pb.Class{
			Name: "c", Service: "s", Worth: 1, CoverageExponent: 1,
			FullWorthUntil: durationpb.New(time.Second / 2), Lateness: durationpb.New(time.Second),
		}
		report, err := runner.New(runner.Config{
			Plan: plan, Classes: []*pb.Class{class}, Clock: quartz.NewReal(),
			Sender: &serialServer{semaphore: make(chan struct{}, 1)},
		}).Run(t.Context())
		i.NoErr(err)
		c := report.GetClasses()[0]
		slow := 0.5 * float64(c.GetSent()) // the stall covers half of the run
		i.True(c.GetLatency().GetP90Ms() > 700)
		i.True(c.GetWorthShare() < 1-0.25*slow/float64(c.GetSent()))
		i.True(c.GetWindows()[0].GetP50Ms() > 300)
		i.True(c.GetWindows()[1].GetP50Ms() < 300)
	})
}
