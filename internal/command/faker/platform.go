package faker

import (
	"context"
	"net/http"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/stand/storer"
)

type (
	platformVerb struct {
		Address        string `required:"" help:"IP and port of the object API."`
		ControlAddress string `required:"" help:"IP and port of the control port."`
		Seed           uint64 `default:"1" help:"Seed of the drawn faults."`
	}
)

// Help shows examples.
func (v *platformVerb) Help() string {
	return "Example:\n  stepfake platform --address 127.0.0.1:7000 --control-address 127.0.0.1:7001"
}

// Run implements the verb.
func (v *platformVerb) Run(ctx context.Context) error {
	s := storer.New(storer.Config{Clock: quartz.NewReal(), Seed: v.Seed})
	return serve(ctx, map[string]http.Handler{v.Address: s.Handler(), v.ControlAddress: s.ControlHandler()})
}
