// Package relayer distributes the configuration from the few nodes that watch the platform to all others.
// Rendezvous hashing over the live nodes selects two relays in each availability zone; only these watch the
// platform. Every other node keeps one long-polling pull open at a relay of its zone, which answers with
// the new objects when it applies any. The repairer repairs what a relay misses.
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
	// rankKeyPrefix keeps the ranking of relays independent of other rankings of the same nodes.
	rankKeyPrefix = "config-relay/"

	// pullWait is the maximum time that a pull asks a relay to wait for changes; pullGrace is added for the
	// call's timeout.
	pullWait         = 10 * time.Second
	pullGrace        = 2 * time.Second
	maxPullWait      = 30 * time.Second
	idlePause        = 250 * time.Millisecond
	retryPause       = 100 * time.Millisecond
	emptyPullPause   = time.Second
	minDiscoveryTime = time.Second
)

type (
	// Messenger sends requests to relays.
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
		ObjectsAfter(revision int64) []*pb.ConfigObject
		NewerThan(versions map[string]int64) []*pb.ConfigObject
		Changed() <-chan struct{}
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// LeavingVMs holds the list of VMs that the platform is about to remove.
	LeavingVMs interface {
		Digest() uint64
		Leaving() *pb.LeavingVMs
		MergeLeaving(m *pb.LeavingVMs)
	}

	// Config configures a Relayer.
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
		// Metrics is the set in which the relayer registers its metrics; nil means none.
		Metrics *metrics.Set
	}

	// Relayer pulls the configuration from relays and answers the pulls of other nodes. It is safe for
	// concurrent use.
	Relayer struct {
		config Config
		// discoveryEndsAt is when a node that has found no other node stops waiting for one and becomes its
		// own relay.
		discoveryEndsAt time.Time
	}
)

// New returns a Relayer.
func New(c Config) *Relayer {
	discoveryTime := minDiscoveryTime + time.Duration(c.Random.Int64N(int64(minDiscoveryTime)))
	r := &Relayer{config: c, discoveryEndsAt: c.Clock.Now().Add(discoveryTime)}
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

// IsRelay reports whether this node should watch the platform now. A node that has found no other node
// within one to two seconds after its start is its own relay.
func (r *Relayer) IsRelay() bool {
	if !r.config.View.Joined() {
		return r.config.Clock.Now().After(r.discoveryEndsAt)
	}
	for _, m := range r.relays() {
		if m.GetName() == r.config.NodeName {
			return true
		}
	}
	return false
}

// Run keeps a long-polling pull open at a relay until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		relays := r.relays()
		if len(relays) == 0 || r.IsRelay() {
			sleeper.Sleep(ctx, r.config.Clock, idlePause)
			continue
		}
		applied, err := r.pull(ctx, relays[failures%len(relays)])
		switch {
		case err != nil:
			failures++
			sleeper.Sleep(ctx, r.config.Clock, retryPause+time.Duration(r.config.Random.Int64N(int64(retryPause))))
		case applied == 0:
			sleeper.Sleep(ctx, r.config.Clock, r.jitter(emptyPullPause))
		}
	}
}

// HandlePull answers a pull at once if this node has newer data, and otherwise when it gets newer data or
// the requested wait ends. The digest is that of the requesting node's configuration.
func (r *Relayer) HandlePull(ctx context.Context, p *pb.ConfigPull, digest uint64) *pb.ConfigDelta {
	if len(p.GetVersions()) > 0 || p.GetEverything() {
		return &pb.ConfigDelta{
			Objects: r.config.Keeper.NewerThan(p.GetVersions()), CompleteTo: r.config.Keeper.CompleteTo(),
		}
	}
	timer := r.config.Clock.NewTimer(min(p.GetWait().AsDuration(), maxPullWait))
	defer timer.Stop()
	for {
		changed := r.config.Keeper.Changed()
		delta := r.newDelta(p)
		hasChanges := (len(delta.GetObjects()) > 0 && digest != r.config.Keeper.Digest()) || delta.GetLeavingVms() != nil
		if hasChanges || p.GetWait().AsDuration() <= 0 {
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

// newDelta reads the complete revision before the objects. An object that arrives between the two reads is
// then sent twice at worst; in the other order it could be missed.
func (r *Relayer) newDelta(p *pb.ConfigPull) *pb.ConfigDelta {
	delta := &pb.ConfigDelta{CompleteTo: r.config.Keeper.CompleteTo()}
	delta.Objects = r.config.Keeper.ObjectsAfter(p.GetAfterVersion())
	if r.config.LeavingVMs.Digest() != p.GetLeavingDigest() {
		delta.LeavingVms = r.config.LeavingVMs.Leaving()
	}
	return delta
}

func (r *Relayer) pull(ctx context.Context, relay *pb.Member) (applied int, err error) {
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
	r.config.LeavingVMs.MergeLeaving(delta.GetLeavingVms())
	applied = len(r.config.Keeper.Apply(delta.GetObjects(), delta.GetCompleteTo()))
	if r.config.Clock.Since(startedAt) > emptyPullPause {
		return max(1, applied), nil // the relay did wait, so Run needs no pause before the next pull
	}
	return applied, nil
}

// relays returns the relays of this node's zone, with the one that this node prefers first.
func (r *Relayer) relays() []*pb.Member {
	var zoneMembers []*pb.Member
	for _, m := range r.config.View.Members() {
		if m.GetAvailabilityZone() == r.config.AvailabilityZone {
			zoneMembers = append(zoneMembers, m)
		}
	}
	ranked := ranker.Rank(ranker.Key{Name: rankKeyPrefix + r.config.AvailabilityZone}, zoneMembers)
	relays := ranked[:min(relaysPerZone, len(ranked))]
	if len(relays) < relaysPerZone {
		return relays
	}
	// Each node ranks the relays by its own name, so about half of the zone's nodes prefer each relay.
	return ranker.Rank(ranker.Key{Name: rankKeyPrefix + r.config.NodeName}, relays)
}

// jitter returns a random duration from half of d to d.
func (r *Relayer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.config.Random.Int64N(int64(d/2)))
}
