package controller

import (
	"fmt"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	listVerb struct {
		Kind    string `arg:"" optional:"" help:"Kind, for example service."`
		Deleted bool   `help:"Include deleted objects."`
	}
)

// Help shows examples.
func (v *listVerb) Help() string {
	return "Examples:\n  stepctl list\n  stepctl list class --deleted"
}

// Run implements the verb.
func (v *listVerb) Run(s *session) error {
	objects, err := s.list(v.Kind, v.Deleted)
	if err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(&pb.ListObjectsResponse{Code: pb.ResultCode_RESULT_CODE_OK, Objects: objects})
	}
	rows := make([]string, 0, len(objects))
	for _, o := range objects {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%t", keyer.Of(o), o.GetVersion(), o.GetDeleted()))
	}
	return s.table("KEY\tVERSION\tDELETED", rows)
}

// list reads the objects of one kind, or all when it is empty.
func (s *session) list(kind string, deleted bool) ([]*pb.ConfigObject, error) {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.ListObjects(ctx, request(s, &pb.ListObjectsRequest{Kind: kind, IncludeDeleted: deleted}))
	if err != nil {
		return nil, unreachable(err)
	}
	if err := check(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return nil, err
	}
	return response.Msg.GetObjects(), nil
}
