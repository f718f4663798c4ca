// Command stepd runs a node of the query tier. Package daemon implements it.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/daemon"
	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
)

func main() {
	signals := signaler.New()
	os.Exit(daemon.New(daemon.Config{
		Arguments: os.Args[1:], Output: os.Stdout, Errors: os.Stderr, Signals: signals,
	}).Run())
}
