// Command stepfake hands its arguments to package faker.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/faker"
)

func main() {
	os.Exit(faker.New(faker.Config{Arguments: os.Args[1:], Output: os.Stdout, Errors: os.Stderr}).Run())
}
