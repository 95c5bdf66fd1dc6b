// Package proptest runs rapid's property tests from a fixed seed, so that a run
// reaches the same verdict every time, and counts the steps of state machines.
// The environment variables SeedVariable and ChecksVariable change seed and
// number of checks for long runs.
package proptest

import (
	"flag"
	"os"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Environment variables read when the package is initialised.
const (
	SeedVariable   = "FILBERTCROSS_SEED"   // rapid's seed; default 1
	ChecksVariable = "FILBERTCROSS_CHECKS" // checks for each property; default rapid's
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

// Check runs the property and logs how many steps its state machines took.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	before := stepCount.Load()
	rapid.Check(t, property)
	t.Logf("seed %s, %d steps", flag.Lookup("rapid.seed").Value, stepCount.Load()-before)
}

// Step counts one step of a state machine.
func CountStep() { stepCount.Add(1) }
