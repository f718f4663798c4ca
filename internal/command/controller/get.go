package controller

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	getCommand struct {
		Key string `arg:"" help:"Key as kind/name, for example service/towpath-desk."`
	}
)

// Help returns the detailed help text, with examples.
func (v *getCommand) Help() string {
	return "Example:\n  stepctl get class/towpath-desk.stalls"
}

// Run executes the command.
func (v *getCommand) Run(s *session) error {
	o, err := s.get(v.Key)
	if err != nil {
		return err
	}
	return s.printJSON(o)
}

// get reads one object; for a deleted one it returns the tombstone.
func (s *session) get(key string) (*pb.ConfigObject, error) {
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.client.GetObject(ctx, newRequest(s, &pb.GetObjectRequest{Key: key}))
	if err != nil {
		return nil, unreachableError(err)
	}
	if err := errorOfCode(response.Msg.GetCode(), response.Msg.GetMessage()); err != nil {
		return nil, err
	}
	return response.Msg.GetObject(), nil
}
