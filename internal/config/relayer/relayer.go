// Package relayer spreads the configuration from the few nodes that watch the platform to all others.
// The live view flows in and decides, by rendezvous hashing, which two nodes of each availability zone
// are relays. Every other node keeps one waiting pull open at a relay of its zone; the objects that the
// relay takes flow out with the answer. What a relay misses is repaired by the healer.
package relayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	relaysPerZone = 2
	keyPrefix     = "config-relay/"

	pullWait    = 10 * time.Second
	pullGrace   = 2 * time.Second
	maxWait     = 30 * time.Second
	idlePause   = 250 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	emptyPause  = time.Second
	settlePause = time.Second
)

type (
	// Messenger asks relays.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
		Joined() bool
	}

	// Keeper holds the configuration in force.
	Keeper interface {
		Digest() uint64
		CompleteTo() int64
		After(revision int64) []*pb.ConfigObject
		NewerThan(versions map[string]int64) []*pb.ConfigObject
		Changed() <-chan struct{}
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// LeavingVMs knows which VMs are about to go.
	LeavingVMs interface {
		Digest() uint64
		Leaving() *pb.LeavingVMs
		Learn(m *pb.LeavingVMs)
	}

	// Config holds what a Relayer needs.
	Config struct {
		NodeName         string
		AvailabilityZone string
		Messenger        Messenger
		View             View
		Keeper           Keeper
		LeavingVMs       LeavingVMs
		Clock            quartz.Clock
		Logger           *slog.Logger
		Random           *rand.Rand
		// Metrics takes the relayer's metrics; nil means none.
		Metrics *metrics.Set
	}

	// Relayer passes the configuration on. It is safe for concurrent use.
	Relayer struct {
		config Config
		// settledAt ends the time in which a node that knows nobody looks for others first.
		settledAt time.Time
	}
)

// New returns a Relayer.
func New(c Config) *Relayer {
	settle := settlePause + time.Duration(c.Random.Int64N(int64(settlePause)))
	r := &Relayer{config: c, settledAt: c.Clock.Now().Add(settle)}
	if c.Metrics != nil {
		c.Metrics.NewGauge("magnoliastep_config_relay", func() float64 {
			if r.IsRelay() {
				return 1
			}
			return 0
		})
		c.Metrics.NewGauge("magnoliastep_config_complete_to", func() float64 { return float64(c.Keeper.CompleteTo()) })
	}
	return r
}

// IsRelay tells whether this node is to watch the platform now. A node that has found no other node after
// a short while relays for itself.
func (r *Relayer) IsRelay() bool {
	if !r.config.View.Joined() {
		return r.config.Clock.Now().After(r.settledAt)
	}
	for _, m := range r.relays() {
		if m.GetName() == r.config.NodeName {
			return true
		}
	}
	return false
}

// Run keeps a waiting pull open at a relay until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		relays := r.relays()
		if len(relays) == 0 || r.IsRelay() {
			sleeper.Sleep(ctx, r.config.Clock, idlePause)
			continue
		}
		taken, err := r.pull(ctx, relays[failures%len(relays)])
		switch {
		case err != nil:
			failures++
			sleeper.Sleep(ctx, r.config.Clock, retryPause+time.Duration(r.config.Random.Int64N(int64(retryPause))))
		case taken == 0:
			sleeper.Sleep(ctx, r.config.Clock, r.jitter(emptyPause))
		}
	}
}

// HandlePull answers a pull at once when something is newer here, and after the asked wait otherwise.
// The digest is that of the asking node.
func (r *Relayer) HandlePull(ctx context.Context, p *pb.ConfigPull, digest uint64) *pb.ConfigDelta {
	if len(p.GetVersions()) > 0 || p.GetEverything() {
		return &pb.ConfigDelta{
			Objects: r.config.Keeper.NewerThan(p.GetVersions()), CompleteTo: r.config.Keeper.CompleteTo(),
		}
	}
	timer := r.config.Clock.NewTimer(min(p.GetWait().AsDuration(), maxWait))
	defer timer.Stop()
	for {
		changed := r.config.Keeper.Changed()
		delta := r.delta(p)
		news := (len(delta.GetObjects()) > 0 && digest != r.config.Keeper.Digest()) || delta.GetLeavingVms() != nil
		if news || p.GetWait().AsDuration() <= 0 {
			return delta
		}
		select {
		case <-changed:
		case <-timer.C:
			return delta
		case <-ctx.Done():
			return delta
		}
	}
}

// delta reads the complete revision first: objects that come in between are only sent too often.
func (r *Relayer) delta(p *pb.ConfigPull) *pb.ConfigDelta {
	delta := &pb.ConfigDelta{CompleteTo: r.config.Keeper.CompleteTo()}
	delta.Objects = r.config.Keeper.After(p.GetAfterVersion())
	if r.config.LeavingVMs.Digest() != p.GetLeavingDigest() {
		delta.LeavingVms = r.config.LeavingVMs.Leaving()
	}
	return delta
}

func (r *Relayer) pull(ctx context.Context, relay *pb.Member) (taken int, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+pullGrace)
	defer cancel()
	startedAt := r.config.Clock.Now()
	p := &pb.ConfigPull{
		AfterVersion:  r.config.Keeper.CompleteTo(),
		Wait:          durationpb.New(r.jitter(pullWait)),
		LeavingDigest: r.config.LeavingVMs.Digest(),
	}
	reply, err := r.config.Messenger.Call(ctx, relay.GetPeerAddress(), messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_ConfigPull{ConfigPull: p}})
	if err != nil {
		return 0, err
	}
	delta := reply.GetConfigDelta()
	r.config.LeavingVMs.Learn(delta.GetLeavingVms())
	taken = len(r.config.Keeper.Apply(delta.GetObjects(), delta.GetCompleteTo()))
	if r.config.Clock.Since(startedAt) > emptyPause {
		return max(1, taken), nil // a wait that ended without news is no reason to pause
	}
	return taken, nil
}

// relays returns the relays of this node's zone, the one preferred by this node first.
func (r *Relayer) relays() []*pb.Member {
	var zone []*pb.Member
	for _, m := range r.config.View.Members() {
		if m.GetAvailabilityZone() == r.config.AvailabilityZone {
			zone = append(zone, m)
		}
	}
	ranked := ranker.Rank(ranker.Key{Name: keyPrefix + r.config.AvailabilityZone}, zone)
	relays := ranked[:min(relaysPerZone, len(ranked))]
	if len(relays) < relaysPerZone {
		return relays
	}
	// Half of the zone's nodes prefer the one relay, half the other.
	return ranker.Rank(ranker.Key{Name: keyPrefix + r.config.NodeName}, relays)
}

func (r *Relayer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.config.Random.Int64N(int64(d/2)))
}
