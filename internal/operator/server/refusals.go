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
	// longestGrant bounds the lifetime of a grant, and for how long a no keeps a class quiet.
	longestGrant = 4 * time.Hour
)

// AgreeToRefusal implements the RPC.
func (s *Server) AgreeToRefusal(
	ctx context.Context, r *connect.Request[pb.AgreeToRefusalRequest],
) (*connect.Response[pb.AgreeToRefusalResponse], error) {
	director, err := s.authorizeDirector(r.Header().Get("Authorization"), r.Msg.GetService(), r.Msg.GetClass())
	if err != nil {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: failed(r.Msg.GetChangeId(), err)}), nil
	}
	if wrong := checkAgreement(r.Msg); len(wrong) > 0 {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{
			Outcome: invalid(r.Msg.GetChangeId(), "the agreement is not valid", wrong),
		}), nil
	}
	if r.Msg.GetShare() == 0 {
		return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: s.answerPage(ctx, director, r.Msg)}), nil
	}
	grant := s.grantOf(director, r.Msg)
	outcome := s.apply(ctx, applier.Change{
		ID: r.Msg.GetChangeId(), Actor: director, Reason: r.Msg.GetReason(), ExpectedVersion: applier.AnyVersion,
		Object: grant, Summary: "agree to refusals of " + r.Msg.GetService() + "/" + r.Msg.GetClass(),
	})
	if outcome.GetCode() == pb.ResultCode_RESULT_CODE_OK {
		s.answerPage(ctx, director, r.Msg)
	}
	return connect.NewResponse(&pb.AgreeToRefusalResponse{Outcome: outcome, Grant: grant.GetGrant().GetName()}), nil
}

// RevokeGrant implements the RPC.
func (s *Server) RevokeGrant(
	ctx context.Context, r *connect.Request[pb.RevokeGrantRequest],
) (*connect.Response[pb.RevokeGrantResponse], error) {
	actor, err := s.config.Authorizer.Authorize(r.Header().Get("Authorization"),
		pb.Role_ROLE_DIRECTOR, pb.Role_ROLE_OPERATOR)
	if err != nil {
		return connect.NewResponse(&pb.RevokeGrantResponse{Outcome: failed(r.Msg.GetChangeId(), err)}), nil
	}
	key := keyer.Join(keyer.KindGrant, r.Msg.GetGrant())
	outcome := s.apply(ctx, applier.Change{
		ID: r.Msg.GetChangeId(), Actor: actor, Reason: r.Msg.GetReason(), ExpectedVersion: applier.AnyVersion,
		Key: key, Summary: "revoke " + key,
	})
	return connect.NewResponse(&pb.RevokeGrantResponse{Outcome: outcome}), nil
}

// authorizeDirector returns the director's name if the service names the director.
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

func checkAgreement(r *pb.AgreeToRefusalRequest) []string {
	var wrong []string
	if !(r.GetShare() >= 0 && r.GetShare() <= 1) {
		wrong = append(wrong, "share: must be from 0 (a no) to 1")
	}
	if d := r.GetLifetime(); !d.IsValid() || d.AsDuration() <= 0 || d.AsDuration() > longestGrant {
		wrong = append(wrong, "lifetime: must be above 0 and at most "+longestGrant.String())
	}
	if r.GetReason() == "" {
		wrong = append(wrong, "reason: must be given")
	}
	return wrong
}

// grantOf returns the grant. There is one for each class; a new agreement takes the place of the old.
func (s *Server) grantOf(director string, r *pb.AgreeToRefusalRequest) *pb.ConfigObject {
	return &pb.ConfigObject{Spec: &pb.ConfigObject_Grant{Grant: &pb.Grant{
		Name: keyer.ClassName(r.GetService(), r.GetClass()), Service: r.GetService(), Class: r.GetClass(),
		Share: r.GetShare(), Director: director, PageId: r.GetPageId(), Lifetime: r.GetLifetime(),
		ExpiresAt: timestamppb.New(s.config.Clock.Now().Add(r.GetLifetime().AsDuration())),
	}}}
}

// answerPage records the director's answer to the class's page. A page that was never stored is
// recorded as answered too.
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
