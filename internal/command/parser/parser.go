// Package parser parses a program's command line with kong, runs the chosen command and returns the exit
// code. All programs share it, so that their error messages have one form: each begins with the program's
// name, and one about the arguments refers to --help.
package parser

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

const (
	// ExitOK is the exit code of success.
	ExitOK = 0
	// ExitFailure is the exit code of a command that failed.
	ExitFailure = 1
	// ExitUsage is the exit code for invalid arguments.
	ExitUsage = 2
)

type (
	// Config holds what a Parser needs.
	Config struct {
		Program     string
		Description string
		// Commands is a pointer to the struct from which kong derives the commands, their flags and the help texts.
		Commands  any
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
		// Run executes the parsed command.
		Run func(parsed *kong.Context) error
		// ExitCode returns the exit code for an error of Run; when nil, it is ExitFailure for every error.
		ExitCode func(err error) int
	}

	// Parser parses and runs one command line.
	Parser struct {
		config Config
	}
)

// New returns a Parser.
func New(c Config) *Parser {
	if c.ExitCode == nil {
		c.ExitCode = func(error) int { return ExitFailure }
	}
	return &Parser{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (p *Parser) Run() int {
	exitCode := -1 // set when kong ends the program itself, for example after --help
	application, err := kong.New(p.config.Commands, kong.Name(p.config.Program), kong.Description(p.config.Description),
		kong.Writers(p.config.Output, p.config.Errors), kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		return p.fail(err, ExitFailure)
	}
	parsed, err := application.Parse(p.config.Arguments)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		return p.fail(fmt.Errorf("%w; see %s --help", err, p.config.Program), ExitUsage)
	}
	if err := p.config.Run(parsed); err != nil {
		return p.fail(err, p.config.ExitCode(err))
	}
	return ExitOK
}

func (p *Parser) fail(err error, code int) int {
	_, _ = fmt.Fprintf(p.config.Errors, "%s: %v\n", p.config.Program, err)
	return code
}
