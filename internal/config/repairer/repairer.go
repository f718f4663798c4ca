// Package repairer repairs differences between this node's configuration and that of other nodes. Every
// frame from another node carries the digest of that node's configuration. If the digest differs from
// the local one, the repairer pulls from that node the objects that are newer than the revision up to
// which this node is complete, and applies them. If several such pulls have no effect, it compares the
// exact versions of all objects instead; it does so rarely, because the cost grows with the number of
// objects. A node that cannot reach the platform gets its configuration this way.
package repairer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	pullTimeout   = 2 * time.Second
	pullPause     = 50 * time.Millisecond
	queueCapacity = 64
	maxLastPulls  = 4096
	// exactPullThreshold is the number of consecutive pulls without effect after which exact versions are compared.
	exactPullThreshold   = 3
	minExactPullInterval = 30 * time.Second
)

type (
	// Messenger sends requests to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Keeper holds the configuration in force.
	Keeper interface {
		Digest() uint64
		CompleteTo() int64
		Versions() map[string]int64
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// View returns the address of a node.
	View interface {
		Address(name string) string
	}

	// Config configures a Repairer.
	Config struct {
		Messenger Messenger
		Keeper    Keeper
		View      View
		Clock     quartz.Clock
		// RepairPeriod is the minimum time between two pulls from a node while both digests stay the same.
		RepairPeriod time.Duration
		// Metrics is the set in which the repairer registers its metrics. If it is nil, they are not exported.
		Metrics *metrics.Set
	}

	// Repairer repairs differences between nodes. It is safe for concurrent use.
	Repairer struct {
		config       Config
		queue        chan string
		repairs      *metrics.Counter
		exactRepairs *metrics.Counter
		mutex        sync.Mutex
		// queued is the set of the node names in the queue, so that each name is queued at most once.
		queued map[string]bool
		// lastPulls maps a node name to the last pull from it. It is cleared when it has more than
		// maxLastPulls entries.
		lastPulls map[string]pullRecord
		// ineffectivePulls counts consecutive pulls that left the digests different and applied no object.
		ineffectivePulls int
		exactPullAt      time.Time
	}

	// pullRecord records a pull and the digests that caused it.
	pullRecord struct {
		remoteDigest, localDigest uint64
		queuedAt                  time.Time
	}
)

// New returns a Repairer.
func New(c Config) *Repairer {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Repairer{
		config: c, queue: make(chan string, queueCapacity),
		queued: map[string]bool{}, lastPulls: map[string]pullRecord{},
		repairs:      c.Metrics.NewCounter("magnoliastep_config_repairs_total"),
		exactRepairs: c.Metrics.NewCounter("magnoliastep_config_exact_repairs_total"),
	}
}

// ObserveDigest compares the digest in a frame from another node with the local one and queues a pull if they
// differ. It does not block.
func (r *Repairer) ObserveDigest(from string, digest uint64) {
	localDigest := r.config.Keeper.Digest()
	if digest == localDigest {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.Clock.Now()
	last := r.lastPulls[from]
	unchanged := last.remoteDigest == digest && last.localDigest == localDigest &&
		now.Sub(last.queuedAt) < r.config.RepairPeriod
	if unchanged || r.queued[from] {
		return
	}
	select {
	case r.queue <- from:
		r.queued[from] = true
		if len(r.lastPulls) > maxLastPulls {
			clear(r.lastPulls)
		}
		r.lastPulls[from] = pullRecord{remoteDigest: digest, localDigest: localDigest, queuedAt: now}
	default:
	}
}

// Run pulls from the queued nodes until the context ends.
func (r *Repairer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-r.queue:
			r.mutex.Lock()
			delete(r.queued, from)
			r.mutex.Unlock()
			r.pull(ctx, from)
			sleeper.Sleep(ctx, r.config.Clock, pullPause)
		}
	}
}

func (r *Repairer) pull(ctx context.Context, from string) {
	address := r.config.View.Address(from)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	r.repairs.Inc()
	reply, err := r.config.Messenger.Call(ctx, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: r.newPullRequest()}})
	if err != nil {
		return
	}
	applied := r.config.Keeper.Apply(reply.GetConfigDelta().GetObjects(), reply.GetConfigDelta().GetCompleteTo())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(applied) > 0 || reply.GetConfigDigest() == r.config.Keeper.Digest() {
		r.ineffectivePulls = 0
		return
	}
	r.ineffectivePulls++
}

// newPullRequest returns a request by revision, or by exact versions if several pulls by revision had no
// effect.
func (r *Repairer) newPullRequest() *pb.ConfigPull {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.Clock.Now()
	if r.ineffectivePulls < exactPullThreshold || now.Sub(r.exactPullAt) < minExactPullInterval {
		return &pb.ConfigPull{AfterVersion: r.config.Keeper.CompleteTo()}
	}
	r.ineffectivePulls = 0
	r.exactPullAt = now
	r.exactRepairs.Inc()
	return &pb.ConfigPull{Versions: r.config.Keeper.Versions()}
}
