package baseline

import (
	"time"

	"filbertcross/internal/schedule"
)

// WithoutDrain hides from a Decider that workers are about to leave: they take no new task,
// and what runs on them is lost when they go, instead of being moved before.
type WithoutDrain struct{ schedule.Decider }

// UpsertWorker implements schedule.Decider.
func (d WithoutDrain) UpsertWorker(now time.Time, w schedule.Worker) {
	w.Unreachable = w.Unreachable || w.Leaving
	w.Leaving = false
	d.Decider.UpsertWorker(now, w)
}
