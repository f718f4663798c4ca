// Package loader implements the command line of stepload, which sends single requests as a caller does,
// reads and sets the control ports of the fakes, and generates open-loop load and reports on it.
package loader

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName = "stepload"
	// exitIncomplete is the exit code when --whole is given and the answer lacks partitions.
	exitIncomplete = 3
)

var errIncompleteAnswer = errors.New("the answer does not include every partition")

type (
	// Config holds what a Loader needs.
	Config struct {
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
	}

	// Loader is one run of the program.
	Loader struct {
		config Config
	}

	// commands lists the commands; kong derives their names, flags and help texts from its fields.
	commands struct {
		Entries entriesCommand `cmd:"" help:"Print the addresses to which a caller should send its requests."`
		Search  searchCommand  `cmd:"" help:"Send one search and print its answer."`
		Submit  submitCommand  `cmd:"" help:"Send one non-idempotent request and print its answer."`
		Control controlCommand `cmd:"" help:"Read from or post to a control port of the fakes."`
		Run     runCommand     `cmd:"" help:"Send open-loop load to the entries and report the answers."`
		Direct  directCommand  `cmd:"" help:"Send the same load directly to the leaves, without the tier."`
		Plot    plotCommand    `cmd:"" help:"Plot the timeline of a report."`
	}
)

// New returns a Loader.
func New(c Config) *Loader {
	return &Loader{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (l *Loader) Run() int {
	commandLine := &commands{}
	return parser.New(parser.Config{
		Program: programName, Description: "Caller client and open-loop load generator for the query tier.",
		Commands: commandLine, Arguments: l.config.Arguments, Output: l.config.Output, Errors: l.config.Errors,
		Run: func(parsed *kong.Context) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			parsed.BindTo(ctx, (*context.Context)(nil))
			return parsed.Run(&session{output: l.config.Output, progress: l.config.Errors})
		},
		ExitCode: exitCodeOf,
	}).Run()
}

func exitCodeOf(err error) int {
	if errors.Is(err, errIncompleteAnswer) {
		return exitIncomplete
	}
	return parser.ExitFailure
}
