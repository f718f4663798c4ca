// Package parser is what the command lines of all programs share. A table of verbs and the arguments flow
// in; the verb runs and the exit code flows out. Errors begin with the program's name, and an error in the
// arguments points at help.
package parser

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

const (
	// ExitOK is the exit code of success.
	ExitOK = 0
	// ExitFailure is the exit code of a verb that failed.
	ExitFailure = 1
	// ExitUsage is the exit code of arguments that were not understood.
	ExitUsage = 2
)

type (
	// Config holds what a Parser needs.
	Config struct {
		Program     string
		Description string
		// Verbs is a pointer to the table of operations, which dispatch and help both read.
		Verbs     any
		Arguments []string
		Output    io.Writer
		Errors    io.Writer
		// Run runs the verb that was parsed.
		Run func(parsed *kong.Context) error
		// ExitCode gives the exit code of an error of Run; nil means ExitFailure.
		ExitCode func(err error) int
	}

	// Parser is one run of a command line.
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

// Run parses the arguments, runs the verb and returns the exit code.
func (p *Parser) Run() int {
	exited := -1
	line, err := kong.New(p.config.Verbs, kong.Name(p.config.Program), kong.Description(p.config.Description),
		kong.Writers(p.config.Output, p.config.Errors), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		return p.fail(err, ExitFailure)
	}
	parsed, err := line.Parse(p.config.Arguments)
	if exited >= 0 {
		return exited
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
