// Command stepload sends single requests and open-loop load to the query tier. Package loader implements it.
package main

import (
	"os"

	"github.com/magnoliastep/magnoliastep/internal/command/loader"
)

func main() {
	os.Exit(loader.New(loader.Config{Arguments: os.Args[1:], Output: os.Stdout, Errors: os.Stderr}).Run())
}
