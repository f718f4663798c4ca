package server

import (
	"context"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// applyObject authorizes and makes one change of an object.
func (s *Server) applyObject(ctx context.Context, header string, r *pb.ApplyObjectRequest) *pb.ChangeOutcome {
	actor, err := s.authorizeApply(header, r.GetObject())
	if err != nil {
		return failed(r.GetChangeId(), err)
	}
	if err := checkApplicable(r.GetObject()); err != nil {
		return failed(r.GetChangeId(), err)
	}
	expected := r.GetExpectedVersion()
	if actor == authorizer.BootstrapName {
		expected = applier.NoVersion // the bootstrap token creates and never changes
	}
	return s.apply(ctx, applier.Change{
		ID: r.GetChangeId(), Actor: actor, Reason: r.GetReason(), ExpectedVersion: expected,
		Object: r.GetObject(), Summary: "apply " + keyer.Of(r.GetObject()),
	})
}

// deleteObject authorizes and makes one deletion.
func (s *Server) deleteObject(ctx context.Context, header string, r *pb.DeleteObjectRequest) *pb.ChangeOutcome {
	actor, err := s.config.Authorizer.Authorize(header, pb.Role_ROLE_OPERATOR)
	if err != nil {
		return failed(r.GetChangeId(), err)
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

// checkApplicable rejects the kinds that only the system itself writes.
func checkApplicable(o *pb.ConfigObject) error {
	switch o.GetSpec().(type) {
	case *pb.ConfigObject_Grant, *pb.ConfigObject_Page, *pb.ConfigObject_ChangeArchive:
		return coder.New(pb.ResultCode_RESULT_CODE_INVALID_OBJECT, "%s is written by the system alone", keyer.Of(o))
	}
	return nil
}

// apply carries a change out and logs it.
func (s *Server) apply(ctx context.Context, c applier.Change) *pb.ChangeOutcome {
	outcome := s.config.Applier.Apply(ctx, c)
	s.config.Logger.Info("change", "change_id", c.ID, "actor", c.Actor, "summary", c.Summary,
		"code", int(outcome.GetCode()), "version", outcome.GetVersion())
	return outcome
}
