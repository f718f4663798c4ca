package controller

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	applyVerb struct {
		File    string `required:"" short:"f" help:"Configuration file (JSON), or - for standard input."`
		Version int64  `default:"-1" help:"Version that each object must have; 0 creates, -1 is the version in force now."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
		Only    string `help:"Apply the objects of this kind alone, for example operator." placeholder:"KIND"`
	}
)

// Help shows examples.
func (v *applyVerb) Help() string {
	return "The whole file is checked before anything is sent. Objects that are in force already are left as " +
		"they are. Objects that the file does not name stay.\n\nExamples:\n" +
		"  stepctl apply -f config.json --reason 'first start'\n" +
		"  stepctl apply -f - --version 12 --reason 'more slots' < service.json"
}

// Run implements the verb.
func (v *applyVerb) Run(s *session) error {
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
		if err := s.apply(c.object, v.versionOf(c), v.Reason); err != nil {
			return errors.WithSecondaryError(fmt.Errorf("%w%s", err, remaining(changes[i+1:])), err)
		}
	}
	return nil
}

// versionOf returns the version that the object must have. It is never left open, so that a racing change
// is a conflict rather than overwritten.
func (v *applyVerb) versionOf(c plannedChange) int64 {
	if v.Version == anyVersion {
		return c.before.GetVersion()
	}
	return v.Version
}

// remaining says which objects of the file were not sent.
func remaining(changes []plannedChange) string {
	if len(changes) == 0 {
		return ""
	}
	return fmt.Sprintf("\n  not sent: %d further objects of the file, from %s on; apply the file again",
		len(changes), keyer.Of(changes[0].object))
}

// apply sends one object and reports the outcome.
func (s *session) apply(o *pb.ConfigObject, version int64, reason string) error {
	ctx, cancel := s.context()
	defer cancel()
	id := newChangeID()
	response, err := s.client.ApplyObject(ctx, request(s, &pb.ApplyObjectRequest{
		Object: o, ExpectedVersion: version, ChangeId: id, Reason: reason,
	}))
	if err != nil {
		return unanswered(err, keyer.Of(o), id)
	}
	return s.report(keyer.Of(o), s.settled(response.Msg.GetOutcome(), version))
}
