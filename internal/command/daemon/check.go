package daemon

import (
	"fmt"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

type (
	checkVerb struct {
		Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
	}
)

// Help shows examples.
func (v *checkVerb) Help() string {
	return "Example:\n  stepd check --settings node-a1.json"
}

// Run implements the verb.
func (v *checkVerb) Run(s *streams) error {
	if err := decoder.DecodeFile(v.Settings, &pb.NodeSettings{}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.output, "%s: settings are good\n", v.Settings)
	return err
}
