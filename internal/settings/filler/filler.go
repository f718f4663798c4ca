// Package filler sets the settings that a file leaves out to their defaults.
package filler

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	defaultMaxRequestBytes    = 64 << 10 // 64 KiB
	defaultMaxLeafAnswerBytes = 1 << 20  // 1 MiB
	defaultMaxInProgress      = 4096

	defaultProbePeriod      = 500 * time.Millisecond
	defaultProbeTimeout     = 300 * time.Millisecond
	defaultSuspicionPeriod  = 2 * time.Second
	defaultEntriesKeepFor   = 5 * time.Second
	defaultStopDeadline     = 30 * time.Second
	defaultTenure           = 1500 * time.Millisecond
	defaultListPeriod       = 5 * time.Second
	defaultRepairPeriod     = 2 * time.Second
	defaultLeafStatusPeriod = 500 * time.Millisecond
)

// Fill sets every missing limit and timing, and the log level, to its default.
func Fill(s *pb.NodeSettings) {
	if s.GetCallerLimits() == nil {
		s.CallerLimits = &pb.CallerLimits{}
	}
	if s.GetTimings() == nil {
		s.Timings = &pb.Timings{}
	}
	if s.GetLogLevel() == "" {
		s.LogLevel = "info"
	}
	fillLimits(s.GetCallerLimits())
	fillTimings(s.GetTimings())
}

func fillLimits(l *pb.CallerLimits) {
	fillCount(&l.MaxRequestBytes, defaultMaxRequestBytes)
	fillCount(&l.MaxLeafAnswerBytes, defaultMaxLeafAnswerBytes)
	fillCount(&l.MaxInProgress, defaultMaxInProgress)
}

func fillTimings(t *pb.Timings) {
	fillDuration(&t.ProbePeriod, defaultProbePeriod)
	fillDuration(&t.ProbeTimeout, defaultProbeTimeout)
	fillDuration(&t.SuspicionPeriod, defaultSuspicionPeriod)
	fillDuration(&t.EntriesKeepFor, defaultEntriesKeepFor)
	fillDuration(&t.StopDeadline, defaultStopDeadline)
	fillDuration(&t.Tenure, defaultTenure)
	fillDuration(&t.ListPeriod, defaultListPeriod)
	fillDuration(&t.RepairPeriod, defaultRepairPeriod)
	fillDuration(&t.LeafStatusPeriod, defaultLeafStatusPeriod)
}

func fillCount(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}

func fillDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}
