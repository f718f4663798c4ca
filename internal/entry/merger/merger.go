// Package merger combines the replies to the leaf calls of one request into its answer and states which
// partitions the answer covers. It accepts a part only from a reply to a call of this request and from
// the request's snapshot. A partition is merged once, however many calls were made for it.
package merger

import (
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	// VerdictIgnored means that the reply matches no open call of this request or that its partition is merged already.
	VerdictIgnored Verdict = iota
	// VerdictMerged means that the reply's part was included.
	VerdictMerged
	// VerdictFailed means that the call ended without a part.
	VerdictFailed

	spareCallCapacity = 8
	noCall            = -1
)

type (
	// Verdict is the result of adding a reply.
	Verdict int

	// Config holds the request's data and the dependencies of a Merger.
	Config struct {
		RequestID string
		Service   string
		Snapshot  uint64
		// Partitions lists the asked partitions in ascending order without duplicates.
		Partitions []uint32
		Asserter   *asserter.Asserter
	}

	// Merger collects the parts of one answer. It is not safe for concurrent use.
	Merger struct {
		config Config
		// parts has one entry for each asked partition, in the same order.
		parts []part
		// calls lists all calls of the request, oldest first; entries are never removed.
		calls []call
		// callIndex maps a call ID to its index in calls.
		callIndex map[uint64]int
		included  int
	}

	// Call is one call for one partition.
	Call struct {
		ID uint64
		// Position is the index of the partition among those asked for.
		Position int
		Attempt  uint32
		SentAt   time.Time
		Replica  *scorer.ReplicaState
		Owner    *pb.Member
	}

	call struct {
		Call
		open bool
		// previousCall is the index in calls of the partition's call before this one, or noCall.
		previousCall int
	}

	part struct {
		payload string
		// snapshot and requestID are those of the reply that was merged.
		snapshot  uint64
		requestID string
		included  bool
		reason    pb.ResultCode
		// newestCall is the index in calls of the partition's last call, or noCall.
		newestCall int
		callCount  uint32
		openCount  int
	}
)

// New returns a Merger without parts.
func New(c Config) *Merger {
	m := &Merger{
		config:    c,
		parts:     make([]part, len(c.Partitions)),
		calls:     make([]call, 0, len(c.Partitions)+spareCallCapacity),
		callIndex: make(map[uint64]int, len(c.Partitions)+spareCallCapacity),
	}
	for i := range m.parts {
		m.parts[i].newestCall = noCall
	}
	return m
}

// Partitions returns the asked partitions.
func (m *Merger) Partitions() []uint32 { return m.config.Partitions }

// IncludedCount returns the number of merged partitions.
func (m *Merger) IncludedCount() int { return m.included }

// Complete reports whether every partition was merged.
func (m *Merger) Complete() bool { return m.included == len(m.parts) }

// IsMerged reports whether the partition at the position was merged.
func (m *Merger) IsMerged(position int) bool { return m.parts[position].included }

// CallCount returns the number of calls made for the partition at the position.
func (m *Merger) CallCount(position int) uint32 { return m.parts[position].callCount }

// OpenCount returns the number of open calls for the partition at the position.
func (m *Merger) OpenCount(position int) int { return m.parts[position].openCount }

// AddCall registers a call whose reply is awaited.
func (m *Merger) AddCall(c Call) {
	p := &m.parts[c.Position]
	m.callIndex[c.ID] = len(m.calls)
	m.calls = append(m.calls, call{Call: c, open: true, previousCall: p.newestCall})
	p.newestCall = len(m.calls) - 1
	p.callCount++
	p.openCount++
}

// SetLackingReason sets the reason that the answer states if the partition at the position is still lacking.
func (m *Merger) SetLackingReason(position int, reason pb.ResultCode) {
	m.parts[position].reason = reason
}

// HandleReply processes a reply and returns the call that it answers. The code of a failed reply becomes the reason
// that the answer states for the partition, unless a later call succeeds.
func (m *Merger) HandleReply(r *pb.LeafReply) (Call, pb.ResultCode, Verdict) {
	i, ok := m.callIndex[r.GetCallId()]
	if !ok || !m.calls[i].open {
		return Call{}, r.GetCode(), VerdictIgnored
	}
	c := &m.calls[i]
	p := &m.parts[c.Position]
	c.open = false
	p.openCount--
	code := m.checkReply(r, c)
	if code != pb.ResultCode_RESULT_CODE_OK {
		p.reason = code
		return c.Call, code, VerdictFailed
	}
	if p.included {
		return c.Call, code, VerdictIgnored
	}
	p.included, p.payload, p.snapshot, p.requestID = true, r.GetPayload(), r.GetSnapshot(), r.GetRequestId()
	m.included++
	return c.Call, code, VerdictMerged
}

// CloseCalls ends the open calls of the partition at the position and passes each to visit.
func (m *Merger) CloseCalls(position int, visit func(Call)) {
	p := &m.parts[position]
	for i := p.newestCall; i != noCall && p.openCount > 0; i = m.calls[i].previousCall {
		if m.calls[i].open {
			m.calls[i].open = false
			p.openCount--
			visit(m.calls[i].Call)
		}
	}
}

// EachOpenCall passes each open call of the partition at the position to visit, newest first.
func (m *Merger) EachOpenCall(position int, visit func(Call)) {
	for i := m.parts[position].newestCall; i != noCall; i = m.calls[i].previousCall {
		if m.calls[i].open {
			visit(m.calls[i].Call)
		}
	}
}

// EachCalledReplica passes the replica of each call for the partition at the position to visit, newest first.
func (m *Merger) EachCalledReplica(position int, visit func(*scorer.ReplicaState)) {
	for i := m.parts[position].newestCall; i != noCall; i = m.calls[i].previousCall {
		visit(m.calls[i].Replica)
	}
}

// Answer returns the answer with the parts merged so far. Partitions with an open call are lacking for openReason.
func (m *Merger) Answer(openReason pb.ResultCode) *pb.SearchAnswer {
	answer := &pb.SearchAnswer{
		Code: pb.ResultCode_RESULT_CODE_OK, RequestId: m.config.RequestID, Service: m.config.Service,
		Snapshot: m.config.Snapshot,
		Coverage: &pb.Coverage{Asked: uint32(len(m.parts))},
		Parts:    make([]*pb.Part, 0, m.included),
	}
	for i, partition := range m.config.Partitions {
		p := &m.parts[i]
		if p.included {
			answer.Coverage.Included = append(answer.Coverage.Included, partition)
			answer.Parts = append(answer.Parts, &pb.Part{Partition: partition, Payload: p.payload})
			continue
		}
		answer.Code = pb.ResultCode_RESULT_CODE_PARTIAL
		answer.Coverage.Lacking = append(answer.Coverage.Lacking,
			&pb.LackingPartition{Partition: partition, Reason: p.reasonFor(openReason)})
	}
	m.checkInvariants(answer)
	return answer
}

// checkReply returns OK if the reply holds a part of this answer, otherwise the reason that it does not.
func (m *Merger) checkReply(r *pb.LeafReply, c *call) pb.ResultCode {
	switch {
	case r.GetCode() != pb.ResultCode_RESULT_CODE_OK:
		return r.GetCode()
	case r.GetPartition() != m.config.Partitions[c.Position] || r.GetRequestId() != m.config.RequestID:
		return pb.ResultCode_RESULT_CODE_WRONG_REQUEST
	case r.GetSnapshot() != m.config.Snapshot:
		return pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT
	}
	return pb.ResultCode_RESULT_CODE_OK
}

func (p *part) reasonFor(openReason pb.ResultCode) pb.ResultCode {
	switch {
	case p.openCount > 0:
		return openReason
	case p.reason != pb.ResultCode_RESULT_CODE_UNSPECIFIED:
		return p.reason
	}
	return pb.ResultCode_RESULT_CODE_NO_REPLICA
}

// checkInvariants checks the answer against the merged parts.
func (m *Merger) checkInvariants(answer *pb.SearchAnswer) {
	coverage := answer.GetCoverage()
	oneSnapshot, ownRequest, merged := true, true, 0
	for i := range m.parts {
		p := &m.parts[i]
		if !p.included {
			continue
		}
		merged++
		oneSnapshot = oneSnapshot && p.snapshot == answer.GetSnapshot()
		ownRequest = ownRequest && p.requestID == answer.GetRequestId()
	}
	a := m.config.Asserter
	id := answer.GetRequestId()
	a.Check(oneSnapshot, "one_snapshot_per_answer", "request_id", id, "snapshot", answer.GetSnapshot())
	a.Check(ownRequest, "answer_belongs_to_its_request", "request_id", id)
	a.Check(merged == len(coverage.GetIncluded()) && merged == len(answer.GetParts()) &&
		merged+len(coverage.GetLacking()) == int(coverage.GetAsked()) &&
		slices.IsSorted(coverage.GetIncluded()),
		"coverage_equals_merged_parts", "request_id", id, "merged", merged, "asked", coverage.GetAsked())
}
