// Package dispatcher runs the calls to the leaves that this node owns. Batches of calls flow in from
// the entry nodes, one reply for each call flows out. Each leaf has a lane with its queue, its
// concurrency limit and its connections, so that one place decides what the leaf receives. Calls to a
// leaf that another node owns are passed on once.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
	"github.com/magnoliastep/magnoliastep/internal/view/tenant"
)

const (
	defaultMaxWaiting = 16384
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Ranks tells in which order nodes would own a leaf.
	Ranks interface {
		Ranked(leaf string) []*pb.Member
		// OwnedBy returns the leaves that the node is first for.
		OwnedBy(node string) []string
		// Share returns which part of the nodes that may call the leaf this node sees.
		Share(leaf string) divider.Share
	}

	// Tenure decides whether this node may dispatch to a leaf.
	Tenure interface {
		Until(leaf string) (time.Time, bool)
		Holder(leaf string) string
		Tick(first []string, configured func(leaf string) bool) ([]tenant.Request, []tenant.Move)
		HandleRequest(from string, r *pb.TenureRequest) (*pb.TenureReply, []string)
		HandleReply(q tenant.Request, r *pb.TenureReply)
		HandleHandover(from, leaf string)
		Leave()
	}

	// Peers carries control messages to other nodes.
	Peers interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Forwarder takes calls to other owners.
	Forwarder interface {
		NextCallID() uint64
		StartBatch(ctx context.Context, owner *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply))
		Cancel(ctx context.Context, owner *pb.Member, ids []uint64)
		Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error)
	}

	// VMs tells which VMs the platform is about to take away.
	VMs interface {
		LeavingVM(ip string) bool
	}

	// LeafSender calls one leaf.
	LeafSender interface {
		Send(ctx context.Context, c sender.Call) (sender.Answer, error)
		Status(ctx context.Context) (*pb.LeafSelf, error)
		// Warm opens about count connections, one each pace.
		Warm(ctx context.Context, count int, pace time.Duration)
		// Opened returns how many connections were opened.
		Opened() uint64
		Close()
	}

	// Config holds what a Dispatcher needs.
	Config struct {
		NodeName  string
		Source    ConfigSource
		Ranks     Ranks
		Tenure    Tenure
		Peers     Peers
		Forwarder Forwarder
		// VMs may be nil.
		VMs      VMs
		Clock    quartz.Clock
		Asserter *asserter.Asserter
		Logger   *slog.Logger
		Metrics  *metrics.Set
		// NewSender connects to one leaf.
		NewSender func(l *pb.Leaf) LeafSender
		// StatusPeriod is the time between two readings of a leaf's status.
		StatusPeriod time.Duration
		// TenurePeriod is the time between two renewals of tenures.
		TenurePeriod time.Duration
		// MaxWaiting bounds the calls that wait in all queues; beyond it batches are not taken from their
		// streams. Zero means 16384.
		MaxWaiting int
	}

	// Dispatcher owns the lanes of this node's leaves. It is safe for concurrent use.
	Dispatcher struct {
		config Config
		// room has one token for each call that waits.
		room  chan struct{}
		mutex sync.Mutex
		// lanes has one lane for each configured leaf that was owned since the start.
		lanes map[string]*lane
		// cancels ends the queued and running calls by their origin and id.
		cancels map[callKey]context.CancelFunc
		// kick makes the tenure loop run at once.
		kick chan struct{}
		// handovers are under way to other nodes.
		handovers sync.WaitGroup
	}

	callKey struct {
		origin string
		id     uint64
	}
)

// New returns a Dispatcher without lanes.
func New(c Config) *Dispatcher {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	return &Dispatcher{
		config: c, room: make(chan struct{}, c.MaxWaiting), lanes: map[string]*lane{},
		cancels: map[callKey]context.CancelFunc{}, kick: make(chan struct{}, 1),
	}
}

// Run renews tenures and reads the status of owned leaves until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.runTenure(ctx) })
	loops.Go(func() { d.runStatus(ctx) })
	loops.Wait()
}

// StartBatch starts the calls of the batch. done is called once for each call, from any goroutine. While
// too many calls wait it blocks a batch of another node, so that no more are read from its stream.
func (d *Dispatcher) StartBatch(ctx context.Context, origin string, b *pb.LeafBatch, done func(*pb.LeafReply)) {
	now := d.config.Clock.Now()
	deadline := now.Add(b.GetTimeLeft().AsDuration())
	full := deadline.Add(-b.GetTimeLeft().AsDuration() / 2)
	if b.GetFullWorthLeft() != nil {
		full = now.Add(b.GetFullWorthLeft().AsDuration())
	}
	for _, c := range b.GetCalls() {
		j := d.searchJob(ctx, origin, b, c, done)
		j.deadline, j.fullWorthUntil, j.enqueuedAt = deadline, full, now
		if origin == d.config.NodeName && len(d.room) == cap(d.room) {
			go d.start(j) // the caller's own request is bounded at the entry
			continue
		}
		d.start(j)
	}
}

// Cancel ends calls whose replies are no longer wanted.
func (d *Dispatcher) Cancel(origin string, ids []uint64) {
	for _, id := range ids {
		d.mutex.Lock()
		cancel := d.cancels[callKey{origin, id}]
		d.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	}
}

// Submit makes one call to one leaf for a non-idempotent request. It is sent at most once.
func (d *Dispatcher) Submit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	replies := make(chan *pb.SubmitReply, 1)
	j := d.submitJob(ctx, c, func(r *pb.SubmitReply) { replies <- r })
	j.enqueuedAt = d.config.Clock.Now()
	j.deadline = j.enqueuedAt.Add(c.GetTimeLeft().AsDuration())
	j.fullWorthUntil = j.deadline
	if c.GetNotAfter() != nil {
		j.notAfter = c.GetNotAfter().AsTime()
	}
	if j.heldUp(j.enqueuedAt) {
		return submitReply(c, heldUpOutcome())
	}
	d.start(j)
	return <-replies
}

// Statuses returns what is known of the leaves that this node owns.
func (d *Dispatcher) Statuses() []*pb.LeafStatus {
	var statuses []*pb.LeafStatus
	for _, l := range d.allLanes() {
		if d.first(l.name) || d.holds(l.name) {
			statuses = append(statuses, l.status())
		}
	}
	return statuses
}

// start queues the job at its leaf, passes it on to the owner, or finishes it with the reason why not.
func (d *Dispatcher) start(j *job) {
	index := d.config.Source.Index()
	entry, ok := index.Leaf(j.leaf)
	if !ok {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_NO_REPLICA})
		return
	}
	if !index.ZoneInService(entry.Leaf.GetAvailabilityZone()) {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_ZONE_OUT})
		return
	}
	if owner := d.otherOwner(j.leaf); owner != nil {
		d.passOn(j, owner)
		return
	}
	if !d.first(j.leaf) && !d.holds(j.leaf) {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_NOT_OWNER})
		return
	}
	if !d.waitForRoom(j) {
		j.finish(outcome{code: d.unsentCode(j)})
		return
	}
	d.lane(entry).enqueue(j)
}

func (d *Dispatcher) passOn(j *job, owner *pb.Member) {
	if j.passOn == nil {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_NOT_OWNER})
		return
	}
	j.passOn(owner)
}

// otherOwner returns the node that work for the leaf should go to, or nil when that is this one.
func (d *Dispatcher) otherOwner(leaf string) *pb.Member {
	if d.holds(leaf) {
		return nil
	}
	ranked := d.config.Ranks.Ranked(leaf)
	holder := d.config.Tenure.Holder(leaf)
	for i, m := range ranked {
		if m.GetName() == d.config.NodeName {
			continue
		}
		if i == 0 || m.GetName() == holder {
			return m
		}
	}
	return nil
}

func (d *Dispatcher) holds(leaf string) bool {
	_, ok := d.config.Tenure.Until(leaf)
	return ok
}

func (d *Dispatcher) first(leaf string) bool {
	ranked := d.config.Ranks.Ranked(leaf)
	return len(ranked) > 0 && ranked[0].GetName() == d.config.NodeName
}

// waitForRoom takes a token. It returns false when the job's time is over first.
func (d *Dispatcher) waitForRoom(j *job) bool {
	select {
	case d.room <- struct{}{}:
		return true
	default:
	}
	timer := d.config.Clock.NewTimer(d.config.Clock.Until(j.deadline))
	defer timer.Stop()
	select {
	case d.room <- struct{}{}:
		return true
	case <-j.context.Done():
	case <-timer.C:
	}
	return false
}

// unsentCode says why a job that was never sent ended.
func (d *Dispatcher) unsentCode(j *job) pb.ResultCode {
	if j.context.Err() != nil && d.config.Clock.Now().Before(j.deadline) {
		return pb.ResultCode_RESULT_CODE_CANCELLED
	}
	return pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE
}

// lane returns the lane of the leaf, in step with its configuration.
func (d *Dispatcher) lane(entry indexer.LeafEntry) *lane {
	d.mutex.Lock()
	l := d.lanes[entry.Leaf.GetName()]
	if l == nil {
		l = newLane(d, entry.Leaf)
		d.lanes[entry.Leaf.GetName()] = l
	}
	d.mutex.Unlock()
	l.configure(entry.Leaf)
	return l
}

func (d *Dispatcher) allLanes() []*lane {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	lanes := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// runStatus reads the status of each owned leaf, side by side.
func (d *Dispatcher) runStatus(ctx context.Context) {
	ticker := d.config.Clock.NewTicker(d.config.StatusPeriod)
	defer ticker.Stop()
	for {
		var readers sync.WaitGroup
		for _, l := range d.ownedLanes() {
			readers.Go(func() { l.refresh(ctx) })
		}
		readers.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ownedLanes returns a lane for each configured leaf that this node owns.
func (d *Dispatcher) ownedLanes() []*lane {
	var owned []*lane
	for _, s := range d.config.Source.Index().Services() {
		for _, l := range s.GetLeaves() {
			if d.first(l.GetName()) || d.holds(l.GetName()) {
				owned = append(owned, d.lane(indexer.LeafEntry{Service: s, Leaf: l}))
			}
		}
	}
	return owned
}
