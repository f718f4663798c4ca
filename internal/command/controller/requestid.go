package controller

import "fmt"

type (
	requestIDCommand struct{}
)

// Run executes the command.
func (v *requestIDCommand) Run(s *session) error {
	_, err := fmt.Fprintln(s.config.Output, newChangeID())
	return err
}
