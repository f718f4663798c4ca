package server

import (
	"context"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
)

// applyObject authorizes, validates and applies one change of an object.
func (s *Server) applyObject(ctx context.Context, header string, r *pb.ApplyObjectRequest) *pb.ChangeOutcome {
	actor, err := s.authorizeApply(header, r.GetObject())
	if err != nil {
		return failedOutcome(r.GetChangeId(), err)
	}
	if o := s.validateObject(ctx, r.GetChangeId(), r.GetObject()); o != nil {
		return o
	}
	expected := r.GetExpectedVersion()
	if actor == authorizer.BootstrapName {
		expected = applier.NoVersion // the bootstrap token only creates, never updates
	}
	return s.apply(ctx, applier.Change{
		ID: r.GetChangeId(), Actor: actor, Reason: r.GetReason(), ExpectedVersion: expected,
		Object: r.GetObject(), Summary: "apply " + keyer.Of(r.GetObject()),
	})
}

// deleteObject authorizes, validates and applies one deletion.
func (s *Server) deleteObject(ctx context.Context, header string, r *pb.DeleteObjectRequest) *pb.ChangeOutcome {
	actor, err := s.config.Authorizer.Authorize(header, pb.Role_ROLE_OPERATOR)
	if err != nil {
		return failedOutcome(r.GetChangeId(), err)
	}
	if o := s.validateDeletion(ctx, r.GetChangeId(), r.GetKey()); o != nil {
		return o
	}
	return s.apply(ctx, applier.Change{
		ID: r.GetChangeId(), Actor: actor, Reason: r.GetReason(), ExpectedVersion: r.GetExpectedVersion(),
		Key: r.GetKey(), Summary: "delete " + r.GetKey(),
	})
}

func (s *Server) authorizeApply(header string, o *pb.ConfigObject) (string, error) {
	if o.GetOperator() != nil {
		return s.config.Authorizer.AuthorizeCreateOperator(header)
	}
	return s.config.Authorizer.Authorize(header, pb.Role_ROLE_OPERATOR)
}

// apply applies a change and logs its outcome.
func (s *Server) apply(ctx context.Context, c applier.Change) *pb.ChangeOutcome {
	outcome := s.config.Applier.Apply(ctx, c)
	s.config.Logger.Info("change", "change_id", c.ID, "actor", c.Actor, "summary", c.Summary,
		"code", int(outcome.GetCode()), "version", outcome.GetVersion())
	return outcome
}
