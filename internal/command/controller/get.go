package controller

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	getVerb struct {
		Key string `arg:"" help:"Key as kind/name, for example service/towpath-desk."`
	}
)

// Help shows examples.
func (v *getVerb) Help() string {
	return "Example:\n  stepctl get class/towpath-desk.stalls"
}

// Run implements the verb.
func (v *getVerb) Run(s *session) error {
	o, err := s.get(v.Key)
	if err != nil {
		return err
	}
	return s.json(o)
}

// get reads one object; a deleted one comes back as its tombstone.
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
