package daemon

import (
	"context"
	"log/slog"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
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
	ctx := s.signals.Context()
	logger := newLogger(s.errors, settings.GetLogLevel()).With("node", settings.GetNodeName())
	go logReloads(ctx, s.signals, logger)
	node := assembler.New(assembler.Config{
		Settings: settings,
		Store:    client.New(client.Config{URLs: settings.GetPlatformUrls()}),
		Clock:    quartz.NewReal(),
		Logger:   logger,
	})
	return node.Run(ctx)
}

// logReloads logs each SIGHUP. The settings are read at the start only, and the signal must not end the node.
func logReloads(ctx context.Context, signals *signaler.Signaler, logger *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.Reloads():
			logger.Warn("SIGHUP changes nothing; the settings are read at the start of the node")
		}
	}
}
