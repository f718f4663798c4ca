// Command stepd hands its arguments to package daemon.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/daemon"
)

func main() {
	os.Exit(daemon.New(daemon.Config{Arguments: os.Args[1:], Output: os.Stdout, Errors: os.Stderr}).Run())
}
