// Command stepctl is the command line with which operators control the query tier. Package controller implements it.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/controller"
)

func main() {
	os.Exit(controller.New(controller.Config{
		Arguments: os.Args[1:], Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr,
	}).Run())
}
