package loader

import (
	"context"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/load/client"
)

type (
	entriesCommand struct {
		Addresses []string `name:"entry" required:"" env:"STEPLOAD_ENTRY" help:"Caller address of a node; may be repeated."`
	}
)

// Help returns the detailed help text, with an example.
func (v *entriesCommand) Help() string {
	return "Example:\n  stepload entries --entry 127.30.1.1:7400"
}

// Run executes the command.
func (v *entriesCommand) Run(ctx context.Context, s *session) error {
	answer, err := newClient(v.Addresses, 1).Entries(ctx)
	if err != nil {
		return err
	}
	return s.printMessage(answer)
}

func newClient(addresses []string, seed uint64) *client.Client {
	return client.New(client.Config{Addresses: addresses, Clock: quartz.NewReal(), Seed: seed})
}
