// Package daemon is the command line of stepd. Arguments flow in, a running node or an exit code flows
// out. Verbs are the fields of the one table below, which dispatch and help both read.
package daemon

import (
	"io"
	"log/slog"

	"github.com/alecthomas/kong"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName = "stepd"
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
	return parser.New(parser.Config{
		Program: programName, Description: "The query tier's node: serves callers, operators and other nodes.",
		Verbs: table, Arguments: d.config.Arguments, Output: d.config.Output, Errors: d.config.Errors,
		Run: func(parsed *kong.Context) error {
			return parsed.Run(&streams{output: d.config.Output, errors: d.config.Errors})
		},
	}).Run()
}

func newLogger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}
