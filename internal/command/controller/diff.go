package controller

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protopath"
	"google.golang.org/protobuf/reflect/protorange"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	diffCommand struct {
		File string `required:"" short:"f" help:"Configuration file (JSON), or - for standard input."`
	}
)

// Help returns the detailed help text, with examples.
func (v *diffCommand) Help() string {
	return "Prints one line for each field that apply would change: - as in force, + as in the file.\n\n" +
		"Example:\n  stepctl diff -f config.json"
}

// Run executes the command.
func (v *diffCommand) Run(s *session) error {
	changes, err := s.readFile(v.File)
	if err != nil {
		return err
	}
	difference := &pb.ConfigDifference{}
	for _, c := range changes {
		d, err := differenceOf(c)
		if err != nil {
			return err
		}
		difference.Objects = append(difference.Objects, d...)
	}
	if s.output == outputJSON {
		return s.printJSON(difference)
	}
	for _, d := range difference.GetObjects() {
		_, _ = fmt.Fprintf(s.config.Output, "%s (version %d)\n", d.GetKey(), d.GetVersion())
		for _, f := range d.GetFields() {
			printField(s, f)
		}
	}
	return nil
}

func printField(s *session, f *pb.FieldDifference) {
	if f.GetBefore() != "" {
		_, _ = fmt.Fprintf(s.config.Output, "- %s: %s\n", f.GetPath(), f.GetBefore())
	}
	if f.GetAfter() != "" {
		_, _ = fmt.Fprintf(s.config.Output, "+ %s: %s\n", f.GetPath(), f.GetAfter())
	}
}

// differenceOf returns the difference of one object, or nothing when apply would not change it.
func differenceOf(c plannedChange) ([]*pb.ObjectDifference, error) {
	if c.isUnchanged() {
		return nil, nil
	}
	before, err := fieldsOf(c.before)
	if err != nil {
		return nil, err
	}
	after, err := fieldsOf(c.object)
	if err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	d := &pb.ObjectDifference{Key: keyer.Of(c.object), Version: c.before.GetVersion()}
	for p := range paths {
		if before[p] != after[p] {
			d.Fields = append(d.Fields, &pb.FieldDifference{Path: p, Before: before[p], After: after[p]})
		}
	}
	sort.Slice(d.Fields, func(i, j int) bool { return d.GetFields()[i].GetPath() < d.GetFields()[j].GetPath() })
	return []*pb.ObjectDifference{d}, nil
}

// fieldsOf returns the fields of the object's spec as text, by their path.
func fieldsOf(o *pb.ConfigObject) (map[string]string, error) {
	fields := map[string]string{}
	if o == nil {
		return fields, nil
	}
	err := protorange.Range(specOf(o).ProtoReflect(), func(p protopath.Values) error {
		if isWellKnown(p.Index(-2).Value) {
			return nil // part of a value that is listed as a whole
		}
		last := p.Index(-1)
		switch value := last.Value.Interface().(type) {
		case protoreflect.Message:
			if isWellKnown(last.Value) {
				fields[pathText(p)] = strings.TrimSpace(protojson.Format(value.Interface()))
			}
		case protoreflect.List, protoreflect.Map:
		default:
			fields[pathText(p)] = last.Value.String()
		}
		return nil
	})
	return fields, errors.Wrap(err, "list fields")
}

// isWellKnown reports whether the value is a message of protobuf's own types, such as a duration.
func isWellKnown(v protoreflect.Value) bool {
	m, ok := v.Interface().(protoreflect.Message)
	return ok && strings.HasPrefix(string(m.Descriptor().FullName()), "google.protobuf.")
}

// pathText returns the field's path within the spec, for example leaves[0].slots.
func pathText(p protopath.Values) string {
	text := p.Path[2:].String()
	return strings.TrimPrefix(text, ".")
}
