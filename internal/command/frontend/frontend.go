// Package frontend implements the command line of stepfront, which runs a node on the users' platform or
// checks the platform's settings file.
package frontend

import (
	"io"

	"github.com/alecthomas/kong"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
)

const (
	programName = "stepfront"
)

type (
	// Config holds what a Frontend needs.
	Config struct {
		Arguments []string
		// Input is the standard input.
		Input  io.Reader
		Output io.Writer
		Errors io.Writer
		// Getenv returns the value of an environment variable.
		Getenv func(name string) string
		// Signals has received all signals since the start of the process.
		Signals *signaler.Signaler
	}

	// Frontend is one run of the program.
	Frontend struct {
		config Config
	}

	// commands lists the commands; kong derives their names, flags and help texts from its fields.
	commands struct {
		Run   runCommand   `cmd:"" help:"Run the node until SIGTERM or SIGINT."`
		Check checkCommand `cmd:"" help:"Check the platform's settings file, or a configuration before it is sent."`
	}
)

// New returns a Frontend.
func New(c Config) *Frontend {
	return &Frontend{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (f *Frontend) Run() int {
	return parser.New(parser.Config{
		Program: programName, Description: "The query tier's node on the users' platform: forwards requests to leaves.",
		Commands: &commands{}, Arguments: f.config.Arguments, Output: f.config.Output, Errors: f.config.Errors,
		Run: func(parsed *kong.Context) error { return parsed.Run(&f.config) },
	}).Run()
}
