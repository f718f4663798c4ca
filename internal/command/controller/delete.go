package controller

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	deleteCommand struct {
		Key     string `arg:"" help:"Key as kind/name."`
		Version int64  `default:"-1" help:"Version that the object must have; -1 means the version now in force."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Help returns the detailed help text, with examples.
func (v *deleteCommand) Help() string {
	return "An object that others refer to cannot be deleted; the error names them.\n\n" +
		"Example:\n  stepctl delete caller/skippers --reason 'left us'"
}

// Run executes the command.
func (v *deleteCommand) Run(s *session) error {
	ctx, cancel := s.callContext()
	defer cancel()
	id := newChangeID()
	response, err := s.client.DeleteObject(ctx, newRequest(s, &pb.DeleteObjectRequest{
		Key: v.Key, ExpectedVersion: v.Version, ChangeId: id, Reason: v.Reason,
	}))
	if err != nil {
		return unansweredChangeError(err, v.Key, id)
	}
	return s.printOutcome(v.Key, s.confirmedOutcome(response.Msg.GetOutcome(), v.Version))
}
