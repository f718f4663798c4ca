package checker_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	settings "github.com/magnoliastep/magnoliastep/internal/settings/checker"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

func TestExampleConfigurationsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/config.json")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 3)
	for _, path := range files {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := &pb.ConfigFile{}
			is.NoErr(decoder.DecodeFile(path, f))
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
			is.True(len(objects) > 10)
			is.Equal(checkAll(objects), nil)
		})
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/node-*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) >= 3)
	for _, path := range files {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := &pb.NodeSettings{}
			is.NoErr(decoder.DecodeFile(path, s))
			is.Equal(settings.Check(s), nil)
		})
	}
}
