package controller

import (
	"fmt"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	statusVerb struct {
		Leaves bool `help:"Show the leaves that the node owns."`
	}
)

// Run implements the verb.
func (v *statusVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.GetStatus(ctx, request(s, &pb.GetStatusRequest{}))
	if err != nil {
		return unreachable(err)
	}
	status := response.Msg
	if err := check(status.GetCode(), "status not given"); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(status)
	}
	if v.Leaves {
		return s.table("LEAF\tLIMIT\tIN FLIGHT\tCOLD\tDRAINING\tREACHABLE", leafRows(status))
	}
	return s.table("MEMBER\tZONE\tSTATE\tCALLER ADDRESS", memberRows(status))
}

func memberRows(status *pb.GetStatusResponse) []string {
	rows := make([]string, 0, len(status.GetMembers()))
	for _, m := range status.GetMembers() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s",
			m.GetName(), m.GetAvailabilityZone(), m.GetState(), m.GetCallerAddress()))
	}
	return rows
}

func leafRows(status *pb.GetStatusResponse) []string {
	rows := make([]string, 0, len(status.GetLeaves()))
	for _, l := range status.GetLeaves() {
		rows = append(rows, fmt.Sprintf("%s\t%.1f\t%d\t%t\t%t\t%t",
			l.GetLeaf(), l.GetLimit(), l.GetInFlight(), l.GetCold(), l.GetDraining(), l.GetReachable()))
	}
	return rows
}
