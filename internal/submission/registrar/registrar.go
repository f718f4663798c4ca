// Package registrar keeps the records of one witness: which attempt may run a non-idempotent request, and its
// outcome. At most one attempt holds a request id. The records are in memory only and a restart loses them, so a
// witness never grants an id that was created before it started.
package registrar

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/submission/identifier"
)

const (
	cleanupPeriod = time.Minute
)

type (
	// Groups returns the groups of witnesses of a request id.
	Groups interface {
		// Missing returns the groups that this node requires for the id and that are not among the given ones.
		Missing(id string, groups []*pb.WitnessGroup) []*pb.WitnessGroup
		// Ready reports whether this node knows the groups.
		Ready() bool
	}

	// Config holds what a Registrar needs.
	Config struct {
		Clock    quartz.Clock
		Groups   Groups
		Asserter *asserter.Asserter
		// MaxClockSkew is the largest difference between the clocks of callers and nodes.
		MaxClockSkew time.Duration
		// KeepFor is the largest age at which an id is granted; records are kept for twice as long.
		KeepFor time.Duration
	}

	// Registrar records claims. It is safe for concurrent use.
	Registrar struct {
		config Config
		// startedAt is when this node began to record claims.
		startedAt     time.Time
		mutex         sync.Mutex
		records       map[string]*record
		lastCleanupAt time.Time
	}

	record struct {
		token       string
		fingerprint uint64
		notAfter    time.Time
		createdAt   time.Time
		// outcome is nil until it is known and does not change afterwards.
		outcome *pb.SubmitReply
	}
)

// New returns a Registrar without records.
func New(c Config) *Registrar {
	now := c.Clock.Now()
	return &Registrar{config: c, startedAt: now, lastCleanupAt: now, records: map[string]*record{}}
}

// Claim grants the id to the attempt and records it, unless another attempt holds the id or the id is not
// acceptable.
func (r *Registrar) Claim(c *pb.SubmitClaim) *pb.SubmitClaimReply {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.Clock.Now()
	r.removeOldRecords(now)
	if holder := r.records[c.GetRequestId()]; holder != nil {
		return holder.replyTo(c, now)
	}
	if state := r.checkUnrecorded(c, now); state != pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED {
		return &pb.SubmitClaimReply{State: state}
	}
	if missing := r.config.Groups.Missing(c.GetRequestId(), c.GetGroups()); len(missing) > 0 {
		return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GROUP_CHANGED, Groups: missing}
	}
	created, _ := identifier.CreatedAt(c.GetRequestId())
	r.records[c.GetRequestId()] = &record{
		token: c.GetToken(), fingerprint: c.GetFingerprint(), notAfter: c.GetNotAfter().AsTime(), createdAt: created,
	}
	return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED}
}

// Settle records the outcome of an attempt, or removes the record of an abandoned one. Only the attempt that holds
// the id can settle it.
func (r *Registrar) Settle(s *pb.SubmitSettle) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	holder := r.records[s.GetRequestId()]
	if holder == nil || holder.token != s.GetToken() {
		return
	}
	if s.GetAbandoned() {
		if r.config.Asserter.Check(
			holder.outcome == nil, "settled_attempt_is_not_abandoned", "request_id", s.GetRequestId(),
		) {
			delete(r.records, s.GetRequestId())
		}
		return
	}
	if holder.outcome == nil {
		holder.outcome = s.GetOutcome()
	}
}

// checkUnrecorded returns whether an id without a record may be granted, or why not. An id with a creation time up
// to startedAt plus MaxClockSkew may have been claimed before a restart.
func (r *Registrar) checkUnrecorded(c *pb.SubmitClaim, now time.Time) pb.SubmitClaimState {
	created, err := identifier.CreatedAt(c.GetRequestId())
	switch {
	case !r.config.Groups.Ready():
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_NOT_READY
	case err != nil || now.After(c.GetNotAfter().AsTime()):
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_EXPIRED
	case created.After(now.Add(r.config.MaxClockSkew)):
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_EXPIRED
	case !created.After(r.startedAt.Add(r.config.MaxClockSkew)) || now.Sub(created) > r.config.KeepFor:
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_TOO_OLD
	}
	return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED
}

// replyTo returns the reply to a claim on a recorded id.
func (k *record) replyTo(c *pb.SubmitClaim, now time.Time) *pb.SubmitClaimReply {
	switch {
	case k.fingerprint != c.GetFingerprint():
		return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_DUPLICATE}
	case k.outcome != nil:
		return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_SETTLED, Outcome: k.outcome}
	case k.token == c.GetToken():
		return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED}
	case now.After(k.notAfter):
		return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_LAPSED}
	}
	return &pb.SubmitClaimReply{State: pb.SubmitClaimState_SUBMIT_CLAIM_STATE_HELD}
}

// removeOldRecords removes the records of ids that are too old to be granted again.
func (r *Registrar) removeOldRecords(now time.Time) {
	if now.Sub(r.lastCleanupAt) < cleanupPeriod {
		return
	}
	r.lastCleanupAt = now
	for id, k := range r.records {
		if now.Sub(k.createdAt) > 2*r.config.KeepFor {
			delete(r.records, id)
		}
	}
}
