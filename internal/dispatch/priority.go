package dispatch

import (
	"cmp"
	"time"
)

// compareSteps orders steps for placement: submissions that still have value before late
// ones, then by queue priority, then by the end of the objective.
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

// lateness is 1 for a submission that is too late to have value, otherwise 0. Scheduled and
// long-running submissions are never late.
func lateness(now time.Duration, j *job) int {
	if j.sub.HasSchedule() || j.sub.Steps[0].LongRunning || now < j.arrivedAt+lateFactor*j.objective {
		return 0
	}
	return 1
}
