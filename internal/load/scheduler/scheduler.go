// Package scheduler draws the send times of the requests of one class, as Poisson arrivals at the rates of the
// load plan. The times are fixed before the run, so that a slow answer delays no later request and latency can
// be counted from the scheduled time.
package scheduler

import (
	"math/rand/v2"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Config holds what a Scheduler needs.
	Config struct {
		// Steps are in ascending order of their start.
		Steps    []*pb.RateStep
		Duration time.Duration
		Seed     uint64
	}

	// Scheduler draws the times of a Poisson process whose rate changes in steps.
	Scheduler struct {
		config Config
	}
)

// New returns a Scheduler.
func New(c Config) *Scheduler {
	return &Scheduler{config: c}
}

// SendTimes returns the send times from the start of the run, in ascending order.
func (s *Scheduler) SendTimes() []time.Duration {
	random := rand.New(rand.NewPCG(s.config.Seed, 1)) //nolint:gosec // repeatable arrivals
	var times []time.Duration
	for i, step := range s.config.Steps {
		end := s.config.Duration
		if i+1 < len(s.config.Steps) {
			end = min(end, s.config.Steps[i+1].GetStart().AsDuration())
		}
		if step.GetRequestsPerSecond() <= 0 {
			continue
		}
		meanGap := float64(time.Second) / step.GetRequestsPerSecond()
		for at := step.GetStart().AsDuration(); ; {
			at += time.Duration(meanGap * random.ExpFloat64())
			if at >= end {
				break
			}
			times = append(times, at)
		}
	}
	return times
}
