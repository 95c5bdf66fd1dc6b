package dispatch

import (
	"cmp"
	"time"
)

// compareSteps orders steps for placement: submissions that still have value before late
// ones, those within their account's rate before those beyond it, then by queue priority, then by
// the end of the objective.
func (d *Dispatcher) compareSteps(now time.Duration, a, b *step) int {
	return cmp.Or(
		d.compareClasses(now, a, b),
		cmp.Compare(a.job.objectiveEnd(), b.job.objectiveEnd()),
		cmp.Compare(a.job.sub.ID, b.job.sub.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

// compareClasses orders steps by all that goes before the shares of accounts.
func (d *Dispatcher) compareClasses(now time.Duration, a, b *step) int {
	return cmp.Or(
		cmp.Compare(lateness(now, a.job), lateness(now, b.job)),
		compareBool(a.job.beyondRate, b.job.beyondRate),
		comparePriority(a, b),
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

// comparePriority orders steps by the priority of their queues.
func comparePriority(a, b *step) int { return cmp.Compare(a.job.queue.Priority, b.job.queue.Priority) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
