// Package runner makes one open-loop run. A plan and something that answers requests flow in, a report
// flows out. Each request is sent at its scheduled time whatever the earlier ones do, and its latency is
// counted from that time, so that a stall is seen by every request that it would have met.
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
	// Answerer answers one request of a class.
	Answerer interface {
		Answer(ctx context.Context, load *pb.ClassLoad, class *pb.Class) (code string, included, asked int)
	}

	// Controls reach the control ports of the stand-ins.
	Controls interface {
		Post(ctx context.Context, address, path, body string) error
		Counters(ctx context.Context, address string) (*pb.LeafCountersList, error)
	}

	// Config holds what a Runner needs.
	Config struct {
		Plan     *pb.LoadPlan
		Classes  []*pb.Class
		Answerer Answerer
		Controls Controls
		Clock    quartz.Clock
		Label    string
	}

	// Runner makes one run.
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

// Run sends the load and returns what was measured.
func (r *Runner) Run(ctx context.Context) (*pb.LoadReport, error) {
	before, err := r.counters(ctx)
	if err != nil {
		return nil, err
	}
	start := r.config.Clock.Now()
	var senders sync.WaitGroup
	for i, l := range r.config.Plan.GetClasses() {
		class := r.class(l)
		if class == nil {
			return nil, errors.Newf("class %s of service %s is not configured", l.GetClass(), l.GetService())
		}
		window := r.config.Plan.GetWindow().AsDuration()
		if window <= 0 {
			window = defaultWindow
		}
		k := recorder.New(recorder.Config{Class: class, Window: window})
		r.recorders = append(r.recorders, k)
		senders.Go(func() { r.send(ctx, start, i, class, k) })
	}
	faults := make(chan error, 1)
	go func() { faults <- r.makeFaults(ctx, start) }()
	senders.Wait()
	r.requests.Wait()
	if err := <-faults; err != nil {
		return nil, err
	}
	return r.report(ctx, before)
}

func (r *Runner) class(l *pb.ClassLoad) *pb.Class {
	for _, c := range r.config.Classes {
		if c.GetService() == l.GetService() && c.GetName() == l.GetClass() {
			return c
		}
	}
	return nil
}

// send starts each request of one class at its time.
func (r *Runner) send(ctx context.Context, start time.Time, i int, class *pb.Class, k *recorder.Recorder) {
	load := r.config.Plan.GetClasses()[i]
	times := scheduler.New(scheduler.Config{
		Steps: load.GetSteps(), Duration: r.config.Plan.GetDuration().AsDuration(),
		Seed: r.config.Plan.GetSeed() + uint64(i),
	}).Times()
	for _, at := range times {
		if !r.sleepUntil(ctx, start.Add(at)) {
			return
		}
		r.requests.Go(func() {
			code, included, asked := r.config.Answerer.Answer(ctx, load, class)
			latency := r.config.Clock.Since(start.Add(at))
			if at < r.config.Plan.GetWarmUp().AsDuration() {
				return
			}
			k.Record(recorder.Sample{Scheduled: at, Latency: latency, Code: code, Included: included, Asked: asked})
		})
	}
}

func (r *Runner) makeFaults(ctx context.Context, start time.Time) error {
	for _, f := range r.config.Plan.GetFaults() {
		if !r.sleepUntil(ctx, start.Add(f.GetAt().AsDuration())) {
			return nil
		}
		if err := r.config.Controls.Post(ctx, f.GetAddress(), f.GetPath(), f.GetBody()); err != nil {
			return errors.Wrapf(err, "make fault %s", f.GetLabel())
		}
	}
	return nil
}

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

// counters returns the sum of the counters of all leaves.
func (r *Runner) counters(ctx context.Context) (*pb.LeafCounters, error) {
	sum := &pb.LeafCounters{}
	for _, a := range r.config.Plan.GetLeafControls() {
		list, err := r.config.Controls.Counters(ctx, a)
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
	after, err := r.counters(ctx)
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
	for _, k := range r.recorders {
		report.Classes = append(report.Classes, k.Report())
		report.PartsAsked += k.Asked()
	}
	// Calls during the warm-up are counted by the leaves but not asked for in the recorders, so the
	// share is meaningful without a warm-up only.
	if report.GetPartsAsked() > 0 && r.config.Plan.GetWarmUp().AsDuration() == 0 {
		report.ExtraLoad = float64(report.GetLeafCalls())/float64(report.GetPartsAsked()) - 1
	}
	return report, nil
}
