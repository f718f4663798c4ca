// Package dispatcher sends calls to the leaves that this node owns. It takes batches of calls from entry
// nodes and returns one reply for each call. A leafDispatcher holds the queue, the concurrency limit and
// the connections of one leaf, so that a single place decides what the leaf receives. A call to a leaf
// that another node owns is forwarded to the owner, at most once.
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
	"github.com/magnoliastep/magnoliastep/internal/view/leaser"
)

const (
	defaultMaxQueuedCalls = 16384
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// OwnerRanking returns the order in which nodes take ownership of a leaf.
	OwnerRanking interface {
		Ranked(leaf string) []*pb.Member
		// OwnedBy returns the leaves for which the node ranks first.
		OwnedBy(node string) []string
		// Share returns the part of the nodes that may call the leaf which is in this node's view.
		Share(leaf string) divider.Share
	}

	// Tenure decides whether this node may dispatch to a leaf.
	Tenure interface {
		TenureEnd(leaf string) (time.Time, bool)
		Holder(leaf string) string
		Tick(rankedFirst []string, configured func(leaf string) bool) ([]leaser.Request, []leaser.Handover)
		HandleRequest(from string, r *pb.TenureRequest) (*pb.TenureReply, []string)
		HandleReply(q leaser.Request, r *pb.TenureReply)
		HandleHandover(from, leaf string)
		Leave()
	}

	// Peers sends control messages to other nodes.
	Peers interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Forwarder sends calls to the nodes that own their leaves.
	Forwarder interface {
		NextCallID() uint64
		StartBatch(ctx context.Context, owner *pb.Member, b *pb.LeafBatch, deliver func(*pb.LeafReply))
		Cancel(ctx context.Context, owner *pb.Member, ids []uint64)
		Submit(ctx context.Context, owner *pb.Member, c *pb.SubmitCall) (*pb.SubmitReply, error)
	}

	// LeavingVMs reports whether the platform is about to remove a VM.
	LeavingVMs interface {
		LeavingVM(ip string) bool
	}

	// LeafSender calls one leaf.
	LeafSender interface {
		Send(ctx context.Context, c sender.Call) (sender.Answer, error)
		Status(ctx context.Context) (*pb.LeafSelf, error)
		// OpenConnections opens about count connections, one per interval.
		OpenConnections(ctx context.Context, count int, interval time.Duration)
		// ConnectionsOpened returns the number of connections opened so far.
		ConnectionsOpened() uint64
		Close()
	}

	// Config holds the settings and dependencies of a Dispatcher.
	Config struct {
		NodeName     string
		Source       ConfigSource
		OwnerRanking OwnerRanking
		Tenure       Tenure
		Peers        Peers
		Forwarder    Forwarder
		// LeavingVMs may be nil; then no VM counts as leaving.
		LeavingVMs LeavingVMs
		Clock      quartz.Clock
		Asserter   *asserter.Asserter
		Logger     *slog.Logger
		Metrics    *metrics.Set
		// NewSender returns a sender for one leaf.
		NewSender func(l *pb.Leaf) LeafSender
		// StatusPeriod is the interval at which the status of each owned leaf is read.
		StatusPeriod time.Duration
		// TenurePeriod is the interval at which tenures are renewed.
		TenurePeriod time.Duration
		// MaxQueuedCalls is the maximum number of calls in all queues together; at the limit no further batches
		// are read from the streams of other nodes. Zero means 16384.
		MaxQueuedCalls int
	}

	// Dispatcher sends calls to the leaves that this node owns. It is safe for concurrent use.
	Dispatcher struct {
		config Config
		// waitTokens holds one token for each queued call; its capacity is MaxQueuedCalls.
		waitTokens chan struct{}
		mutex      sync.Mutex
		// leafDispatchers has an entry, by leaf name, for each configured leaf that was owned since the start.
		leafDispatchers map[string]*leafDispatcher
		// cancels has the cancel function of each queued or running call, by origin node and call id.
		cancels map[callKey]context.CancelFunc
		// tenureWake triggers an immediate run of the tenure loop.
		tenureWake chan struct{}
		// handovers counts the handovers to other nodes that are in progress.
		handovers sync.WaitGroup
	}

	callKey struct {
		origin string
		id     uint64
	}
)

// New returns a Dispatcher that has no leaves yet.
func New(c Config) *Dispatcher {
	if c.MaxQueuedCalls == 0 {
		c.MaxQueuedCalls = defaultMaxQueuedCalls
	}
	return &Dispatcher{
		config: c, waitTokens: make(chan struct{}, c.MaxQueuedCalls), leafDispatchers: map[string]*leafDispatcher{},
		cancels: map[callKey]context.CancelFunc{}, tenureWake: make(chan struct{}, 1),
	}
}

// Run renews tenures and reads the status of owned leaves until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.runTenureLoop(ctx) })
	loops.Go(func() { d.runStatusLoop(ctx) })
	loops.Wait()
}

// StartBatch starts the calls of the batch. done is called once for each call, from any goroutine. While
// MaxQueuedCalls calls are queued, StartBatch blocks for a batch from another node, so that no further
// batches are read from that node's stream.
func (d *Dispatcher) StartBatch(ctx context.Context, origin string, b *pb.LeafBatch, done func(*pb.LeafReply)) {
	now := d.config.Clock.Now()
	deadline := now.Add(b.GetTimeLeft().AsDuration())
	fullWorthUntil := deadline.Add(-b.GetTimeLeft().AsDuration() / 2)
	if b.GetFullWorthLeft() != nil {
		fullWorthUntil = now.Add(b.GetFullWorthLeft().AsDuration())
	}
	for _, c := range b.GetCalls() {
		j := d.searchJob(ctx, origin, b, c, done)
		j.deadline, j.fullWorthUntil, j.enqueuedAt = deadline, fullWorthUntil, now
		if origin == d.config.NodeName && len(d.waitTokens) == cap(d.waitTokens) {
			go d.startJob(j) // the entry part of this node already limits its requests in progress
			continue
		}
		d.startJob(j)
	}
}

// Cancel cancels calls whose replies are no longer needed.
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

// Submit makes one call to one leaf for a non-idempotent request. The call is sent at most once.
func (d *Dispatcher) Submit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	replies := make(chan *pb.SubmitReply, 1)
	j := d.submitJob(ctx, c, func(r *pb.SubmitReply) { replies <- r })
	j.enqueuedAt = d.config.Clock.Now()
	j.deadline = j.enqueuedAt.Add(c.GetTimeLeft().AsDuration())
	j.fullWorthUntil = j.deadline
	if c.GetNotAfter() != nil {
		j.notAfter = c.GetNotAfter().AsTime()
	}
	if j.pastNotAfter(j.enqueuedAt) {
		return submitReply(c, pastNotAfterOutcome())
	}
	d.startJob(j)
	return <-replies
}

// Statuses returns the status of each leaf that this node owns.
func (d *Dispatcher) Statuses() []*pb.LeafStatus {
	var statuses []*pb.LeafStatus
	for _, l := range d.allLeafDispatchers() {
		if d.ranksFirst(l.name) || d.holdsTenure(l.name) {
			statuses = append(statuses, l.status())
		}
	}
	return statuses
}

// startJob queues the job for its leaf, forwards it to the owner, or finishes it with the code that says why
// neither is possible.
func (d *Dispatcher) startJob(j *job) {
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
		d.forward(j, owner)
		return
	}
	if !d.ranksFirst(j.leaf) && !d.holdsTenure(j.leaf) {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_NOT_OWNER})
		return
	}
	if !d.acquireWaitToken(j) {
		j.finish(outcome{code: d.unsentCode(j)})
		return
	}
	d.leafDispatcher(entry).enqueue(j)
}

func (d *Dispatcher) forward(j *job, owner *pb.Member) {
	if j.forward == nil {
		j.finish(outcome{code: pb.ResultCode_RESULT_CODE_NOT_OWNER})
		return
	}
	j.forward(owner)
}

// otherOwner returns the node to which calls for the leaf are to be forwarded, or nil when this node handles
// them.
func (d *Dispatcher) otherOwner(leaf string) *pb.Member {
	if d.holdsTenure(leaf) {
		return nil
	}
	ranked := d.config.OwnerRanking.Ranked(leaf)
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

func (d *Dispatcher) holdsTenure(leaf string) bool {
	_, ok := d.config.Tenure.TenureEnd(leaf)
	return ok
}

func (d *Dispatcher) ranksFirst(leaf string) bool {
	ranked := d.config.OwnerRanking.Ranked(leaf)
	return len(ranked) > 0 && ranked[0].GetName() == d.config.NodeName
}

// acquireWaitToken takes a token for a queued call. It returns false when the job is cancelled or its deadline
// passes first.
func (d *Dispatcher) acquireWaitToken(j *job) bool {
	select {
	case d.waitTokens <- struct{}{}:
		return true
	default:
	}
	timer := d.config.Clock.NewTimer(d.config.Clock.Until(j.deadline))
	defer timer.Stop()
	select {
	case d.waitTokens <- struct{}{}:
		return true
	case <-j.context.Done():
	case <-timer.C:
	}
	return false
}

// unsentCode returns the result code of a job that ended without being sent.
func (d *Dispatcher) unsentCode(j *job) pb.ResultCode {
	if j.context.Err() != nil && d.config.Clock.Now().Before(j.deadline) {
		return pb.ResultCode_RESULT_CODE_CANCELLED
	}
	return pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE
}

// leafDispatcher returns the dispatcher of the leaf with its current configuration; it creates one if needed.
func (d *Dispatcher) leafDispatcher(entry indexer.LeafEntry) *leafDispatcher {
	d.mutex.Lock()
	l := d.leafDispatchers[entry.Leaf.GetName()]
	if l == nil {
		l = newLeafDispatcher(d, entry.Leaf)
		d.leafDispatchers[entry.Leaf.GetName()] = l
	}
	d.mutex.Unlock()
	l.configure(entry.Leaf)
	return l
}

func (d *Dispatcher) allLeafDispatchers() []*leafDispatcher {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	leafDispatchers := make([]*leafDispatcher, 0, len(d.leafDispatchers))
	for _, l := range d.leafDispatchers {
		leafDispatchers = append(leafDispatchers, l)
	}
	return leafDispatchers
}

// runStatusLoop periodically reads the status of all owned leaves concurrently.
func (d *Dispatcher) runStatusLoop(ctx context.Context) {
	ticker := d.config.Clock.NewTicker(d.config.StatusPeriod)
	defer ticker.Stop()
	for {
		var readers sync.WaitGroup
		for _, l := range d.ownedLeafDispatchers() {
			readers.Go(func() { l.readStatus(ctx) })
		}
		readers.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ownedLeafDispatchers returns the dispatcher of each configured leaf that this node owns.
func (d *Dispatcher) ownedLeafDispatchers() []*leafDispatcher {
	var owned []*leafDispatcher
	for _, s := range d.config.Source.Index().Services() {
		for _, l := range s.GetLeaves() {
			if d.ranksFirst(l.GetName()) || d.holdsTenure(l.GetName()) {
				owned = append(owned, d.leafDispatcher(indexer.LeafEntry{Service: s, Leaf: l}))
			}
		}
	}
	return owned
}
