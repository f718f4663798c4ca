package controller

import (
	"fmt"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	listCommand struct {
		Kind    string `arg:"" optional:"" help:"Kind, for example service."`
		Deleted bool   `help:"Include deleted objects."`
	}
)

// Help returns the detailed help text, with examples.
func (v *listCommand) Help() string {
	return "Examples:\n  stepctl list\n  stepctl list class --deleted"
}

// Run executes the command.
func (v *listCommand) Run(s *session) error {
	objects, err := s.list(v.Kind, v.Deleted)
	if err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printJSON(&pb.ListObjectsResponse{Code: pb.ResultCode_RESULT_CODE_OK, Objects: objects})
	}
	rows := make([]string, 0, len(objects))
	for _, o := range objects {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%t", keyer.Of(o), o.GetVersion(), o.GetDeleted()))
	}
	return s.printTable("KEY\tVERSION\tDELETED", rows)
}

// list reads the objects of one kind, or all when it is empty.
func (s *session) list(kind string, deleted bool) ([]*pb.ConfigObject, error) {
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.client.ListObjects(ctx, newRequest(s, &pb.ListObjectsRequest{Kind: kind, IncludeDeleted: deleted}))
	if err != nil {
		return nil, unreachableError(err)
	}
	if err := errorOfCode(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return nil, err
	}
	return response.Msg.GetObjects(), nil
}
