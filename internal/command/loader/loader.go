// Package loader is the command line of stepload: single calls as a caller makes them, the control
// ports of the stand-ins, and open-loop load with its report. Verbs are the fields of the one table
// below, which dispatch and help both read.
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
	// exitNotWhole says that the answer is not the whole answer that was demanded.
	exitNotWhole = 3
)

var errNotWhole = errors.New("the answer is not whole")

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

	// verbs is the table of operations.
	verbs struct {
		Entries entriesVerb `cmd:"" help:"Ask which addresses to use."`
		Search  searchVerb  `cmd:"" help:"Send one search and print its answer."`
		Submit  submitVerb  `cmd:"" help:"Send one non-idempotent request and print its answer."`
		Control controlVerb `cmd:"" help:"Read or set a control port of the stand-ins."`
		Run     runVerb     `cmd:"" help:"Send open-loop load to the entries and report what came back."`
		Direct  directVerb  `cmd:"" help:"Send the same load directly to the leaves, without the tier."`
		Plot    plotVerb    `cmd:"" help:"Draw the timeline of a report."`
	}
)

// New returns a Loader.
func New(c Config) *Loader {
	return &Loader{config: c}
}

// Run parses the arguments, runs the verb and returns the exit code.
func (l *Loader) Run() int {
	table := &verbs{}
	return parser.New(parser.Config{
		Program: programName, Description: "Caller and open-loop load for the query tier.",
		Verbs: table, Arguments: l.config.Arguments, Output: l.config.Output, Errors: l.config.Errors,
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
	if errors.Is(err, errNotWhole) {
		return exitNotWhole
	}
	return parser.ExitFailure
}
