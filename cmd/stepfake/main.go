// Command stepfake serves fakes of the platform and of leaves, for tests and trials. Package faker implements it.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/faker"
)

func main() {
	os.Exit(faker.New(faker.Config{Arguments: os.Args[1:], Output: os.Stdout, Errors: os.Stderr}).Run())
}
