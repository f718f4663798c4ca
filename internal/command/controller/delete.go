package controller

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	deleteVerb struct {
		Key     string `arg:"" help:"Key as kind/name."`
		Version int64  `default:"-1" help:"Version that the object must have; -1 takes the version at hand."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Help shows examples.
func (v *deleteVerb) Help() string {
	return "An object that others refer to cannot be deleted; the error names them.\n\n" +
		"Example:\n  stepctl delete caller/skippers --reason 'left us'"
}

// Run implements the verb.
func (v *deleteVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	id := newChangeID()
	response, err := s.client.DeleteObject(ctx, request(s, &pb.DeleteObjectRequest{
		Key: v.Key, ExpectedVersion: v.Version, ChangeId: id, Reason: v.Reason,
	}))
	if err != nil {
		return unanswered(err, v.Key, id)
	}
	return s.report(v.Key, s.settled(response.Msg.GetOutcome(), v.Version))
}
