package submitter_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for randomised tests unless one is given, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
