// Package scheduler draws when the requests of one class are to be sent. Rate steps and a seed flow in,
// ascending send times flow out; they are fixed before the run, so that a slow answer delays no later
// request and the latency can be counted from the scheduled time.
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

// Times returns the send times from the start of the run.
func (s *Scheduler) Times() []time.Duration {
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
		gap := float64(time.Second) / step.GetRequestsPerSecond()
		for at := step.GetStart().AsDuration(); ; {
			at += time.Duration(gap * random.ExpFloat64())
			if at >= end {
				break
			}
			times = append(times, at)
		}
	}
	return times
}
