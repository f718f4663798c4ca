package faker

import (
	"context"
	"net/http"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/fake/platformfaker"
)

type (
	platformCommand struct {
		Address        string `required:"" help:"IP and port of the object API."`
		ControlAddress string `required:"" help:"IP and port of the control port."`
		Seed           uint64 `default:"1" help:"Seed of the random faults."`
	}
)

// Help returns the detailed help text, with examples.
func (v *platformCommand) Help() string {
	return "Example:\n  stepfake platform --address 127.0.0.1:7000 --control-address 127.0.0.1:7001"
}

// Run executes the command.
func (v *platformCommand) Run(ctx context.Context) error {
	s := platformfaker.New(platformfaker.Config{Clock: quartz.NewReal(), Seed: v.Seed})
	return serve(ctx, map[string]http.Handler{v.Address: s.Handler(), v.ControlAddress: s.ControlHandler()})
}
