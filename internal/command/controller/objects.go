package controller

import (
	"fmt"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	getVerb struct {
		Key string `arg:"" help:"Key as kind/name, for example service/towpath-desk."`
	}

	listVerb struct {
		Kind    string `arg:"" optional:"" help:"Kind, for example service."`
		Deleted bool   `help:"Include deleted objects."`
	}

	deleteVerb struct {
		Key     string `arg:"" help:"Key as kind/name."`
		Version int64  `default:"-1" help:"Version that the object must have; -1 takes the version at hand."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Run implements the verb.
func (v *getVerb) Run(s *session) error {
	o, err := s.get(v.Key)
	if err != nil {
		return err
	}
	return s.json(o)
}

// Run implements the verb.
func (v *listVerb) Run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.ListObjects(ctx, request(s, &pb.ListObjectsRequest{Kind: v.Kind, IncludeDeleted: v.Deleted}))
	if err != nil {
		return unreachable(err)
	}
	if err := check(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(response.Msg)
	}
	rows := make([]string, 0, len(response.Msg.GetObjects()))
	for _, o := range response.Msg.GetObjects() {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%t", keyer.Of(o), o.GetVersion(), o.GetDeleted()))
	}
	return s.table("KEY\tVERSION\tDELETED", rows)
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
	return s.report(v.Key, response.Msg.GetOutcome())
}

func (s *session) get(key string) (*pb.ConfigObject, error) {
	ctx, cancel := s.context()
	defer cancel()
	response, err := s.client.GetObject(ctx, request(s, &pb.GetObjectRequest{Key: key}))
	if err != nil {
		return nil, unreachable(err)
	}
	if err := check(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return nil, err
	}
	return response.Msg.GetObject(), nil
}
