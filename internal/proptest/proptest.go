// Package proptest runs rapid's property tests with a fixed seed, so that every run
// has the same result, and counts the steps of state machines. The environment
// variables SeedVariable and ChecksVariable set the seed and the number of checks
// for long runs.
package proptest

import (
	"flag"
	"os"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Names of environment variables, which are read when the package is initialized.
const (
	SeedVariable   = "FILBERTCROSS_SEED"   // rapid's seed; default 1
	ChecksVariable = "FILBERTCROSS_CHECKS" // checks per property; default: rapid's default
)

var stepCount atomic.Int64

func init() {
	setFlag("rapid.seed", SeedVariable, "1")
	setFlag("rapid.checks", ChecksVariable, "")
	setFlag("rapid.nofailfile", "", "true")
}

func setFlag(name, variable, defaultValue string) {
	value := defaultValue
	if v, ok := os.LookupEnv(variable); ok && variable != "" {
		value = v
	}
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + variable + ": " + err.Error())
	}
}

// Check checks the property and logs the seed and the number of counted steps.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	before := stepCount.Load()
	rapid.Check(t, property)
	t.Logf("seed %s, %d steps", flag.Lookup("rapid.seed").Value, stepCount.Load()-before)
}

// CountStep counts one step of a state machine. It is safe for concurrent use.
func CountStep() { stepCount.Add(1) }
