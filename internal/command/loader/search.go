package loader

import (
	"context"

	"github.com/cockroachdb/errors"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	searchCommand struct {
		Entry      string   `required:"" env:"STEPLOAD_ENTRY" help:"Caller address of the node to ask."`
		Credential string   `required:"" env:"STEPLOAD_CREDENTIAL" help:"Bearer credential of the caller."`
		Service    string   `required:"" help:"Service to search."`
		Class      string   `required:"" help:"Class of the search."`
		Query      string   `arg:"" help:"Query, passed to the leaves unchanged."`
		Partitions []uint32 `help:"Partitions to search; all when none is given."`
		RequestID  string   `name:"request-id" help:"Request id; one is made when none is given."`
		Whole      bool     `help:"Fail with exit code 3 unless the answer includes every partition."`
	}
)

// Help returns the detailed help text, with an example.
func (v *searchCommand) Help() string {
	return "Example:\n  stepload search --entry 127.30.1.1:7400 --credential skippers-token" +
		" --service towpath-desk --class stalls 'free stalls at Olten'"
}

// Run executes the command.
func (v *searchCommand) Run(ctx context.Context, s *session) error {
	answer, err := newClient(nil, 1).Search(ctx, v.Entry, v.Credential, &pb.SearchRequest{
		Service: v.Service, Class: v.Class, Query: v.Query, Partitions: v.Partitions, RequestId: v.RequestID,
	})
	if err != nil {
		return err
	}
	if err := s.printMessage(answer); err != nil {
		return err
	}
	if v.Whole && answer.GetCode() != pb.ResultCode_RESULT_CODE_OK {
		return errors.Wrapf(errIncompleteAnswer, "code %d", answer.GetCode())
	}
	return nil
}
