// Package registrar is the memory of one witness: which attempt may run a non-idempotent request, and
// what came of it. Claims and outcomes flow in, grants and known outcomes flow out. At most one attempt
// holds an id. What was promised before a restart is forgotten, so ids from before it are never granted.
package registrar

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/booking/identifier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	cleanPeriod = time.Minute
)

type (
	// Groups tells which groups of witnesses an id has.
	Groups interface {
		// Missing returns the groups of the id that this node counts and that are not among the groups.
		Missing(id string, groups []*pb.WitnessGroup) []*pb.WitnessGroup
		// Ready tells whether this node knows the groups.
		Ready() bool
	}

	// Config holds what a Registrar needs.
	Config struct {
		Clock    quartz.Clock
		Groups   Groups
		Asserter *asserter.Asserter
		// ClockAllowance is the largest difference between the clocks of callers and nodes.
		ClockAllowance time.Duration
		// KeepFor is the age up to which an id may run; records are kept for twice as long.
		KeepFor time.Duration
	}

	// Registrar records claims. It is safe for concurrent use.
	Registrar struct {
		config Config
		// startedAt is when this node began to remember.
		startedAt time.Time
		mutex     sync.Mutex
		records   map[string]*record
		cleanedAt time.Time
	}

	record struct {
		token       string
		fingerprint uint64
		notAfter    time.Time
		createdAt   time.Time
		// outcome is nil until it is known; then it does not change.
		outcome *pb.SubmitReply
	}
)

// New returns a Registrar without records.
func New(c Config) *Registrar {
	now := c.Clock.Now()
	return &Registrar{config: c, startedAt: now, cleanedAt: now, records: map[string]*record{}}
}

// Claim records the attempt unless another one holds the id.
func (r *Registrar) Claim(c *pb.SubmitClaim) *pb.SubmitClaimReply {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.Clock.Now()
	r.clean(now)
	if known := r.records[c.GetRequestId()]; known != nil {
		return known.reply(c, now)
	}
	if state := r.check(c, now); state != pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED {
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

// Settle takes note of how an attempt ended. Only the attempt that holds the id can settle it.
func (r *Registrar) Settle(s *pb.SubmitSettle) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.records[s.GetRequestId()]
	if known == nil || known.token != s.GetToken() {
		return
	}
	if s.GetAbandoned() {
		if r.config.Asserter.Check(known.outcome == nil, "settled_attempt_is_not_abandoned", "request_id", s.GetRequestId()) {
			delete(r.records, s.GetRequestId())
		}
		return
	}
	if known.outcome == nil {
		known.outcome = s.GetOutcome()
	}
}

// check tells whether an id without a record may be granted.
func (r *Registrar) check(c *pb.SubmitClaim, now time.Time) pb.SubmitClaimState {
	created, err := identifier.CreatedAt(c.GetRequestId())
	switch {
	case !r.config.Groups.Ready():
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_NOT_READY
	case err != nil || now.After(c.GetNotAfter().AsTime()):
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_EXPIRED
	case created.After(now.Add(r.config.ClockAllowance)):
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_EXPIRED
	case !created.After(r.startedAt.Add(r.config.ClockAllowance)) || now.Sub(created) > r.config.KeepFor:
		return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_TOO_OLD
	}
	return pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED
}

// reply says what is known to an attempt at a recorded id.
func (k *record) reply(c *pb.SubmitClaim, now time.Time) *pb.SubmitClaimReply {
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

// clean removes records whose id is too old to be granted again.
func (r *Registrar) clean(now time.Time) {
	if now.Sub(r.cleanedAt) < cleanPeriod {
		return
	}
	r.cleanedAt = now
	for id, k := range r.records {
		if now.Sub(k.createdAt) > 2*r.config.KeepFor {
			delete(r.records, id)
		}
	}
}
