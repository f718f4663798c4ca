package submitter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/entry/gauger"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

// run sends the request to one leaf. Only when it is certain that it did not run there, another leaf
// may follow while time remains.
func (s *Submitter) run(ctx context.Context, r *pb.SubmitRequest, deadline time.Time) *pb.SubmitReply {
	var tried []*gauger.Gauge
	last := replyOf(pb.ResultCode_RESULT_CODE_NOT_RUN, "no leaf of the partition is in service")
	for {
		timeLeft := s.config.Clock.Until(deadline)
		if timeLeft <= 0 {
			return last
		}
		g := s.pick(r, tried)
		if g == nil {
			if !s.pause(ctx) {
				return last
			}
			tried = nil
			continue
		}
		tried = append(tried, g)
		reply := s.send(ctx, s.callOf(r, g.Leaf().GetName(), timeLeft, deadline))
		if reply.GetCode() != pb.ResultCode_RESULT_CODE_NOT_RUN {
			return reply
		}
		last = reply
	}
}

// send makes one call. Its reply is "not run" only when the call cannot have left the owner, or when the
// leaf said so.
func (s *Submitter) send(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	owner := s.config.Owners.Owner(c.GetLeaf())
	if owner == nil {
		return replyOf(pb.ResultCode_RESULT_CODE_NOT_RUN, "the leaf has no owner")
	}
	reply, err := s.config.Router.Submit(ctx, owner, c)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return replyOf(pb.ResultCode_RESULT_CODE_NOT_RUN, "the owner of the leaf cannot be reached")
	case err != nil:
		return replyOf(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the owner of the leaf did not answer")
	case reply.GetRequestId() != c.GetRequestId():
		return replyOf(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the owner of the leaf answered another request")
	}
	return reply
}

// pick returns the replica of the partition that is expected to be free first, or nil. The partition is
// one of the pinned snapshot's layout.
func (s *Submitter) pick(r *pb.SubmitRequest, tried []*gauger.Gauge) *gauger.Gauge {
	l := s.layout(r.GetService())
	if l == nil {
		return nil
	}
	now := s.config.Clock.Now()
	var best *gauger.Gauge
	for _, g := range l.Replicas(r.GetPartition()) {
		if g.Draining(now) || contains(tried, g) {
			continue
		}
		if best == nil || g.Expected(now, 0) < best.Expected(now, 0) {
			best = g
		}
	}
	return best
}

func contains(list []*gauger.Gauge, g *gauger.Gauge) bool {
	for _, t := range list {
		if t == g {
			return true
		}
	}
	return false
}
