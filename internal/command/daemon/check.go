package daemon

import (
	"fmt"
)

type (
	checkCommand struct {
		Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
	}
)

// Help returns the detailed help text, with examples.
func (v *checkCommand) Help() string {
	return "Example:\n  stepd check --settings node-a1.json"
}

// Run executes the command.
func (v *checkCommand) Run(s *streams) error {
	s.signals.Release()
	if _, err := readSettings(v.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.output, "%s: settings are good\n", v.Settings)
	return err
}
