// Command stepfront runs a node of the query tier on the users' platform. Package frontend implements it.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/frontend"
	"github.com/magnoliastep/magnoliastep/internal/command/signaler"
)

func main() {
	signals := signaler.New()
	os.Exit(frontend.New(frontend.Config{
		Arguments: os.Args[1:], Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr, Getenv: os.Getenv, Signals: signals,
	}).Run())
}
