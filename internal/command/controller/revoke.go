package controller

import (
	"strings"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	revokeCommand struct {
		Class  string `arg:"" help:"Class as service/class."`
		Reason string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Help returns the detailed help text, with examples.
func (v *revokeCommand) Help() string {
	return "Example:\n  stepctl revoke towpath-desk/stalls --reason 'peak is over'"
}

// Run executes the command.
func (v *revokeCommand) Run(s *session) error {
	ctx, cancel := s.callContext()
	defer cancel()
	id := newChangeID()
	grant := strings.Replace(v.Class, "/", ".", 1)
	response, err := s.client.RevokeGrant(ctx, newRequest(s, &pb.RevokeGrantRequest{
		Grant: grant, ChangeId: id, Reason: v.Reason,
	}))
	if err != nil {
		return unansweredChangeError(err, "grant/"+grant, id)
	}
	return s.printOutcome("grant/"+grant, s.confirmedOutcome(response.Msg.GetOutcome(), anyVersion))
}
