// Package faker implements the command line of stepfake, which serves fakes of the platform and of leaves.
// Each command serves until SIGTERM or SIGINT; faults are set through its control port.
package faker

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName       = "stepfake"
	readHeaderTimeout = 5 * time.Second
)

type (
	// Config holds what a Faker needs.
	Config struct {
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
	}

	// Faker is one run of the program.
	Faker struct {
		config Config
	}

	// commands lists the commands; kong derives their names, flags and help texts from its fields.
	commands struct {
		Platform platformCommand `cmd:"" help:"Serve the platform's object API from memory."`
		Upstream upstreamCommand `cmd:"" help:"Serve leaves that a configuration file describes."`
	}
)

// New returns a Faker.
func New(c Config) *Faker {
	return &Faker{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (f *Faker) Run() int {
	commandLine := &commands{}
	return parser.New(parser.Config{
		Program: programName, Description: "Fakes of the platform and of leaves, for tests and trials.",
		Commands: commandLine, Arguments: f.config.Arguments, Output: f.config.Output, Errors: f.config.Errors,
		Run: func(parsed *kong.Context) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			parsed.BindTo(ctx, (*context.Context)(nil))
			return parsed.Run()
		},
	}).Run()
}

// serve serves each handler on its address until the context ends or a server fails.
func serve(ctx context.Context, handlers map[string]http.Handler) error {
	failures := make(chan error, len(handlers))
	for address, h := range handlers {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
		defer func() { _ = server.Close() }()
		go func() { failures <- server.Serve(listener) }()
	}
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		return nil
	}
}
