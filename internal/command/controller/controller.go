// Package controller implements the command line of stepctl, with which operators read and change the
// configuration, answer pages and show the status of nodes. It calls the nodes' OperatorService.
package controller

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName = "stepctl"
	// exitConflict is the exit code of a version conflict: another change was accepted first.
	exitConflict = 3
	// exitOutcomeUnknown is the exit code when it is not known whether a change was made.
	exitOutcomeUnknown = 4
	// exitUnavailable is the exit code when no node can be reached or the platform is unavailable.
	exitUnavailable = 5
	// exitDenied is the exit code when the operator is not authenticated or lacks the role.
	exitDenied = 6
)

type (
	// Config holds what a Controller needs.
	Config struct {
		Arguments []string
		Input     io.Reader
		Output    io.Writer
		Errors    io.Writer
	}

	// Controller is one run of the program.
	Controller struct {
		config Config
	}

	// usageError is an error in the arguments that kong does not detect.
	usageError struct {
		error
	}

	// commands has the global flags and the commands; kong derives names, flags and help texts from its fields.
	commands struct {
		Node   []string `required:"" env:"STEPCTL_NODE" placeholder:"IP:PORT" help:"Operator addresses, tried in turn."`
		Token  string   `env:"STEPCTL_TOKEN" help:"Bearer token."`
		CAFile string   `env:"STEPCTL_CA_FILE" help:"Speak TLS and trust the certificates in this PEM file."`
		Output string   `enum:"table,json" default:"table" help:"Output format: table or json."`

		Apply     applyCommand     `cmd:"" help:"Apply the objects of a configuration file."`
		Diff      diffCommand      `cmd:"" help:"Show what apply would change."`
		Get       getCommand       `cmd:"" help:"Show one object."`
		List      listCommand      `cmd:"" help:"List objects."`
		Delete    deleteCommand    `cmd:"" help:"Delete one object."`
		Zone      zoneCommand      `cmd:"" help:"Take an availability zone out of service, or bring it back."`
		Change    changeCommand    `cmd:"" help:"Show whether a change was accepted."`
		Audit     auditCommand     `cmd:"" help:"Show who changed what, when and why."`
		Pages     pagesCommand     `cmd:"" help:"List the newest page of each class."`
		Agree     agreeCommand     `cmd:"" help:"Answer a page: agree to refusals of a class, or decline (directors)."`
		Revoke    revokeCommand    `cmd:"" help:"End a grant at once."`
		RequestID requestIDCommand `cmd:"" name:"request-id" help:"Print a new request id (UUIDv7)."`
		Status    statusCommand    `cmd:"" help:"Show a node's state and its view of the others."`
	}
)

// New returns a Controller.
func New(c Config) *Controller {
	return &Controller{config: c}
}

// Run parses the arguments, runs the command and returns the exit code.
func (c *Controller) Run() int {
	commandLine := &commands{}
	return parser.New(parser.Config{
		Program: programName, Description: "Command line for operators of the query tier.",
		Commands: commandLine, Arguments: c.config.Arguments, Output: c.config.Output, Errors: c.config.Errors,
		Run: func(parsed *kong.Context) error {
			session, err := newSession(c.config, commandLine)
			if err != nil {
				return &usageError{err}
			}
			return parsed.Run(session)
		},
		ExitCode: exitCodeOf,
	}).Run()
}

func exitCodeOf(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return parser.ExitUsage
	}
	var failure *callError
	if errors.As(err, &failure) {
		return failure.exitCode()
	}
	return parser.ExitFailure
}
