// Package healer brings this node's configuration level with that of other nodes. The digest on every
// frame received flows in; where it differs, the healer asks that node for what is newer than the
// revision up to which this node has everything, and takes the objects that come back. Only when that
// does not make the two level are the exact versions of all objects compared, and that rarely, because
// it costs as much as there are objects. A node without a platform gets its configuration this way.
package healer

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
	maxRemembered = 4096
	// exactAfter pulls in a row without effect are followed by a comparison of exact versions.
	exactAfter = 3
	exactGap   = 30 * time.Second
)

type (
	// Messenger asks other nodes.
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

	// View finds the address of a node.
	View interface {
		Address(name string) string
	}

	// Config holds what a Healer needs.
	Config struct {
		Messenger Messenger
		Keeper    Keeper
		View      View
		Clock     quartz.Clock
		// RepairPeriod is the shortest time between two pulls from a node while nothing has changed.
		RepairPeriod time.Duration
		// Metrics takes the healer's metrics; nil means none.
		Metrics *metrics.Set
	}

	// Healer repairs differences between nodes. It is safe for concurrent use.
	Healer struct {
		config Config
		queue  chan string
		pulls  *metrics.Counter
		exact  *metrics.Counter
		mutex  sync.Mutex
		// queued has the names in the queue, so that each stands there once.
		queued map[string]bool
		// tried has the last pull from each node; it is emptied when it grows too large.
		tried map[string]attempt
		// fruitless counts pulls in a row that brought nothing.
		fruitless int
		exactAt   time.Time
	}

	// attempt is a pull with the digests that caused it.
	attempt struct {
		theirs, ours uint64
		at           time.Time
	}
)

// New returns a Healer.
func New(c Config) *Healer {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Healer{
		config: c, queue: make(chan string, queueCapacity),
		queued: map[string]bool{}, tried: map[string]attempt{},
		pulls: c.Metrics.NewCounter("magnoliastep_config_repairs_total"),
		exact: c.Metrics.NewCounter("magnoliastep_config_exact_repairs_total"),
	}
}

// Observe takes the digest that a frame from another node carried. It does not block.
func (h *Healer) Observe(from string, digest uint64) {
	ours := h.config.Keeper.Digest()
	if digest == ours {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock.Now()
	last := h.tried[from]
	same := last.theirs == digest && last.ours == ours && now.Sub(last.at) < h.config.RepairPeriod
	if same || h.queued[from] {
		return
	}
	select {
	case h.queue <- from:
		h.queued[from] = true
		if len(h.tried) > maxRemembered {
			clear(h.tried)
		}
		h.tried[from] = attempt{theirs: digest, ours: ours, at: now}
	default:
	}
}

// Run pulls from nodes with other digests until the context ends.
func (h *Healer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-h.queue:
			h.mutex.Lock()
			delete(h.queued, from)
			h.mutex.Unlock()
			h.pull(ctx, from)
			sleeper.Sleep(ctx, h.config.Clock, pullPause)
		}
	}
}

func (h *Healer) pull(ctx context.Context, from string) {
	address := h.config.View.Address(from)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	h.pulls.Inc()
	reply, err := h.config.Messenger.Call(ctx, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: h.question()}})
	if err != nil {
		return
	}
	taken := h.config.Keeper.Apply(reply.GetConfigDelta().GetObjects(), reply.GetConfigDelta().GetCompleteTo())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(taken) > 0 || reply.GetConfigDigest() == h.config.Keeper.Digest() {
		h.fruitless = 0
		return
	}
	h.fruitless++
}

// question asks by revision, or by exact versions when revisions did not help.
func (h *Healer) question() *pb.ConfigPull {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock.Now()
	if h.fruitless < exactAfter || now.Sub(h.exactAt) < exactGap {
		return &pb.ConfigPull{AfterVersion: h.config.Keeper.CompleteTo()}
	}
	h.fruitless = 0
	h.exactAt = now
	h.exact.Inc()
	return &pb.ConfigPull{Versions: h.config.Keeper.Versions()}
}
