package daemon

import (
	"github.com/cockroachdb/errors"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/checker"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

// readSettings decodes and checks a settings file. The error names every invalid field.
func readSettings(path string) (*pb.NodeSettings, error) {
	settings := &pb.NodeSettings{}
	if err := decoder.DecodeFile(path, settings); err != nil {
		return nil, err
	}
	if fieldErrors := checker.Check(settings); len(fieldErrors) > 0 {
		return nil, errors.Wrapf(decoder.FieldErrors(fieldErrors), "%s", path)
	}
	return settings, nil
}
