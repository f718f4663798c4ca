// Package daemon implements the command line of stepd, which runs a node or checks its settings file.
package daemon

import (
	"io"
	"log/slog"

	"github.com/alecthomas/kong"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
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
		// Signals has received all signals since the start of the process.
		Signals *signaler.Signaler
	}

	// Daemon is one run of the program.
	Daemon struct {
		config Config
	}

	// commands lists the commands; kong derives their names, flags and help texts from its fields.
	commands struct {
		Run   runCommand   `cmd:"" help:"Run the node until SIGTERM or SIGINT."`
		Check checkCommand `cmd:"" help:"Check a settings file and name every invalid field."`
	}

	// streams holds the output streams of the commands, and the signals.
	streams struct {
		output  io.Writer
		errors  io.Writer
		signals *signaler.Signaler
	}
)

// New returns a Daemon.
func New(c Config) *Daemon {
	return &Daemon{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (d *Daemon) Run() int {
	commandLine := &commands{}
	return parser.New(parser.Config{
		Program: programName, Description: "The query tier's node: serves callers, operators and other nodes.",
		Commands: commandLine, Arguments: d.config.Arguments, Output: d.config.Output, Errors: d.config.Errors,
		Run: func(parsed *kong.Context) error {
			return parsed.Run(&streams{output: d.config.Output, errors: d.config.Errors, signals: d.config.Signals})
		},
	}).Run()
}

// newLogger returns a logger at the level; an unknown level means info.
func newLogger(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}
