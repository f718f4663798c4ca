// Package healer brings this node's configuration level with that of other nodes. The digest on every
// frame received flows in; where it differs, the healer sends its versions to that node and takes the
// newer objects that come back. A node without a platform gets its configuration this way.
package healer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

const (
	pullTimeout   = 2 * time.Second
	pullPause     = 50 * time.Millisecond
	queueCapacity = 64
)

type (
	// Messenger asks other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Keeper holds the configuration in force.
	Keeper interface {
		Digest() uint64
		Versions() map[string]int64
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// View finds the address of a node.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Healer needs.
	Config struct {
		Messenger Messenger
		Keeper    Keeper
		View      View
		Clock     quartz.Clock
	}

	// Healer repairs differences between nodes. It is safe for concurrent use.
	Healer struct {
		config Config
		queue  chan string
		mutex  sync.Mutex
		// queued has the names in the queue, so that each stands there once.
		queued map[string]bool
	}
)

// New returns a Healer.
func New(c Config) *Healer {
	return &Healer{config: c, queue: make(chan string, queueCapacity), queued: map[string]bool{}}
}

// Observe takes the digest that a frame from another node carried. It does not block.
func (h *Healer) Observe(from string, digest uint64) {
	if digest == h.config.Keeper.Digest() {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.queued[from] {
		return
	}
	select {
	case h.queue <- from:
		h.queued[from] = true
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
			h.pause(ctx)
		}
	}
}

func (h *Healer) pull(ctx context.Context, from string) {
	address := h.address(from)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	frame := &pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: &pb.ConfigPull{Versions: h.config.Keeper.Versions()}}}
	reply, err := h.config.Messenger.Call(ctx, address, messenger.PlaneControl, frame)
	if err != nil {
		return
	}
	h.config.Keeper.Apply(reply.GetConfigDelta().GetObjects(), 0)
}

func (h *Healer) pause(ctx context.Context) {
	timer := h.config.Clock.NewTimer(pullPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (h *Healer) address(name string) string {
	for _, m := range h.config.View.Members() {
		if m.GetName() == name {
			return m.GetPeerAddress()
		}
	}
	return ""
}
