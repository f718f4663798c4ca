// Command stepctl hands its arguments to package controller.
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
