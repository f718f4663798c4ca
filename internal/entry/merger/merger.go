// Package merger puts the answer to one request together. Open calls and the replies to them flow in,
// the answer with its true coverage flows out. Every part comes from the one snapshot of the Merger and
// from a reply to a call of its own; a partition is merged once, however many calls were made for it.
package merger

import (
	"slices"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	// VerdictIgnored says that the reply belongs to no open call of this request.
	VerdictIgnored Verdict = iota
	// VerdictMerged says that the reply's part was included.
	VerdictMerged
	// VerdictFailed says that the call ended without a part.
	VerdictFailed

	spareCalls = 8
	none       = -1
)

type (
	// Verdict says what became of a reply.
	Verdict int

	// Config holds what a Merger needs.
	Config struct {
		RequestID string
		Service   string
		Snapshot  uint64
		// Partitions are those asked for, ascending, each once.
		Partitions []uint32
		Asserter   *asserter.Asserter
	}

	// Merger collects the parts of one answer. It is not safe for concurrent use.
	Merger struct {
		config Config
		// parts has one part for each asked partition, in the same order.
		parts []part
		// calls has every call that was made, oldest first; it only grows.
		calls []call
		// byID has the position in calls of each call.
		byID     map[uint64]int
		included int
	}

	// Call is one call for one partition.
	Call struct {
		ID uint64
		// Position is the index of the partition among those asked for.
		Position int
		Number   uint32
		SentAt   time.Time
		Replica  *gauger.Gauge
		Owner    *pb.Member
	}

	call struct {
		Call
		open bool
		// previous is the position in calls of the partition's call before, or none.
		previous int
	}

	part struct {
		payload string
		// snapshot and requestID are those of the reply that was merged.
		snapshot  uint64
		requestID string
		included  bool
		reason    pb.ResultCode
		// newest is the position in calls of the partition's last call, or none.
		newest int
		made   uint32
		open   int
	}
)

// New returns a Merger without parts.
func New(c Config) *Merger {
	m := &Merger{
		config: c,
		parts:  make([]part, len(c.Partitions)),
		calls:  make([]call, 0, len(c.Partitions)+spareCalls),
		byID:   make(map[uint64]int, len(c.Partitions)+spareCalls),
	}
	for i := range m.parts {
		m.parts[i].newest = none
	}
	return m
}

// Partitions returns the partitions asked for.
func (m *Merger) Partitions() []uint32 { return m.config.Partitions }

// Included returns how many partitions were merged.
func (m *Merger) Included() int { return m.included }

// Complete tells whether every partition was merged.
func (m *Merger) Complete() bool { return m.included == len(m.parts) }

// Has tells whether the partition at the position was merged.
func (m *Merger) Has(position int) bool { return m.parts[position].included }

// Made returns how many calls were made for the partition at the position.
func (m *Merger) Made(position int) uint32 { return m.parts[position].made }

// OpenCount returns how many calls for the partition at the position have no reply yet.
func (m *Merger) OpenCount(position int) int { return m.parts[position].open }

// Expect adds an open call.
func (m *Merger) Expect(c Call) {
	p := &m.parts[c.Position]
	m.byID[c.ID] = len(m.calls)
	m.calls = append(m.calls, call{Call: c, open: true, previous: p.newest})
	p.newest = len(m.calls) - 1
	p.made++
	p.open++
}

// Lack notes why the partition at the position is lacking so far.
func (m *Merger) Lack(position int, reason pb.ResultCode) {
	m.parts[position].reason = reason
}

// Add takes a reply and returns the call that it answers. The code of a failed reply is the reason that
// the answer will state, unless a later call succeeds.
func (m *Merger) Add(r *pb.LeafReply) (Call, pb.ResultCode, Verdict) {
	i, ok := m.byID[r.GetCallId()]
	if !ok || !m.calls[i].open {
		return Call{}, r.GetCode(), VerdictIgnored
	}
	c := &m.calls[i]
	p := &m.parts[c.Position]
	c.open = false
	p.open--
	code := m.judge(r, c)
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

// Close ends the open calls of the partition at the position and passes each to use.
func (m *Merger) Close(position int, use func(Call)) {
	p := &m.parts[position]
	for i := p.newest; i != none && p.open > 0; i = m.calls[i].previous {
		if m.calls[i].open {
			m.calls[i].open = false
			p.open--
			use(m.calls[i].Call)
		}
	}
}

// EachOpen passes each open call of the partition at the position to use, newest first.
func (m *Merger) EachOpen(position int, use func(Call)) {
	for i := m.parts[position].newest; i != none; i = m.calls[i].previous {
		if m.calls[i].open {
			use(m.calls[i].Call)
		}
	}
}

// EachMade passes the replica of each call for the partition at the position to use, newest first.
func (m *Merger) EachMade(position int, use func(*gauger.Gauge)) {
	for i := m.parts[position].newest; i != none; i = m.calls[i].previous {
		use(m.calls[i].Replica)
	}
}

// Answer returns what was merged. Partitions with a call still open are lacking for the reason given.
func (m *Merger) Answer(open pb.ResultCode) *pb.SearchAnswer {
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
			&pb.LackingPartition{Partition: partition, Reason: p.reasonFor(open)})
	}
	m.assert(answer)
	return answer
}

// judge returns OK when the reply is a part of this answer.
func (m *Merger) judge(r *pb.LeafReply, c *call) pb.ResultCode {
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

func (p *part) reasonFor(open pb.ResultCode) pb.ResultCode {
	switch {
	case p.open > 0:
		return open
	case p.reason != pb.ResultCode_RESULT_CODE_UNSPECIFIED:
		return p.reason
	}
	return pb.ResultCode_RESULT_CODE_NO_REPLICA
}

// assert checks the answer against what was merged.
func (m *Merger) assert(answer *pb.SearchAnswer) {
	covered := answer.GetCoverage()
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
	a.Check(merged == len(covered.GetIncluded()) && merged == len(answer.GetParts()) &&
		merged+len(covered.GetLacking()) == int(covered.GetAsked()) &&
		slices.IsSorted(covered.GetIncluded()),
		"coverage_equals_merged_parts", "request_id", id, "merged", merged, "asked", covered.GetAsked())
}
