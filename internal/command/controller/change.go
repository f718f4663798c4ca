package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	changeCommand struct {
		Key string `arg:"" help:"Key as kind/name, for example service/towpath-desk."`
		ID  string `arg:"" help:"Change id, as an earlier command printed it."`
	}
)

// Help returns the detailed help text, with examples.
func (v *changeCommand) Help() string {
	return "Exits with 0 when the change was accepted and with 1 when it is not in the audit trail.\n\n" +
		"Example:\n  stepctl change service/towpath-desk 0198c0de-0000-7000-8000-000000000000"
}

// Run executes the command.
func (v *changeCommand) Run(s *session) error {
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.client.GetChange(ctx, newRequest(s, &pb.GetChangeRequest{Key: v.Key, ChangeId: v.ID}))
	if err != nil {
		return unreachableError(err)
	}
	if err := errorOfCode(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printJSON(response.Msg)
	}
	c := response.Msg.GetChange()
	_, err = fmt.Fprintf(s.config.Output, "%s: accepted at %s by %s: %s\n",
		v.Key, c.GetChangedAt().AsTime().Format(time.RFC3339), c.GetActor(), c.GetReason())
	return err
}
