package submitter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

// sendToLeaves sends the request to one leaf after another while time remains. It tries the next leaf only when it is
// certain that the request did not run at the one before.
func (s *Submitter) sendToLeaves(ctx context.Context, r *pb.SubmitRequest, deadline time.Time) *pb.SubmitReply {
	var tried []*scorer.ReplicaState
	last := newReply(pb.ResultCode_RESULT_CODE_NOT_RUN, "no leaf of the partition is in service")
	for {
		timeLeft := s.config.Clock.Until(deadline)
		if timeLeft <= 0 {
			return last
		}
		replica := s.pickReplica(r, tried)
		if replica == nil {
			if !s.waitToRetry(ctx) {
				return last
			}
			tried = nil
			continue
		}
		tried = append(tried, replica)
		reply := s.sendToOwner(ctx, s.newCall(r, replica.Leaf().GetName(), timeLeft, deadline))
		if reply.GetCode() != pb.ResultCode_RESULT_CODE_NOT_RUN {
			return reply
		}
		last = reply
	}
}

// sendToOwner sends one call to the owner of its leaf. The reply is "not run" only when the call cannot have been sent
// from the owner to the leaf, or when the leaf said that it did not run the request.
func (s *Submitter) sendToOwner(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	owner := s.config.Owners.Owner(c.GetLeaf())
	if owner == nil {
		return newReply(pb.ResultCode_RESULT_CODE_NOT_RUN, "the leaf has no owner")
	}
	reply, err := s.config.Router.Submit(ctx, owner, c)
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		return newReply(pb.ResultCode_RESULT_CODE_NOT_RUN, "the owner of the leaf cannot be reached")
	case err != nil:
		return newReply(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the owner of the leaf did not answer")
	case reply.GetRequestId() != c.GetRequestId():
		return newReply(pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the owner of the leaf answered another request")
	}
	return reply
}

// pickReplica returns the replica of the partition that is expected to reply first, or nil. It excludes draining
// replicas and those already tried. The partition belongs to the layout of the pinned snapshot.
func (s *Submitter) pickReplica(r *pb.SubmitRequest, tried []*scorer.ReplicaState) *scorer.ReplicaState {
	l := s.layout(r.GetService())
	if l == nil {
		return nil
	}
	now := s.config.Clock.Now()
	var best *scorer.ReplicaState
	for _, g := range l.Replicas(r.GetPartition()) {
		if g.Draining(now) || contains(tried, g) {
			continue
		}
		if best == nil || g.ExpectedLatency(now, 0) < best.ExpectedLatency(now, 0) {
			best = g
		}
	}
	return best
}

func contains(list []*scorer.ReplicaState, replica *scorer.ReplicaState) bool {
	for _, other := range list {
		if other == replica {
			return true
		}
	}
	return false
}
