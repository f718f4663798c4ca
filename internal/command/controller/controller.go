// Package controller is the command line of stepctl, with which operators drive the system over the
// RPCs of the schema. Verbs are the fields of the one table below, which dispatch and help both read.
package controller

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
)

const (
	programName = "stepctl"
	// exitConflict says that another change came first.
	exitConflict = 3
	// exitUnknown says that the outcome of a change is not known yet.
	exitUnknown = 4
	// exitUnavailable says that the node or the platform cannot be reached.
	exitUnavailable = 5
	// exitDenied says that the operator may not do this.
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

	// usageError is an error in the arguments that parsing alone does not find.
	usageError struct {
		error
	}

	// verbs is the table of operations.
	verbs struct {
		Node   []string `required:"" env:"STEPCTL_NODE" placeholder:"IP:PORT" help:"Operator side of nodes, tried in turn."`
		Token  string   `env:"STEPCTL_TOKEN" help:"Bearer token."`
		CAFile string   `env:"STEPCTL_CA_FILE" help:"Speak TLS and trust the certificates in this PEM file."`
		Output string   `enum:"table,json" default:"table" help:"Output format: table or json."`

		Apply     applyVerb     `cmd:"" help:"Apply the objects of a configuration file."`
		Diff      diffVerb      `cmd:"" help:"Show what apply would change."`
		Get       getVerb       `cmd:"" help:"Show one object."`
		List      listVerb      `cmd:"" help:"List objects."`
		Delete    deleteVerb    `cmd:"" help:"Delete one object."`
		Zone      zoneVerb      `cmd:"" help:"Take an availability zone out of service, or bring it back."`
		Change    changeVerb    `cmd:"" help:"Ask whether a change was accepted."`
		Audit     auditVerb     `cmd:"" help:"Show who changed what, when and why."`
		Pages     pagesVerb     `cmd:"" help:"List the newest page of each class."`
		Agree     agreeVerb     `cmd:"" help:"Answer a page: agree to refusals of a class, or say no (directors)."`
		Revoke    revokeVerb    `cmd:"" help:"End a grant at once."`
		RequestID requestIDVerb `cmd:"" name:"request-id" help:"Print a new request id (UUIDv7)."`
		Status    statusVerb    `cmd:"" help:"Show a node's state and its view of the others."`
	}
)

// New returns a Controller.
func New(c Config) *Controller {
	return &Controller{config: c}
}

// Run parses the arguments, runs the verb and returns the exit code.
func (c *Controller) Run() int {
	table := &verbs{}
	return parser.New(parser.Config{
		Program: programName, Description: "Operators' command line of the query tier.",
		Verbs: table, Arguments: c.config.Arguments, Output: c.config.Output, Errors: c.config.Errors,
		Run: func(parsed *kong.Context) error {
			session, err := newSession(c.config, table)
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
