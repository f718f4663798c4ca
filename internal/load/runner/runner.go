// Package runner executes one open-loop load run from a plan and reports on it. Each request is sent at its
// scheduled time, whether or not earlier ones have been answered, and its latency is counted from that time.
// A stall thus shows in the latency of every request that was due during it.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/recorder"
	"github.com/magnoliastep/magnoliastep/internal/load/scheduler"
)

const (
	defaultWindow = time.Second
)

type (
	// RequestSender sends one request of a class. It returns the result code, the number of parts in the answer and
	// the number of parts asked for.
	RequestSender interface {
		SendRequest(ctx context.Context, load *pb.ClassLoad, class *pb.Class) (code string, included, asked int)
	}

	// ControlClient calls the control ports of the fakes.
	ControlClient interface {
		Post(ctx context.Context, address, path, body string) error
		Counters(ctx context.Context, address string) (*pb.LeafCountersList, error)
	}

	// Config holds what a Runner needs.
	Config struct {
		Plan          *pb.LoadPlan
		Classes       []*pb.Class
		Sender        RequestSender
		ControlClient ControlClient
		Clock         quartz.Clock
		Label         string
	}

	// Runner executes one load run.
	Runner struct {
		config    Config
		recorders []*recorder.Recorder
		requests  sync.WaitGroup
	}
)

// New returns a Runner.
func New(c Config) *Runner {
	return &Runner{config: c}
}

// Run sends the load, injects the planned faults and returns the report.
func (r *Runner) Run(ctx context.Context) (*pb.LoadReport, error) {
	before, err := r.sumCounters(ctx)
	if err != nil {
		return nil, err
	}
	start := r.config.Clock.Now()
	var senders sync.WaitGroup
	for i, l := range r.config.Plan.GetClasses() {
		class := r.findClass(l)
		if class == nil {
			return nil, errors.Newf("class %s of service %s is not configured", l.GetClass(), l.GetService())
		}
		window := r.config.Plan.GetWindow().AsDuration()
		if window <= 0 {
			window = defaultWindow
		}
		classRecorder := recorder.New(recorder.Config{Class: class, Window: window})
		r.recorders = append(r.recorders, classRecorder)
		senders.Go(func() { r.sendClassLoad(ctx, start, i, class, classRecorder) })
	}
	faultErrors := make(chan error, 1)
	go func() { faultErrors <- r.injectFaults(ctx, start) }()
	senders.Wait()
	r.requests.Wait()
	if err := <-faultErrors; err != nil {
		return nil, err
	}
	return r.report(ctx, before)
}

func (r *Runner) findClass(l *pb.ClassLoad) *pb.Class {
	for _, c := range r.config.Classes {
		if c.GetService() == l.GetService() && c.GetName() == l.GetClass() {
			return c
		}
	}
	return nil
}

// sendClassLoad sends each request of one class at its scheduled time. Requests of the warm-up are not recorded.
func (r *Runner) sendClassLoad(
	ctx context.Context, start time.Time, index int, class *pb.Class, classRecorder *recorder.Recorder,
) {
	load := r.config.Plan.GetClasses()[index]
	times := scheduler.New(scheduler.Config{
		Steps: load.GetSteps(), Duration: r.config.Plan.GetDuration().AsDuration(),
		Seed: r.config.Plan.GetSeed() + uint64(index),
	}).SendTimes()
	for _, at := range times {
		if !r.sleepUntil(ctx, start.Add(at)) {
			return
		}
		r.requests.Go(func() {
			code, included, asked := r.config.Sender.SendRequest(ctx, load, class)
			latency := r.config.Clock.Since(start.Add(at))
			if at < r.config.Plan.GetWarmUp().AsDuration() {
				return
			}
			classRecorder.Record(recorder.Sample{
				Scheduled: at, Latency: latency, Code: code, PartsIncluded: included, PartsAsked: asked,
			})
		})
	}
}

// injectFaults posts each planned fault to its control port at its time.
func (r *Runner) injectFaults(ctx context.Context, start time.Time) error {
	for _, f := range r.config.Plan.GetFaults() {
		if !r.sleepUntil(ctx, start.Add(f.GetAt().AsDuration())) {
			return nil
		}
		if err := r.config.ControlClient.Post(ctx, f.GetAddress(), f.GetPath(), f.GetBody()); err != nil {
			return errors.Wrapf(err, "inject fault %s", f.GetLabel())
		}
	}
	return nil
}

// sleepUntil returns false when the context ends before the time.
func (r *Runner) sleepUntil(ctx context.Context, at time.Time) bool {
	d := r.config.Clock.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := r.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sumCounters returns the sum of the counters of all leaves; for the peak in flight while cold, the maximum.
func (r *Runner) sumCounters(ctx context.Context) (*pb.LeafCounters, error) {
	sum := &pb.LeafCounters{}
	for _, a := range r.config.Plan.GetLeafControls() {
		list, err := r.config.ControlClient.Counters(ctx, a)
		if err != nil {
			return nil, err
		}
		for _, c := range list.GetLeaves() {
			sum.Calls += c.GetCalls()
			sum.Cancelled += c.GetCancelled()
			sum.Shed += c.GetShed()
			sum.FailedCold += c.GetFailedCold()
			sum.PeakInFlightCold = max(sum.GetPeakInFlightCold(), c.GetPeakInFlightCold())
		}
	}
	return sum, nil
}

func (r *Runner) report(ctx context.Context, before *pb.LeafCounters) (*pb.LoadReport, error) {
	after, err := r.sumCounters(ctx)
	if err != nil {
		return nil, err
	}
	report := &pb.LoadReport{
		Label:            r.config.Label,
		LeafCalls:        after.GetCalls() - before.GetCalls(),
		LeafCancelled:    after.GetCancelled() - before.GetCancelled(),
		LeafShed:         after.GetShed() - before.GetShed(),
		LeafFailedCold:   after.GetFailedCold() - before.GetFailedCold(),
		PeakInFlightCold: after.GetPeakInFlightCold(),
		Faults:           r.config.Plan.GetFaults(),
	}
	for _, c := range r.recorders {
		report.Classes = append(report.Classes, c.Report())
		report.PartsAsked += c.PartsAsked()
	}
	// The leaves count calls of the warm-up but the recorders do not, so the share is meaningful only
	// without a warm-up.
	if report.GetPartsAsked() > 0 && r.config.Plan.GetWarmUp().AsDuration() == 0 {
		report.ExtraLoad = float64(report.GetLeafCalls())/float64(report.GetPartsAsked()) - 1
	}
	return report, nil
}
