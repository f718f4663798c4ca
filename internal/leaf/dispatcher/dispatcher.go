// Package dispatcher runs the calls to the leaves that this node owns. Batches of calls flow in from
// the entry nodes, one reply for each call flows out. Each leaf has a lane with its queue, its
// concurrency limit and its connections, so that one place decides what the leaf receives.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Owners tells which node owns a leaf.
	Owners interface {
		Owner(leaf string) *pb.Member
	}

	// LeafSender calls one leaf.
	LeafSender interface {
		Send(ctx context.Context, c sender.Call) (sender.Answer, error)
		Status(ctx context.Context) (*pb.LeafSelf, error)
		Close()
	}

	// Config holds what a Dispatcher needs.
	Config struct {
		NodeName string
		Source   ConfigSource
		Owners   Owners
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		Logger   *slog.Logger
		// NewSender connects to one leaf.
		NewSender func(l *pb.Leaf) LeafSender
		// StatusPeriod is the time between two readings of a leaf's status.
		StatusPeriod time.Duration
	}

	// Dispatcher owns the lanes of this node's leaves. It is safe for concurrent use.
	Dispatcher struct {
		config Config
		mutex  sync.Mutex
		// lanes has one lane for each leaf that was ever owned since the start.
		lanes map[string]*lane
		// cancels ends the queued and running calls by their origin and id.
		cancels map[callKey]context.CancelFunc
	}

	callKey struct {
		origin string
		id     uint64
	}
)

// New returns a Dispatcher without lanes.
func New(c Config) *Dispatcher {
	return &Dispatcher{config: c, lanes: map[string]*lane{}, cancels: map[callKey]context.CancelFunc{}}
}

// Run reads the status of owned leaves until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := d.config.Clock.NewTicker(d.config.StatusPeriod)
	defer ticker.Stop()
	for {
		d.refreshLanes(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// StartBatch starts the calls of the batch. done is called once for each call, from any goroutine.
func (d *Dispatcher) StartBatch(ctx context.Context, origin string, b *pb.LeafBatch, done func(*pb.LeafReply)) {
	deadline := d.config.Clock.Now().Add(b.GetTimeLeft().AsDuration())
	for _, c := range b.GetCalls() {
		l, code := d.ownedLane(c.GetLeaf())
		if l == nil {
			done(&pb.LeafReply{
				CallId: c.GetCallId(), Code: code, Partition: c.GetPartition(), RequestId: b.GetRequestId(),
			})
			continue
		}
		l.enqueue(d.newJob(ctx, origin, b, c, deadline, done))
	}
}

// Cancel ends calls whose replies are no longer wanted.
func (d *Dispatcher) Cancel(origin string, ids []uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range ids {
		if cancel := d.cancels[callKey{origin, id}]; cancel != nil {
			cancel()
		}
	}
}

// Submit makes one call to one leaf for a non-idempotent request. It is sent at most once.
func (d *Dispatcher) Submit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	if c.GetNotAfter() != nil && d.config.Clock.Now().After(c.GetNotAfter().AsTime()) {
		return &pb.SubmitReply{
			Code: pb.ResultCode_RESULT_CODE_NOT_RUN, RequestId: c.GetRequestId(), Message: "held up until its time was over",
		}
	}
	l, code := d.ownedLane(c.GetLeaf())
	if l == nil {
		return &pb.SubmitReply{Code: pb.ResultCode_RESULT_CODE_NOT_RUN, RequestId: c.GetRequestId(), Message: code.String()}
	}
	return l.submit(ctx, c)
}

// Statuses returns what is known of the leaves that this node owns.
func (d *Dispatcher) Statuses() []*pb.LeafStatus {
	d.mutex.Lock()
	lanes := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		lanes = append(lanes, l)
	}
	d.mutex.Unlock()
	statuses := make([]*pb.LeafStatus, 0, len(lanes))
	for _, l := range lanes {
		if d.owns(l.name) {
			statuses = append(statuses, l.status())
		}
	}
	return statuses
}

func (d *Dispatcher) owns(leaf string) bool {
	return d.config.Owners.Owner(leaf).GetName() == d.config.NodeName
}

// ownedLane returns the lane of a leaf that may take new work, or the reason why there is none.
func (d *Dispatcher) ownedLane(leaf string) (*lane, pb.ResultCode) {
	if !d.owns(leaf) {
		return nil, pb.ResultCode_RESULT_CODE_NOT_OWNER
	}
	index := d.config.Source.Index()
	entry, ok := index.Leaf(leaf)
	if !ok {
		return nil, pb.ResultCode_RESULT_CODE_NO_REPLICA
	}
	if !index.ZoneInService(entry.Leaf.GetAvailabilityZone()) {
		return nil, pb.ResultCode_RESULT_CODE_ZONE_OUT
	}
	return d.lane(entry), pb.ResultCode_RESULT_CODE_OK
}

func (d *Dispatcher) lane(entry indexer.LeafEntry) *lane {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l := d.lanes[entry.Leaf.GetName()]
	if l == nil {
		l = newLane(d, entry)
		d.lanes[entry.Leaf.GetName()] = l
	}
	return l
}

func (d *Dispatcher) newJob(
	ctx context.Context, origin string, b *pb.LeafBatch, c *pb.LeafCall, deadline time.Time, done func(*pb.LeafReply),
) *job {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	key := callKey{origin, c.GetCallId()}
	d.mutex.Lock()
	d.cancels[key] = cancel
	d.mutex.Unlock()
	finish := func(r *pb.LeafReply) {
		d.mutex.Lock()
		delete(d.cancels, key)
		d.mutex.Unlock()
		cancel()
		done(r)
	}
	return &job{
		context: ctx, batch: b, call: c, deadline: deadline, enqueuedAt: d.config.Clock.Now(), done: finish,
	}
}

// refreshLanes reads the status of each owned leaf, side by side.
func (d *Dispatcher) refreshLanes(ctx context.Context) {
	index := d.config.Source.Index()
	var readers sync.WaitGroup
	for _, s := range index.Services() {
		for _, l := range s.GetLeaves() {
			if !d.owns(l.GetName()) {
				continue
			}
			owned := d.lane(indexer.LeafEntry{Service: s, Leaf: l})
			readers.Go(func() { owned.refresh(ctx) })
		}
	}
	readers.Wait()
}

func duration(d time.Duration) *durationpb.Duration {
	return durationpb.New(d)
}
