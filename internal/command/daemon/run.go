package daemon

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/node/assembler"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/settings/filler"
)

type (
	runCommand struct {
		Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
	}
)

// Help returns the detailed help text, with examples.
func (v *runCommand) Help() string {
	return "Example:\n  stepd run --settings node-a1.json"
}

// Run executes the command.
func (v *runCommand) Run(s *streams) error {
	settings, err := readSettings(v.Settings)
	if err != nil {
		return err
	}
	filler.Fill(settings)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node := assembler.New(assembler.Config{
		Settings: settings,
		Store:    client.New(client.Config{URLs: settings.GetPlatformUrls()}),
		Clock:    quartz.NewReal(),
		Logger:   newLogger(s.errors, settings.GetLogLevel()).With("node", settings.GetNodeName()),
	})
	return node.Run(ctx)
}
