package baseline

import (
	"time"

	"filbertcross/internal/schedule"
)

// WithoutDrain reports leaving workers to a Decider as unreachable. They accept no new task,
// but their running tasks are lost when they leave instead of being moved before.
type WithoutDrain struct{ schedule.Decider }

// UpsertWorker implements schedule.Decider.
func (d WithoutDrain) UpsertWorker(now time.Time, w schedule.Worker) {
	w.Unreachable = w.Unreachable || w.Leaving
	w.Leaving = false
	d.Decider.UpsertWorker(now, w)
}
