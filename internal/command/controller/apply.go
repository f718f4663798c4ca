package controller

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	applyCommand struct {
		File    string `required:"" short:"f" help:"Configuration file (JSON), or - for standard input."`
		Version int64  `default:"-1" help:"Version that each object must have; 0 creates, -1 means the version now in force."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
		Only    string `help:"Apply only the objects of this kind, for example operator." placeholder:"KIND"`
	}
)

// Help returns the detailed help text, with examples.
func (v *applyCommand) Help() string {
	return "The whole file is checked before anything is sent. Objects that are in force already are left as " +
		"they are. Objects that the file does not name stay.\n\nExamples:\n" +
		"  stepctl apply -f config.json --reason 'first start'\n" +
		"  stepctl apply -f - --version 12 --reason 'more slots' < service.json"
}

// Run executes the command.
func (v *applyCommand) Run(s *session) error {
	changes, err := s.readFile(v.File)
	if err != nil {
		return err
	}
	for i, c := range changes {
		if kind, _, _ := strings.Cut(keyer.Of(c.object), "/"); v.Only != "" && v.Only != kind {
			continue
		}
		if c.isUnchanged() && v.Version == anyVersion {
			continue
		}
		if err := s.apply(c.object, v.expectedVersion(c), v.Reason); err != nil {
			return errors.WithSecondaryError(fmt.Errorf("%w%s", err, unsentObjects(changes[i+1:])), err)
		}
	}
	return nil
}

// expectedVersion returns the version that the object must have. It is always a definite version, never
// anyVersion, so that a concurrent change causes a conflict and is not overwritten.
func (v *applyCommand) expectedVersion(c plannedChange) int64 {
	if v.Version == anyVersion {
		return c.before.GetVersion()
	}
	return v.Version
}

// unsentObjects returns the text about the objects of the file that were not sent, or nothing if there are none.
func unsentObjects(changes []plannedChange) string {
	if len(changes) == 0 {
		return ""
	}
	return fmt.Sprintf("\n  not sent: %d further objects of the file, from %s on; apply the file again",
		len(changes), keyer.Of(changes[0].object))
}

// apply sends one object and prints the outcome.
func (s *session) apply(o *pb.ConfigObject, version int64, reason string) error {
	ctx, cancel := s.callContext()
	defer cancel()
	id := newChangeID()
	response, err := s.client.ApplyObject(ctx, newRequest(s, &pb.ApplyObjectRequest{
		Object: o, ExpectedVersion: version, ChangeId: id, Reason: reason,
	}))
	if err != nil {
		return unansweredChangeError(err, keyer.Of(o), id)
	}
	return s.printOutcome(keyer.Of(o), s.confirmedOutcome(response.Msg.GetOutcome(), version))
}
