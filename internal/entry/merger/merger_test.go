package merger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/magnoliastep/magnoliastep/internal/entry/merger"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

const (
	snapshot  = 4
	requestID = "request"
)

func reply(id uint64, partition uint32) *pb.LeafReply {
	return &pb.LeafReply{
		CallId: id, Code: pb.ResultCode_RESULT_CODE_OK, Partition: partition, RequestId: requestID, Snapshot: snapshot,
		Payload: fmt.Sprint(partition),
	}
}

// TestMergerIgnoresDuplicateReply guards against a reply that is delivered twice and ends another call of
// its partition or is counted twice.
func TestMergerIgnoresDuplicateReply(t *testing.T) {
	is := is.New(t)
	m := merger.New(merger.Config{RequestID: requestID, Snapshot: snapshot, Partitions: []uint32{2, 5}})
	m.AddCall(merger.Call{ID: 1, Position: 1, Attempt: 1})
	m.AddCall(merger.Call{ID: 2, Position: 1, Attempt: 2})
	_, _, first := m.HandleReply(reply(2, 5))
	is.Equal(first, merger.VerdictMerged)
	is.Equal(m.OpenCount(1), 1)
	_, _, again := m.HandleReply(reply(2, 5))
	is.Equal(again, merger.VerdictIgnored)
	is.Equal(m.OpenCount(1), 1) // the duplicate does not end the other call
	m.CloseCalls(1, func(c merger.Call) { is.Equal(c.ID, uint64(1)) })
	_, _, late := m.HandleReply(reply(1, 5))
	is.Equal(late, merger.VerdictIgnored)
	a := m.Answer(pb.ResultCode_RESULT_CODE_ANSWERED_EARLY)
	is.Equal(a.GetCoverage().GetIncluded(), []uint32{5})
	is.Equal(a.GetCoverage().GetLacking()[0].GetReason(), pb.ResultCode_RESULT_CODE_NO_REPLICA)
	is.Equal(a.GetCode(), pb.ResultCode_RESULT_CODE_PARTIAL)
}

// TestMergerInvariantsHoldForAnyReplies guards against parts from wrong replies: it adds replies that are correct,
// from another request or partition, from another snapshot, duplicate or late, and checks the merger's invariants.
func TestMergerInvariantsHoldForAnyReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := asserter.New(asserter.Config{})
		partitions := []uint32{0, 3, 4, 9}
		m := merger.New(merger.Config{RequestID: requestID, Snapshot: snapshot, Partitions: partitions, Asserter: a})
		var calls []merger.Call
		rt.Repeat(map[string]func(*rapid.T){
			"call": func(rt *rapid.T) {
				position := rapid.IntRange(0, len(partitions)-1).Draw(rt, "position")
				c := merger.Call{ID: uint64(len(calls) + 1), Position: position, Attempt: m.CallCount(position) + 1}
				calls = append(calls, c)
				m.AddCall(c)
			},
			"reply": func(rt *rapid.T) {
				id := rapid.Uint64Range(0, uint64(len(calls)+1)).Draw(rt, "id")
				r := reply(id, rapid.SampledFrom(partitions).Draw(rt, "partition"))
				r.Snapshot = rapid.Uint64Range(snapshot-1, snapshot+1).Draw(rt, "snapshot")
				r.RequestId = rapid.SampledFrom([]string{requestID, "other"}).Draw(rt, "request_id")
				m.HandleReply(r)
			},
			"close": func(rt *rapid.T) {
				m.CloseCalls(rapid.IntRange(0, len(partitions)-1).Draw(rt, "position"), func(merger.Call) {})
			},
			"": func(rt *rapid.T) {
				answer := m.Answer(pb.ResultCode_RESULT_CODE_ANSWERED_EARLY)
				for i, p := range answer.GetParts() {
					if p.GetPayload() != fmt.Sprint(p.GetPartition()) || answer.GetCoverage().GetIncluded()[i] != p.GetPartition() {
						rt.Fatalf("part %v does not belong to its partition", p)
					}
				}
				for i := range partitions {
					if m.OpenCount(i) < 0 || m.OpenCount(i) > int(m.CallCount(i)) {
						rt.Fatalf("open calls: %d of %d", m.OpenCount(i), m.CallCount(i))
					}
				}
				if a.Violations() > 0 {
					rt.Fatalf("%v", a.ViolationsByName())
				}
			},
		})
	})
}
