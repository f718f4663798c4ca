// Package scorer keeps the state of one replica at an entry node from search to search: the latency
// estimates of the leaf's owner, the entry's own measurements and open calls, and the times until which the
// replica is avoided. From these it computes the expected latency of the next call. All fields are atomic, so
// that searches share a ReplicaState without a lock.
package scorer

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	minEstimateLifetime    = 5 * time.Second
	estimateLifetimeSpread = 5 * time.Second
	unreachableBackoff     = 500 * time.Millisecond
	drainingBackoff        = 3 * time.Second
	lostSnapshotBackoff    = 2 * time.Second
	meanDivisor            = 4 // a new measurement moves the mean by 1/meanDivisor of the difference
)

type (
	// ReplicaState is the state of one replica. It is safe for concurrent use.
	ReplicaState struct {
		leaf atomic.Pointer[pb.Leaf]
		// lifetime is how long an estimate counts. It differs between replicas, so that the replicas of a
		// zone that was slow are not all tried again at the same moment.
		lifetime time.Duration
		// lastStatus is the newest status that was observed; it is compared by identity.
		lastStatus atomic.Pointer[pb.LeafStatus]
		// openCalls counts the calls of this entry that have no reply yet. It is never negative.
		openCalls atomic.Int64
		// ownerWait and ownerLatency are the owner's newest estimates in nanoseconds.
		ownerWait    atomic.Int64
		ownerLatency atomic.Int64
		// meanCallTime is the entry's own moving average of its call times in nanoseconds, zero at first.
		meanCallTime atomic.Int64
		// estimatedAt to lostUntil are nanoseconds since the Unix epoch.
		estimatedAt   atomic.Int64
		avoidUntil    atomic.Int64
		drainingUntil atomic.Int64
		lostUntil     atomic.Int64
		// lostSnapshot is the snapshot that the replica most recently said it does not hold.
		lostSnapshot atomic.Uint64
	}
)

// New returns a ReplicaState without estimates.
func New(l *pb.Leaf) *ReplicaState {
	spread := time.Duration(xxhash.Sum64String(l.GetName()) % uint64(estimateLifetimeSpread))
	rs := &ReplicaState{lifetime: minEstimateLifetime + spread}
	rs.leaf.Store(l)
	return rs
}

// Leaf returns the leaf's configuration.
func (rs *ReplicaState) Leaf() *pb.Leaf { return rs.leaf.Load() }

// SetLeaf replaces the leaf's configuration.
func (rs *ReplicaState) SetLeaf(l *pb.Leaf) { rs.leaf.Store(l) }

// OpenCalls returns the number of calls of this entry that have no reply yet.
func (rs *ReplicaState) OpenCalls() int64 { return rs.openCalls.Load() }

// BeginCall counts a call that was sent.
func (rs *ReplicaState) BeginCall() { rs.openCalls.Add(1) }

// EndCall counts a call that is no longer open.
func (rs *ReplicaState) EndCall() { rs.openCalls.Add(-1) }

// ObserveStatus applies the estimates of the owner's status unless that status was already applied.
func (rs *ReplicaState) ObserveStatus(s *pb.LeafStatus, now time.Time) {
	if rs.lastStatus.Swap(s) == s || s.GetExpectedLatency() == nil {
		return
	}
	rs.setOwnerEstimate(s.GetExpectedWait().AsDuration(), s.GetExpectedLatency().AsDuration(), now)
}

// ObserveReply applies the estimates and the failure code that a reply carries.
func (rs *ReplicaState) ObserveReply(r *pb.LeafReply, snapshot uint64, now time.Time) {
	if r.GetExpectedLatency() != nil {
		rs.setOwnerEstimate(r.GetExpectedWait().AsDuration(), r.GetExpectedLatency().AsDuration(), now)
	}
	switch r.GetCode() {
	case pb.ResultCode_RESULT_CODE_OK:
		rs.avoidUntil.Store(0)
	case pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE, pb.ResultCode_RESULT_CODE_OWNER_UNREACHABLE,
		pb.ResultCode_RESULT_CODE_NOT_OWNER, pb.ResultCode_RESULT_CODE_LEAF_SHED,
		pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE:
		rs.avoidUntil.Store(now.Add(unreachableBackoff).UnixNano())
	case pb.ResultCode_RESULT_CODE_LEAF_DRAINING, pb.ResultCode_RESULT_CODE_ZONE_OUT:
		rs.drainingUntil.Store(now.Add(drainingBackoff).UnixNano())
	case pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT:
		rs.lostSnapshot.Store(snapshot)
		rs.lostUntil.Store(now.Add(lostSnapshotBackoff).UnixNano())
	default:
	}
}

// ObserveLatency records the time from sending a call to its reply.
func (rs *ReplicaState) ObserveLatency(d time.Duration, now time.Time) {
	mean := rs.meanCallTime.Load()
	if mean == 0 {
		mean = int64(d)
	}
	rs.meanCallTime.Store(mean + (int64(d)-mean)/meanDivisor)
	rs.estimatedAt.Store(now.UnixNano())
}

// ObserveLatencyAtLeast records the age of a call that was cancelled, which is a lower bound of its call time. An age
// below the mean does not contradict the mean: it only renews the lifetime of the estimate.
func (rs *ReplicaState) ObserveLatencyAtLeast(d time.Duration, now time.Time) {
	if int64(d) > rs.meanCallTime.Load() {
		rs.ObserveLatency(d, now)
		return
	}
	rs.estimatedAt.Store(now.UnixNano())
}

// Draining reports whether the replica recently answered that it takes no new work.
func (rs *ReplicaState) Draining(now time.Time) bool { return now.UnixNano() < rs.drainingUntil.Load() }

// Avoided reports whether the replica failed recently, so that others are preferred.
func (rs *ReplicaState) Avoided(now time.Time) bool { return now.UnixNano() < rs.avoidUntil.Load() }

// LostSnapshot reports whether the replica recently answered that it does not hold the snapshot.
func (rs *ReplicaState) LostSnapshot(snapshot uint64, now time.Time) bool {
	return rs.lostSnapshot.Load() == snapshot && now.UnixNano() < rs.lostUntil.Load()
}

// ExpectedLatency returns the expected time to the reply of one more call: the owner's estimate or the entry's own
// mean, whichever is longer, increased in proportion to the entry's open calls. While no call is open, an
// expired estimate is replaced by the median latency of the service, so that a replica that was slow is tried
// again, with one call at a time.
func (rs *ReplicaState) ExpectedLatency(now time.Time, medianLatency time.Duration) time.Duration {
	openCalls := rs.openCalls.Load()
	latency := time.Duration(max(rs.ownerWait.Load()+rs.ownerLatency.Load(), rs.meanCallTime.Load()))
	expired := now.UnixNano()-rs.estimatedAt.Load() > int64(rs.lifetime)
	if latency == 0 || (expired && openCalls == 0 && medianLatency > 0) {
		latency = medianLatency
	}
	slots := max(1, int64(rs.Leaf().GetSlots()))
	return latency + latency*time.Duration(openCalls)/time.Duration(slots)
}

func (rs *ReplicaState) setOwnerEstimate(wait, latency time.Duration, now time.Time) {
	rs.ownerWait.Store(int64(wait))
	rs.ownerLatency.Store(int64(latency))
	if rs.estimatedAt.Load() == 0 {
		rs.estimatedAt.Store(now.UnixNano())
	}
}
