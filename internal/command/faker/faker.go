// Package faker is the command line of stepfake, the stand-ins for the platform and for leaves. Each
// verb serves until SIGTERM or SIGINT; faults are switched over its control port.
package faker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

const (
	programName       = "stepfake"
	exitOK            = 0
	exitFailure       = 1
	exitUsage         = 2
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

	// verbs is the table of operations.
	verbs struct {
		Platform platformVerb `cmd:"" help:"Serve the platform's object API from memory."`
		Upstream upstreamVerb `cmd:"" help:"Serve leaves that a configuration file describes."`
	}
)

// New returns a Faker.
func New(c Config) *Faker {
	return &Faker{config: c}
}

// Run parses the arguments, runs the verb and returns the exit code.
func (f *Faker) Run() int {
	exited := -1
	parser, err := kong.New(&verbs{}, kong.Name(programName),
		kong.Description("Stand-ins for the platform and for leaves, for tests and trials."),
		kong.Writers(f.config.Output, f.config.Errors), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		return f.fail(err, exitFailure)
	}
	parsed, err := parser.Parse(f.config.Arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return f.fail(fmt.Errorf("%w; see %s --help", err, programName), exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		return f.fail(err, exitFailure)
	}
	return exitOK
}

func (f *Faker) fail(err error, code int) int {
	_, _ = fmt.Fprintf(f.config.Errors, "%s: %v\n", programName, err)
	return code
}

// serve serves each handler on its address until the context ends.
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
