// Package daemon is the command line of stepd. Arguments flow in, a running node or an exit code flows
// out. Verbs are the fields of the one table below, which dispatch and help both read.
package daemon

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/alecthomas/kong"
)

const (
	programName = "stepd"
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type (
	// Config holds what a Daemon needs.
	Config struct {
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
	}

	// Daemon is one run of the program.
	Daemon struct {
		config Config
	}

	// verbs is the table of operations.
	verbs struct {
		Run   runVerb   `cmd:"" help:"Run the node until SIGTERM or SIGINT."`
		Check checkVerb `cmd:"" help:"Check a settings file and name every wrong field."`
	}

	// streams is what verbs may write to.
	streams struct {
		output io.Writer
		errors io.Writer
	}
)

// New returns a Daemon.
func New(c Config) *Daemon {
	return &Daemon{config: c}
}

// Run parses the arguments, runs the verb and returns the exit code.
func (d *Daemon) Run() int {
	table := &verbs{}
	exited := -1
	parser, err := kong.New(table, kong.Name(programName),
		kong.Description("The query tier's node: serves callers, operators and other nodes."),
		kong.Writers(d.config.Output, d.config.Errors), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		return d.fail(err, exitFailure)
	}
	parsed, err := parser.Parse(d.config.Arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return d.fail(fmt.Errorf("%w; see %s --help", err, programName), exitUsage)
	}
	if err := parsed.Run(&streams{output: d.config.Output, errors: d.config.Errors}); err != nil {
		return d.fail(err, exitFailure)
	}
	return exitOK
}

func (d *Daemon) fail(err error, code int) int {
	_, _ = fmt.Fprintf(d.config.Errors, "%s: %v\n", programName, err)
	return code
}

func newLogger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}
