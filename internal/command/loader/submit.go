package loader

import (
	"context"

	"github.com/google/uuid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	submitCommand struct {
		Entry      string `required:"" env:"STEPLOAD_ENTRY" help:"Caller address of the node to ask."`
		Credential string `required:"" env:"STEPLOAD_CREDENTIAL" help:"Bearer credential of the caller."`
		Service    string `required:"" help:"Service that runs the request."`
		Class      string `required:"" help:"Class of the request."`
		Partition  uint32 `help:"Partition whose leaf runs the request."`
		Payload    string `arg:"" help:"Payload, passed to the leaf unchanged."`
		RequestID  string `name:"request-id" help:"Request id (UUIDv7); one is made when none is given."`
	}
)

// Help returns the detailed help text, with an example.
func (v *submitCommand) Help() string {
	return "Example:\n  stepload submit --entry 127.30.1.1:7400 --credential skippers-token" +
		" --service towpath-desk --class book-stall --partition 1 'stall 7'"
}

// Run executes the command.
func (v *submitCommand) Run(ctx context.Context, s *session) error {
	if v.RequestID == "" {
		v.RequestID = uuid.Must(uuid.NewV7()).String()
	}
	answer, err := newClient(nil, 1).Submit(ctx, v.Entry, v.Credential, &pb.SubmitRequest{
		Service: v.Service, Class: v.Class, Partition: v.Partition, Payload: v.Payload, RequestId: v.RequestID,
	})
	if err != nil {
		return err
	}
	return s.printMessage(answer)
}
