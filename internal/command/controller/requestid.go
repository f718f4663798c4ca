package controller

import "fmt"

type (
	requestIDVerb struct{}
)

// Run implements the verb.
func (v *requestIDVerb) Run(s *session) error {
	_, err := fmt.Fprintln(s.config.Output, newChangeID())
	return err
}
