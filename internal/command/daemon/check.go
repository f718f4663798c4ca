package daemon

import (
	"fmt"
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
	if _, err := readSettings(v.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.output, "%s: settings are good\n", v.Settings)
	return err
}
