package controller

import (
	"fmt"
	"sort"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	statusCommand struct {
		Leaves   bool `xor:"what" help:"Show the leaves that the node owns, with their limits."`
		Versions bool `xor:"what" help:"Show the version of each object in force at the node."`
	}
)

// Help returns the detailed help text, with examples.
func (v *statusCommand) Help() string {
	return "Asks the first node of --node that answers.\n\n" +
		"Examples:\n  stepctl status\n  stepctl --node 127.0.0.1:7200 status --leaves\n  stepctl status --versions"
}

// Run executes the command.
func (v *statusCommand) Run(s *session) error {
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.client.GetStatus(ctx, newRequest(s, &pb.GetStatusRequest{}))
	if err != nil {
		return unreachableError(err)
	}
	status := response.Msg
	if err := errorOfCode(status.GetCode(), "node returned no status"); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printJSON(status)
	}
	if v.Leaves {
		return s.printTable("LEAF\tLIMIT\tIN FLIGHT\tCOLD\tDRAINING\tREACHABLE", leafRows(status))
	}
	if v.Versions {
		return s.printTable("KEY\tVERSION", versionRows(status))
	}
	return s.printTable("MEMBER\tZONE\tSTATE\tCALLER ADDRESS", memberRows(status))
}

func versionRows(status *pb.GetStatusResponse) []string {
	rows := make([]string, 0, len(status.GetConfigVersions()))
	for key, version := range status.GetConfigVersions() {
		rows = append(rows, fmt.Sprintf("%s\t%d", key, version))
	}
	sort.Strings(rows)
	return rows
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
