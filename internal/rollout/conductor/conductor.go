// Package conductor conducts the roll-outs of software versions that the platform's store orders. Every node counts the
// answers of the leaves by version and sends its counts to the two nodes that rank first for the service. These sum
// them, judge the new version and answer with the share of requests that it may get; the first of them writes the
// status of the roll-out, with the order's revision as its condition.
//
// It answers this load: many nodes of which each sees only a few answers of the new version, and which may be killed,
// frozen or cut off at any time. Stopping needs no agreement: a node that learns that the version is bad sends nothing
// to it from then on. Counts are sums since the start of their node, so that a successor has all of them after one
// report of each node. A node that gets no answer sends nothing to the new version, unless it has left the other
// versions already.
package conductor

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/rollout/judge"
	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// The states of a roll-out, as its status names them.
const (
	// StateNone means that the order has no status yet.
	StateNone State = iota
	// StateRunning means that the roll-out has begun.
	StateRunning
	// StateCompleted means that all requests go to the new version. The leaves of others stop.
	StateCompleted
	// StateReverted means that no request goes to the new version. Its leaves stop.
	StateReverted
)

// ErrConflict is returned by a Store if the order has another revision than expected.
var ErrConflict = errors.New("roll-out: order has another revision")

type (
	// State is the state of a roll-out.
	State int

	// Order is an order to roll out a version of a service, with its status.
	Order struct {
		Service       string
		TargetVersion string
		// Duration is the time within which a good version must have been completed, above 0.
		Duration time.Duration
		// CreatedAt is when the order was written, in the store's time; zero if that is not known.
		CreatedAt time.Time
		// Revision is that of the last change of the order or its status.
		Revision int64
		// State is StateNone if the status is missing or belongs to another version.
		State State
	}

	// Store writes the status of orders.
	Store interface {
		// WriteRolloutStatus replaces the status if the order has its revision. It returns ErrConflict if it
		// has another.
		WriteRolloutStatus(ctx context.Context, o Order, s State) error
	}

	// Leaves are the leaves of all services.
	Leaves interface {
		SetSplit(service string, s balancer.Split)
		CountVersions(service string, s balancer.Split, now time.Time) balancer.VersionCounts
		Entries(service string) []balancer.Entry
	}

	// Messenger carries frames to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Fleet is the view of the live nodes.
	Fleet interface {
		// Members returns the nodes that may serve, this one included.
		Members() []*pb.Member
		// Leading returns the first members in the order in which they own a key.
		Leading(key string, count int) []*pb.Member
		// Known reports whether the view can be trusted to be complete.
		Known() bool
	}

	// Config holds what a Conductor needs.
	Config struct {
		NodeName  string
		Store     Store
		Leaves    Leaves
		Messenger Messenger
		Fleet     Fleet
		// Bounds returns the limits of what a bad version may get.
		Bounds func() planner.Bounds
		// Random returns random numbers from 0 to 1.
		Random  func() float64
		Clock   quartz.Clock
		Logger  *slog.Logger
		Metrics *metrics.Set
	}

	// Conductor conducts all roll-outs. It is safe for concurrent use.
	Conductor struct {
		config Config
		// epoch identifies this start of the process in reports.
		epoch int64
		// active is the number of orders whose answers are counted.
		active atomic.Int32
		mutex  sync.Mutex
		// rollouts has the roll-out of each service that has an order.
		rollouts map[string]*rollout
		// largestFleet is the largest number of members in the last fleetMemory.
		largestFleet   int
		largestFleetAt time.Time
	}

	// Answer is an answer of a leaf.
	Answer struct {
		Route string
		Leaf  balancer.Entry
		// Cold is set if the leaf was cold.
		Cold bool
		// Failed is set for a failure, and also if the connection was lost.
		Failed bool
		Took   time.Duration
	}
)

// New returns a Conductor without orders.
func New(c Config) *Conductor {
	n := &Conductor{config: c, epoch: c.Clock.Now().UnixNano(), rollouts: map[string]*rollout{}}
	c.Metrics.NewGauge("stepfront_rollouts_active", func() float64 { return float64(n.active.Load()) })
	c.Metrics.NewCounter(decisionCounter("stop"))
	return n
}

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"none", "running", "completed", "reverted"}[s]
}

// SetOrder takes an order that is new, or that or whose status has changed.
func (c *Conductor) SetOrder(o Order) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.rollouts[o.Service]
	isNew := r == nil || r.id != identityOf(o)
	if isNew {
		r = c.begin(o, r)
	}
	// The revision may be smaller than before if the store has come back from an older copy.
	if r.order.Revision != o.Revision {
		r.order.Revision, r.writeAfter = o.Revision, time.Time{}
	}
	r.stored = o.State
	if r.isFinal() || o.State == StateNone {
		return
	}
	c.enter(r, o.State, isNew)
}

// RemoveOrder forgets the order of a service. Its leaves are used regardless of their version again.
func (c *Conductor) RemoveOrder(service string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.rollouts[service]
	if r == nil {
		return
	}
	c.config.Logger.Info("roll-out order removed", "service", service, "version", r.order.TargetVersion, "state",
		r.order.State)
	c.end(r)
	delete(c.rollouts, service)
	c.config.Leaves.SetSplit(service, nil)
	c.config.Metrics.UnregisterMetric(shareGauge(service))
}

// Active reports whether answers are to be passed to Observe.
func (c *Conductor) Active() bool { return c.active.Load() > 0 }

// Observe counts an answer of a leaf.
func (c *Conductor) Observe(a Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.rollouts[a.Leaf.Service]
	if r == nil || r.isFinal() {
		return
	}
	source := judge.Source{Route: a.Route}
	if r.splitter.IsTarget(a.Leaf.Version) {
		source.Leaf, source.Cold = a.Leaf.ID, a.Cold
	}
	counts := r.counts[source]
	if counts == nil {
		counts = &judge.Counts{}
		r.counts[source] = counts
	}
	if a.Failed {
		counts.Failures++
	} else {
		counts.Latencies[judge.BucketOf(a.Took)]++
	}
}

// begin starts to conduct an order. previous is the roll-out that it replaces, or nil.
func (c *Conductor) begin(o Order, previous *rollout) *rollout {
	if previous != nil {
		c.end(previous)
	}
	r := newRollout(o, c.config, c.config.Clock.Now())
	c.rollouts[o.Service] = r
	c.active.Add(1)
	c.config.Leaves.SetSplit(o.Service, r.splitter)
	c.config.Logger.Info("roll-out ordered", "service", o.Service, "version", o.TargetVersion, "duration", o.Duration,
		"revision", o.Revision, "state", o.State, "replaces", previous != nil)
	return r
}

// end stops counting the answers of a roll-out.
func (c *Conductor) end(r *rollout) {
	if !r.isFinal() {
		c.active.Add(-1)
	}
}

// enter takes a state from the status. atOnce is set if the order was already in this state when it became known.
func (c *Conductor) enter(r *rollout, s State, atOnce bool) {
	if r.order.State == s {
		return
	}
	before := r.order.State
	r.order.State = s
	if r.isFinal() {
		c.active.Add(-1)
	}
	switch s {
	case StateCompleted:
		// Leaves of other versions that are there when the order is first seen may have been started long after
		// it.
		if atOnce {
			c.config.Leaves.SetSplit(r.order.Service, nil)
			break
		}
		c.departOthers(r)
		c.setShare(r, 1, false)
		c.config.Leaves.SetSplit(r.order.Service, r.departed())
	case StateReverted:
		r.splitter.Stop()
		c.setShare(r, 0, false)
		c.config.Leaves.SetSplit(r.order.Service, r.splitter)
	}
	c.config.Logger.Info("roll-out state", "service", r.order.Service, "version", r.order.TargetVersion, "state", s,
		"before", before, "age", r.age(c.config.Clock.Now()), "revision", r.order.Revision)
}

// departOthers makes the processes of other versions that are known now get no further calls.
func (c *Conductor) departOthers(r *rollout) {
	for _, e := range c.config.Leaves.Entries(r.order.Service) {
		if !r.splitter.IsTarget(e.Version) {
			r.splitter.Depart(e.ID, e.Incarnation)
		}
	}
}
