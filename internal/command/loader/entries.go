package loader

import (
	"context"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/load/asker"
)

type (
	entriesVerb struct {
		Addresses []string `name:"entry" required:"" env:"STEPLOAD_ENTRY" help:"Caller address of a node; may be repeated."`
	}
)

// Help shows an example.
func (v *entriesVerb) Help() string {
	return "Example:\n  stepload entries --entry 127.30.1.1:7400"
}

// Run implements the verb.
func (v *entriesVerb) Run(ctx context.Context, s *session) error {
	answer, err := newAsker(v.Addresses, 1).Entries(ctx)
	if err != nil {
		return err
	}
	return s.print(answer)
}

func newAsker(addresses []string, seed uint64) *asker.Asker {
	return asker.New(asker.Config{Addresses: addresses, Clock: quartz.NewReal(), Seed: seed})
}
