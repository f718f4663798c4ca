package server

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	// maxGrantLifetime limits the lifetime of a grant and the quiet period after a director declined.
	maxGrantLifetime = 4 * time.Hour
)

// AgreeToRefusal records a director's answer to a page. A share above 0 stores a grant, a share of 0 declines.
func (s *Server) AgreeToRefusal(
	ctx context.Context, r *connect.Request[pb.AgreeToRefusalRequest],
) (*connect.Response[pb.AgreeToRefusalResponse], error) {
	director, err := s.authorizeDirector(r.Header().Get("Authorization"), r.Msg.GetService(), r.Msg.GetClass())
	if err != nil {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: failedOutcome(r.Msg.GetChangeId(), err)}), nil
	}
	if fieldErrors := validateAgreement(r.Msg); len(fieldErrors) > 0 {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{
			Outcome: invalidOutcome(r.Msg.GetChangeId(), "the agreement is not valid", fieldErrors),
		}), nil
	}
	if r.Msg.GetShare() == 0 {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: s.answerPage(ctx, director, r.Msg)}), nil
	}
	grant := s.newGrant(director, r.Msg)
	outcome := s.apply(ctx, applier.Change{
		ID: r.Msg.GetChangeId(), Actor: director, Reason: r.Msg.GetReason(), ExpectedVersion: applier.AnyVersion,
		Object: grant, Summary: "agree to refusals of " + r.Msg.GetService() + "/" + r.Msg.GetClass(),
	})
	if outcome.GetCode() == pb.ResultCode_RESULT_CODE_OK {
		s.answerPage(ctx, director, r.Msg)
	}
	return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: outcome, Grant: grant.GetGrant().GetName()}), nil
}

// RevokeGrant deletes a grant.
func (s *Server) RevokeGrant(
	ctx context.Context, r *connect.Request[pb.RevokeGrantRequest],
) (*connect.Response[pb.RevokeGrantResponse], error) {
	actor, err := s.config.Authorizer.Authorize(r.Header().Get("Authorization"),
		pb.Role_ROLE_DIRECTOR, pb.Role_ROLE_OPERATOR)
	if err != nil {
		return connect.NewResponse(&pb.RevokeGrantResponse{Outcome: failedOutcome(r.Msg.GetChangeId(), err)}), nil
	}
	key := keyer.Join(keyer.KindGrant, r.Msg.GetGrant())
	outcome := s.apply(ctx, applier.Change{
		ID: r.Msg.GetChangeId(), Actor: actor, Reason: r.Msg.GetReason(), ExpectedVersion: applier.AnyVersion,
		Key: key, Summary: "revoke " + key,
	})
	return connect.NewResponse(&pb.RevokeGrantResponse{Outcome: outcome}), nil
}

// authorizeDirector returns the director's name if the service lists this director.
func (s *Server) authorizeDirector(header, service, class string) (string, error) {
	director, err := s.config.Authorizer.Authorize(header, pb.Role_ROLE_DIRECTOR)
	if err != nil {
		return "", err
	}
	index := s.config.Keeper.Index()
	switch {
	case index.Service(service) == nil:
		return "", coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, "service %q is not configured", service)
	case index.Class(service, class) == nil:
		return "", coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_CLASS, "service %q has no class %q", service, class)
	case !slices.Contains(index.Service(service).GetDirectors(), director):
		return "", coder.New(pb.ResultCode_RESULT_CODE_NOT_NAMED_DIRECTOR,
			"service %q does not name %q as director", service, director)
	}
	return director, nil
}

// validateAgreement returns the errors of the request's fields.
func validateAgreement(r *pb.AgreeToRefusalRequest) []string {
	var fieldErrors []string
	if !(r.GetShare() >= 0 && r.GetShare() <= 1) {
		fieldErrors = append(fieldErrors, "share: must be from 0 (a no) to 1")
	}
	if d := r.GetLifetime(); !d.IsValid() || d.AsDuration() <= 0 || d.AsDuration() > maxGrantLifetime {
		fieldErrors = append(fieldErrors, "lifetime: must be above 0 and at most "+maxGrantLifetime.String())
	}
	if r.GetReason() == "" {
		fieldErrors = append(fieldErrors, "reason: must be given")
	}
	return fieldErrors
}

// newGrant returns the grant of the agreement. A grant is named after its class, so that a new agreement replaces the
// previous one.
func (s *Server) newGrant(director string, r *pb.AgreeToRefusalRequest) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_Grant{Grant: &pb.Grant{
		Name: keyer.ClassName(r.GetService(), r.GetClass()), Service: r.GetService(), Class: r.GetClass(),
		Share: r.GetShare(), Director: director, PageId: r.GetPageId(), Lifetime: r.GetLifetime(),
		ExpiresAt: timestamppb.New(s.config.Clock.Now().Add(r.GetLifetime().AsDuration())),
	}}}
}

// answerPage records the director's answer in the class's page. If the page was never stored, it is stored as
// answered.
func (s *Server) answerPage(ctx context.Context, director string, r *pb.AgreeToRefusalRequest) *pb.ChangeOutcome {
	stored := s.config.Keeper.Index().Page(r.GetService(), r.GetClass())
	answered := &pb.Page{
		PageId: r.GetPageId(), Service: r.GetService(), Class: r.GetClass(), OpenedAt: stored.GetOpenedAt(),
		Director: director, Answered: true, Agreed: r.GetShare() > 0, AnsweredAt: timestamppb.New(s.config.Clock.Now()),
	}
	if answered.GetPageId() == "" {
		answered.PageId = stored.GetPageId()
	}
	if !answered.GetAgreed() {
		answered.QuietFor = durationpb.New(r.GetLifetime().AsDuration())
	}
	object := &pb.ConfigObject{Spec: &pb.ConfigObject_Page{Page: answered}}
	return s.apply(ctx, applier.Change{
		ID: r.GetChangeId(), Actor: director, Reason: r.GetReason(), ExpectedVersion: applier.AnyVersion,
		Object: object, Summary: "answer " + keyer.Of(object),
	})
}
