// Package gauger keeps what an entry node knows of one replica between two searches: the owner's
// estimates, the entry's own open calls and the times until which the replica is to be avoided. Replies
// and statuses flow in; the expected completion of the next call flows out. All fields are atomic, so
// that searches share a Gauge without a lock.
package gauger

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	shortestLifetime = 5 * time.Second
	lifetimeSpread   = 5 * time.Second
	unreachablePause = 500 * time.Millisecond
	drainingPause    = 3 * time.Second
	lostPause        = 2 * time.Second
	smoothing        = 4 // a new time counts for one part in this many
)

type (
	// Gauge is what is known of one replica. It is safe for concurrent use.
	Gauge struct {
		leaf atomic.Pointer[pb.Leaf]
		// lifetime of an estimate; it differs between replicas, so that a whole zone which was slow is not
		// tried again in one moment.
		lifetime time.Duration
		// status is the newest status that was observed; it is compared by identity.
		status atomic.Pointer[pb.LeafStatus]
		// open counts the calls of this entry that have no reply yet. It is never negative.
		open atomic.Int64
		// wait and latency are the owner's newest estimates in nanoseconds.
		wait    atomic.Int64
		latency atomic.Int64
		// measured is the entry's own mean of the times of its calls in nanoseconds, zero at first.
		measured atomic.Int64
		// estimatedAt to lostUntil are nanoseconds since the Unix epoch.
		estimatedAt   atomic.Int64
		avoidUntil    atomic.Int64
		drainingUntil atomic.Int64
		lostUntil     atomic.Int64
		// lostSnapshot is the snapshot that the replica denied last.
		lostSnapshot atomic.Uint64
	}
)

// New returns a Gauge without estimates.
func New(l *pb.Leaf) *Gauge {
	spread := time.Duration(xxhash.Sum64String(l.GetName()) % uint64(lifetimeSpread))
	g := &Gauge{lifetime: shortestLifetime + spread}
	g.leaf.Store(l)
	return g
}

// Leaf returns the replica's leaf as configured.
func (g *Gauge) Leaf() *pb.Leaf { return g.leaf.Load() }

// SetLeaf replaces the configured leaf.
func (g *Gauge) SetLeaf(l *pb.Leaf) { g.leaf.Store(l) }

// Open returns the calls of this entry that have no reply yet.
func (g *Gauge) Open() int64 { return g.open.Load() }

// Begin counts a call that was sent.
func (g *Gauge) Begin() { g.open.Add(1) }

// End counts a call that is no longer open.
func (g *Gauge) End() { g.open.Add(-1) }

// ObserveStatus takes the owner's status unless it was taken before.
func (g *Gauge) ObserveStatus(s *pb.LeafStatus, now time.Time) {
	if g.status.Swap(s) == s || s.GetExpectedLatency() == nil {
		return
	}
	g.estimate(s.GetExpectedWait().AsDuration(), s.GetExpectedLatency().AsDuration(), now)
}

// ObserveReply takes the estimates and the failure that a reply carries.
func (g *Gauge) ObserveReply(r *pb.LeafReply, snapshot uint64, now time.Time) {
	if r.GetExpectedLatency() != nil {
		g.estimate(r.GetExpectedWait().AsDuration(), r.GetExpectedLatency().AsDuration(), now)
	}
	switch r.GetCode() {
	case pb.ResultCode_RESULT_CODE_OK:
		g.avoidUntil.Store(0)
	case pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE, pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE,
		pb.ResultCode_RESULT_CODE_NOT_OWNER, pb.ResultCode_RESULT_CODE_LEAF_SHED,
		pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE:
		g.avoidUntil.Store(now.Add(unreachablePause).UnixNano())
	case pb.ResultCode_RESULT_CODE_LEAF_DRAINING, pb.ResultCode_RESULT_CODE_ZONE_OUT:
		g.drainingUntil.Store(now.Add(drainingPause).UnixNano())
	case pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT:
		g.lostSnapshot.Store(snapshot)
		g.lostUntil.Store(now.Add(lostPause).UnixNano())
	default:
	}
}

// ObserveTime takes the time from sending a call to its reply.
func (g *Gauge) ObserveTime(d time.Duration, now time.Time) {
	mean := g.measured.Load()
	if mean == 0 {
		mean = int64(d)
	}
	g.measured.Store(mean + (int64(d)-mean)/smoothing)
	g.estimatedAt.Store(now.UnixNano())
}

// ObserveAtLeast takes the age of a call that was cancelled: the reply would have come later still. A
// shorter age than the mean does not contradict the mean.
func (g *Gauge) ObserveAtLeast(d time.Duration, now time.Time) {
	if int64(d) > g.measured.Load() {
		g.ObserveTime(d, now)
		return
	}
	g.estimatedAt.Store(now.UnixNano())
}

// Draining tells whether the replica said lately that it takes no new work.
func (g *Gauge) Draining(now time.Time) bool { return now.UnixNano() < g.drainingUntil.Load() }

// Avoided tells whether the replica failed lately, so that others go first.
func (g *Gauge) Avoided(now time.Time) bool { return now.UnixNano() < g.avoidUntil.Load() }

// Lost tells whether the replica denied the snapshot lately.
func (g *Gauge) Lost(snapshot uint64, now time.Time) bool {
	return g.lostSnapshot.Load() == snapshot && now.UnixNano() < g.lostUntil.Load()
}

// Expected returns the expected time to the reply of one more call: the owner's estimate or the entry's
// own, whichever is worse, prolonged by the entry's open calls. An old estimate counts as no worse than
// typical while no call is open, so that a replica which was slow once is tried again, once at a time.
func (g *Gauge) Expected(now time.Time, typical time.Duration) time.Duration {
	open := g.open.Load()
	latency := time.Duration(max(g.wait.Load()+g.latency.Load(), g.measured.Load()))
	old := now.UnixNano()-g.estimatedAt.Load() > int64(g.lifetime)
	if latency == 0 || (old && open == 0 && typical > 0) {
		latency = typical
	}
	slots := max(1, int64(g.Leaf().GetSlots()))
	return latency + latency*time.Duration(open)/time.Duration(slots)
}

func (g *Gauge) estimate(wait, latency time.Duration, now time.Time) {
	g.wait.Store(int64(wait))
	g.latency.Store(int64(latency))
	if g.estimatedAt.Load() == 0 {
		g.estimatedAt.Store(now.UnixNano())
	}
}
