package controller

import (
	"strings"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	revokeVerb struct {
		Class  string `arg:"" help:"Class as service/class."`
		Reason string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Help shows examples.
func (v *revokeVerb) Help() string {
	return "Example:\n  stepctl revoke towpath-desk/stalls --reason 'peak is over'"
}

// Run implements the verb.
func (v *revokeVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	id := newChangeID()
	grant := strings.Replace(v.Class, "/", ".", 1)
	response, err := s.client.RevokeGrant(ctx, request(s, &pb.RevokeGrantRequest{
		Grant: grant, ChangeId: id, Reason: v.Reason,
	}))
	if err != nil {
		return unanswered(err, "grant/"+grant, id)
	}
	return s.report("grant/"+grant, s.settled(response.Msg.GetOutcome(), anyVersion))
}
