package dispatch

import (
	"cmp"
	"time"
)

// compare orders steps: work that can still earn before work that cannot, then by the
// queue's priority, then by the end of the objective.
func (d *Dispatcher) compareSteps(now time.Duration, a, b *step) int {
	return cmp.Or(
		cmp.Compare(lateness(now, a.job), lateness(now, b.job)),
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		cmp.Compare(a.job.objectiveEnd(), b.job.objectiveEnd()),
		cmp.Compare(a.job.sub.ID, b.job.sub.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

// lateness is 1 for a submission that is too late to be of use. One that lasts is never late.
func lateness(now time.Duration, j *job) int {
	if j.sub.HasSchedule() || j.sub.Steps[0].LongRunning || now < j.arrivedAt+lateFactor*j.objective {
		return 0
	}
	return 1
}
