package dispatch

import (
	"cmp"
	"time"
)

// compareSteps orders steps for placement: submissions that still have value before late
// ones, those within their account's rate before those beyond it, then by queue priority, then those
// that can meet their objective before those that cannot, then by the end of the objective. Without
// the last but one, each submission of an overloaded queue waits for older ones that are late
// anyway, and is late, too.
func (d *Dispatcher) compareSteps(now time.Duration, a, b *step) int {
	return cmp.Or(
		d.compareClasses(now, a, b),
		compareBool(a.willBeLate(now), b.willBeLate(now)),
		cmp.Compare(a.objectiveEnd(), b.objectiveEnd()),
		cmp.Compare(a.job.sub.ID, b.job.sub.ID),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

// compareClasses orders steps by all that goes before the shares of accounts.
func (d *Dispatcher) compareClasses(now time.Duration, a, b *step) int {
	return cmp.Or(
		cmp.Compare(lateness(now, a), lateness(now, b)),
		compareBool(a.job.beyondRate, b.job.beyondRate),
		comparePriority(a, b),
	)
}

// lateness is 1 for a step whose submission, or whose occurrence of it, is too late to have value, 2 for an occurrence
// that was overdue when it was created, and 0 otherwise. So an endless backlog gets what nothing else can use.
// Long-running submissions are never late.
func lateness(now time.Duration, s *step) int {
	switch {
	case s.occurrence.overdue:
		return 2
	case s.job.sub.Steps[0].LongRunning || now < s.occurrence.objectiveFrom+lateFactor*s.job.objective:
		return 0
	}
	return 1
}

// willBeLate reports whether the submission misses its objective even if the step starts now. It
// never does for long-running submissions, and for gangs, which keep their order so
// that the reservation of a waiting gang is not taken by the next.
func (s *step) willBeLate(now time.Duration) bool {
	j := s.job
	if j.sub.Steps[0].LongRunning || s.def.Gang {
		return false
	}
	return now+j.pathsToEnd[s.id.Step] > s.objectiveEnd()
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
