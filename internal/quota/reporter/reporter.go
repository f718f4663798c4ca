// Package reporter exchanges reports of granted requests between nodes, so that they share the quotas of client
// accounts. The limiter decides what to report and to whom; this package has the clock, the goroutines and the
// messages.
package reporter

import (
	"context"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

const (
	// sendTimeout bounds the time to connect to another node. The next report makes up for one that was not sent.
	sendTimeout = 500 * time.Millisecond
	// maxSends bounds the reports that wait for connections. Further ones are dropped.
	maxSends = 64
)

type (
	// Messenger sends a frame that has no reply.
	Messenger interface {
		Send(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) error
	}

	// Config holds what a Reporter needs.
	Config struct {
		Limiter   *limiter.Limiter
		Messenger Messenger
		// View returns what is known of the fleet.
		View func() limiter.View
		// Address returns the peer address of a node, or "" if it is not known.
		Address func(name string) string
		Clock   quartz.Clock
		// OnDrop is called for each report that was not sent; nil means no call.
		OnDrop func()
		// Isolate calls a function and returns an error if it panics; nil means that panics are not handled.
		Isolate func(f func()) error
	}

	// Reporter sends the reports that are due.
	Reporter struct {
		config Config
		// sends holds one token for each report that is being sent.
		sends chan struct{}
	}
)

// New returns a Reporter. It sends nothing until Run is called.
func New(c Config) *Reporter {
	if c.OnDrop == nil {
		c.OnDrop = func() {}
	}
	if c.Isolate == nil {
		c.Isolate = func(f func()) error { f(); return nil }
	}
	return &Reporter{config: c, sends: make(chan struct{}, maxSends)}
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, r.config.Clock, limiter.ReportPeriod) {
		r.Step(ctx)
	}
}

// Step sends the reports that are due now.
func (r *Reporter) Step(ctx context.Context) {
	if !r.config.Limiter.Active() {
		return
	}
	r.config.Limiter.SetView(r.config.View(), r.config.Clock.Now())
	r.startAll(ctx, r.config.Limiter.Reports(r.config.Clock.Now()))
}

func (r *Reporter) startAll(ctx context.Context, reports []limiter.Report) {
	for _, report := range reports {
		r.start(ctx, r.config.Address(report.To), report.Message)
	}
}

// start sends a report without waiting for the connection.
func (r *Reporter) start(ctx context.Context, address string, report *pb.QuotaReport) {
	select {
	case r.sends <- struct{}{}:
	default:
		r.config.OnDrop()
		return
	}
	go func() {
		defer func() { <-r.sends }()
		_ = r.config.Isolate(func() { r.send(ctx, address, report) })
	}()
}

func (r *Reporter) send(ctx context.Context, address string, report *pb.QuotaReport) {
	if address == "" {
		r.config.OnDrop()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_QuotaReport{QuotaReport: report}}
	if err := r.config.Messenger.Send(ctx, address, messenger.PlaneControl, frame); err != nil {
		r.config.OnDrop()
	}
}

// Receive takes in a report of another node, and confirms it if the other node waits for that.
func (r *Reporter) Receive(ctx context.Context, from string, report *pb.QuotaReport) {
	r.config.Limiter.Receive(from, report, r.config.Clock.Now())
	r.startAll(context.WithoutCancel(ctx), r.config.Limiter.Confirmations(r.config.Clock.Now()))
}
