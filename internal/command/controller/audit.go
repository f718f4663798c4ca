package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	auditCommand struct {
		Key string `arg:"" optional:"" help:"Key as kind/name; all objects when omitted."`
	}
)

// Help returns the detailed help text, with examples.
func (v *auditCommand) Help() string {
	return "Includes archived changes and changes of deleted objects.\n\n" +
		"Examples:\n  stepctl audit\n  stepctl audit service/towpath-desk --output json"
}

// Run executes the command.
func (v *auditCommand) Run(s *session) error {
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.client.ListChanges(ctx, newRequest(s, &pb.ListChangesRequest{Key: v.Key}))
	if err != nil {
		return unreachableError(err)
	}
	if err := errorOfCode(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printJSON(response.Msg)
	}
	rows := make([]string, 0, len(response.Msg.GetChanges()))
	for _, c := range response.Msg.GetChanges() {
		rows = append(rows, auditRow(c))
	}
	return s.printTable("WHEN\tWHO\tWHAT\tBEFORE\tAFTER\tWHY\tCHANGE", rows)
}

func auditRow(c *pb.KeyedChange) string {
	change := c.GetChange()
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s\t%s",
		change.GetChangedAt().AsTime().Format(time.RFC3339), change.GetActor(), change.GetSummary(),
		change.GetVersionBefore(), c.GetVersionAfter(), change.GetReason(), change.GetChangeId())
}
