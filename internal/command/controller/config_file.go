package controller

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/config/checker"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

const (
	standardInput = "-"
)

type (
	// plannedChange is an object of a file and the object in force with the same key.
	plannedChange struct {
		object *pb.ConfigObject
		// before is nil when there is none or it is deleted.
		before *pb.ConfigObject
	}
)

// readFile reads and decodes a configuration file and checks it against the configuration in force. The
// error names every invalid field. It sends no change.
func (s *session) readFile(path string) ([]plannedChange, error) {
	file, err := s.decodeFile(path)
	if err != nil {
		return nil, err
	}
	inForce, err := s.list("", false)
	if err != nil {
		return nil, err
	}
	objects := objectsOf(file)
	if fieldErrors := checkObjects(objects, inForce); len(fieldErrors) > 0 {
		return nil, errors.Wrap(decoder.FieldErrors(fieldErrors), path)
	}
	return planChanges(objects, inForce), nil
}

func (s *session) decodeFile(path string) (*pb.ConfigFile, error) {
	file := &pb.ConfigFile{}
	if path != standardInput {
		return file, decoder.DecodeFile(path, file)
	}
	text, err := io.ReadAll(s.config.Input)
	if err != nil {
		return nil, errors.Wrap(err, "read standard input")
	}
	return file, errors.Wrap(decoder.Decode(text, file), "standard input")
}

// checkObjects checks the objects of a file; their references may be to objects of the file or in force.
func checkObjects(objects, inForce []*pb.ConfigObject) []string {
	var fieldErrors []string
	seen := map[string]bool{}
	k := checker.New(checker.Config{Objects: append(append([]*pb.ConfigObject{}, inForce...), objects...)})
	for _, o := range objects {
		key := keyer.Of(o)
		if seen[key] {
			fieldErrors = append(fieldErrors, key+": given more than once")
		}
		seen[key] = true
		for _, e := range append(k.CheckFields(o), k.CheckReferences(o)...) {
			fieldErrors = append(fieldErrors, fmt.Sprintf("%s: %s", key, e))
		}
	}
	return fieldErrors
}

// planChanges pairs each object of the file with the object in force.
func planChanges(objects, inForce []*pb.ConfigObject) []plannedChange {
	byKey := map[string]*pb.ConfigObject{}
	for _, o := range inForce {
		byKey[keyer.Of(o)] = o
	}
	changes := make([]plannedChange, 0, len(objects))
	for _, o := range objects {
		changes = append(changes, plannedChange{object: o, before: byKey[keyer.Of(o)]})
	}
	return changes
}

// isUnchanged reports whether the object in force has the same spec as the one of the file.
func (c plannedChange) isUnchanged() bool {
	return c.before != nil && proto.Equal(specOf(c.before), specOf(c.object))
}

// specOf returns the object without its version and audit trail.
func specOf(o *pb.ConfigObject) *pb.ConfigObject {
	if o == nil {
		return nil
	}
	return &pb.ConfigObject{Spec: o.GetSpec()}
}

// objectsOf returns the file's objects, each after those to which it refers.
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
