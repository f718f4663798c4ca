package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	changeVerb struct {
		Key string `arg:"" help:"Key as kind/name, for example service/towpath-desk."`
		ID  string `arg:"" help:"Change id, as an earlier command printed it."`
	}
)

// Help shows examples.
func (v *changeVerb) Help() string {
	return "Exits with 0 when the change was accepted and with 1 when it is not in the audit trail.\n\n" +
		"Example:\n  stepctl change service/towpath-desk 0198c0de-0000-7000-8000-000000000000"
}

// Run implements the verb.
func (v *changeVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.GetChange(ctx, request(s, &pb.GetChangeRequest{Key: v.Key, ChangeId: v.ID}))
	if err != nil {
		return unreachable(err)
	}
	if err := check(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(response.Msg)
	}
	c := response.Msg.GetChange()
	_, err = fmt.Fprintf(s.config.Output, "%s: accepted at %s by %s: %s\n",
		v.Key, c.GetChangedAt().AsTime().Format(time.RFC3339), c.GetActor(), c.GetReason())
	return err
}
