package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	auditVerb struct {
		Key string `arg:"" optional:"" help:"Key as kind/name; all objects when left out."`
	}
)

// Help shows examples.
func (v *auditVerb) Help() string {
	return "Shows archived changes and those of deleted objects too.\n\n" +
		"Examples:\n  stepctl audit\n  stepctl audit service/towpath-desk --output json"
}

// Run implements the verb.
func (v *auditVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.ListChanges(ctx, request(s, &pb.ListChangesRequest{Key: v.Key}))
	if err != nil {
		return unreachable(err)
	}
	if err := check(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(response.Msg)
	}
	rows := make([]string, 0, len(response.Msg.GetChanges()))
	for _, c := range response.Msg.GetChanges() {
		rows = append(rows, auditRow(c))
	}
	return s.table("WHEN\tWHO\tWHAT\tBEFORE\tAFTER\tWHY\tCHANGE", rows)
}

func auditRow(c *pb.KeyedChange) string {
	change := c.GetChange()
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s\t%s",
		change.GetChangedAt().AsTime().Format(time.RFC3339), change.GetActor(), change.GetSummary(),
		change.GetVersionBefore(), c.GetVersionAfter(), change.GetReason(), change.GetChangeId())
}
