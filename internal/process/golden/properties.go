package golden

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seedVariable is the environment variable that overrides the fixed seed.
const seedVariable = "MUSTARDREACH_TEST_SEED"

// Main runs a package's tests with the given number of generated cases for each
// property, and with a fixed seed so that every run has the same result.
// MUSTARDREACH_TEST_SEED sets another seed; 0 means a random one.
func Main(m *testing.M, cases int) {
	flag.Parse()
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", strconv.Itoa(cases))
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
