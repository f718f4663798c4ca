package controller

import (
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

type (
	applyVerb struct {
		File    string `required:"" short:"f" help:"Configuration file (JSON), or - for standard input."`
		Version int64  `default:"-1" help:"Version that each object must have; 0 creates, -1 takes the version at hand."`
		Reason  string `required:"" help:"Why; kept in the audit trail."`
		Only    string `help:"Apply the objects of this kind alone, for example operator." placeholder:"KIND"`
	}
)

// Help shows examples.
func (v *applyVerb) Help() string {
	return "Example:\n  stepctl --node 127.0.0.1:7201 apply -f demo.json --reason 'first start'"
}

// Run implements the verb.
func (v *applyVerb) Run(s *session) error {
	text, err := v.read(s)
	if err != nil {
		return err
	}
	file := &pb.ConfigFile{}
	if err := decoder.Decode(text, file); err != nil {
		return errors.Wrap(err, v.File)
	}
	for _, o := range objectsOf(file) {
		if kind, _, _ := strings.Cut(keyer.Of(o), "/"); v.Only != "" && v.Only != kind {
			continue
		}
		if err := s.apply(o, v.Version, v.Reason); err != nil {
			return err
		}
	}
	return nil
}

func (v *applyVerb) read(s *session) ([]byte, error) {
	if v.File == "-" {
		text, err := io.ReadAll(s.config.Input)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(v.File)
	return text, errors.Wrap(err, "read configuration")
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
	return s.report(keyer.Of(o), response.Msg.GetOutcome())
}

// objectsOf returns the file's objects in the order in which they may refer to each other.
func objectsOf(f *pb.ConfigFile) []*pb.ConfigObject {
	var objects []*pb.ConfigObject
	for _, z := range f.GetAvailabilityZones() {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: z}})
	}
	for _, o := range f.GetOperators() {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Operator{Operator: o}})
	}
	for _, s := range f.GetServices() {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Service{Service: s}})
	}
	for _, c := range f.GetClasses() {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: c}})
	}
	for _, c := range f.GetCallers() {
		objects = append(objects, &pb.ConfigObject{Spec: &pb.ConfigObject_Caller{Caller: c}})
	}
	return objects
}
