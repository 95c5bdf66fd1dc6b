package proof

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"filbertcross/internal/proptest"
	"filbertcross/internal/schedule"
)

// TestSchedulerFollowsRules checks the scheduler against the oracle with random events and faults.
func TestSchedulerFollowsRules(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		runStateMachine(t, func(rng *rand.Rand) schedule.Decider {
			return schedule.New(schedule.DefaultOptions(), rng)
		})
	})
}
