// Package frontend is the command line of stepfront. Arguments flow in, a running node or an exit code flows
// out. Verbs are the fields of the one table below, which dispatch and help both read.
package frontend

import (
	"io"

	"github.com/alecthomas/kong"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName = "stepfront"
)

type (
	// Config holds what a Frontend needs.
	Config struct {
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
		// Getenv reads the environment.
		Getenv func(name string) string
	}

	// Frontend is one run of the program.
	Frontend struct {
		config Config
	}

	// verbs is the table of operations.
	verbs struct {
		Run   runVerb   `cmd:"" help:"Run the node until SIGTERM or SIGINT."`
		Check checkVerb `cmd:"" help:"Check the platform's settings file and print what it says."`
	}
)

// New returns a Frontend.
func New(c Config) *Frontend {
	return &Frontend{config: c}
}

// Run parses the arguments, runs the verb and returns the exit code.
func (f *Frontend) Run() int {
	return parser.New(parser.Config{
		Program: programName, Description: "The query tier's node on the users' platform: forwards requests to leaves.",
		Verbs: &verbs{}, Arguments: f.config.Arguments, Output: f.config.Output, Errors: f.config.Errors,
		Run: func(parsed *kong.Context) error { return parsed.Run(&f.config) },
	}).Run()
}
