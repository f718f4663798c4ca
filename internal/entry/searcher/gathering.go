package searcher

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// gathering collects the replies of one search.
	gathering struct {
		plan *plan
		// expected has the partition of each open call.
		expected map[uint64]uint32
		// parts has the payload of each included partition, all from the plan's snapshot.
		parts map[uint32]string
		// reasons has the reason for each partition that is lacking so far.
		reasons map[uint32]pb.ResultCode
	}
)

func newGathering(p *plan) *gathering {
	return &gathering{
		plan:     p,
		expected: map[uint64]uint32{},
		parts:    map[uint32]string{},
		reasons:  map[uint32]pb.ResultCode{},
	}
}

func (g *gathering) expect(id uint64, partition uint32) {
	g.expected[id] = partition
}

func (g *gathering) lack(partition uint32, reason pb.ResultCode) {
	g.reasons[partition] = reason
}

func (g *gathering) open() int {
	return len(g.expected)
}

// add merges a reply if it is for this request, partition and snapshot.
func (g *gathering) add(r *pb.LeafReply) {
	partition, ok := g.expected[r.GetCallId()]
	if !ok {
		return
	}
	delete(g.expected, r.GetCallId())
	switch {
	case r.GetCode() != pb.ResultCode_RESULT_CODE_OK:
		g.lack(partition, r.GetCode())
	case r.GetPartition() != partition || r.GetRequestId() != g.plan.request.GetRequestId():
		g.lack(partition, pb.ResultCode_RESULT_CODE_WRONG_REQUEST)
	case r.GetSnapshot() != g.plan.snapshot:
		g.lack(partition, pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT)
	default:
		g.parts[partition] = r.GetPayload()
	}
}

// answer returns what was merged; partitions that did not arrive are named with their reason.
func (g *gathering) answer() *pb.SearchAnswer {
	coverage := &pb.Coverage{Asked: uint32(len(g.plan.partitions))}
	answer := &pb.SearchAnswer{
		Code:      pb.ResultCode_RESULT_CODE_OK,
		RequestId: g.plan.request.GetRequestId(),
		Service:   g.plan.request.GetService(),
		Snapshot:  g.plan.snapshot,
		Coverage:  coverage,
	}
	for _, q := range g.plan.partitions {
		payload, ok := g.parts[q]
		if ok {
			coverage.Included = append(coverage.Included, q)
			answer.Parts = append(answer.Parts, &pb.Part{Partition: q, Payload: payload})
			continue
		}
		coverage.Lacking = append(coverage.Lacking, &pb.LackingPartition{Partition: q, Reason: g.reason(q)})
	}
	if len(coverage.GetLacking()) > 0 {
		answer.Code = pb.ResultCode_RESULT_CODE_PARTIAL
	}
	return answer
}

func (g *gathering) reason(partition uint32) pb.ResultCode {
	if reason, ok := g.reasons[partition]; ok {
		return reason
	}
	return pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT
}
