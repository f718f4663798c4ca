// Package controller is the command line of stepctl, with which operators drive the system over the
// RPCs of the schema. Verbs are the fields of the one table below, which dispatch and help both read.
package controller

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

const (
	programName = "stepctl"
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
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
	exited := -1
	parser, err := kong.New(table, kong.Name(programName),
		kong.Description("Operators' command line of the query tier."),
		kong.Writers(c.config.Output, c.config.Errors), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		return c.fail(err, exitFailure)
	}
	parsed, err := parser.Parse(c.config.Arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return c.fail(fmt.Errorf("%w; see %s --help", err, programName), exitUsage)
	}
	session, err := newSession(c.config, table)
	if err != nil {
		return c.fail(err, exitUsage)
	}
	if err := parsed.Run(session); err != nil {
		return c.fail(err, exitCodeOf(err))
	}
	return exitOK
}

func (c *Controller) fail(err error, code int) int {
	_, _ = fmt.Fprintf(c.config.Errors, "%s: %v\n", programName, err)
	return code
}

func exitCodeOf(err error) int {
	var failure *callError
	if errors.As(err, &failure) {
		return failure.exitCode()
	}
	return exitFailure
}
