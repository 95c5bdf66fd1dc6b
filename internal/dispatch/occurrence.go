package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Bounds of what the owner holds of one submission, whatever it asks for. An occurrence that is due
// beyond them is created when earlier ones are complete.
const (
	maxHeldOccurrences    = 1000
	maxWaitingOccurrences = 100    // of which nothing has started: what other submissions may wait for
	maxHeldTasks          = 10_000 // unless a single occurrence has more
	// maxHeldTasksOfAll is that of all submissions together, about 50 MB. It does not bind occurrences of up to
	// smallOccurrence tasks, so that large submissions do not delay others.
	maxHeldTasksOfAll = 200_000
	smallOccurrence   = 1000
	// maxTasksPerOccurrence is above what callers can ask for. Earlier releases accepted more.
	maxTasksPerOccurrence = 1_000_000
)

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int // from 0
	steps  []*step
	// objectiveFrom is when its objective begins. That is not before this owner created it, so that an
	// endless backlog of overdue occurrences does not go before all later submissions.
	objectiveFrom time.Duration
	// overdue is set if it was created too late to have value; see lateness.
	overdue bool
}

// complete reports whether all steps are complete.
func (o *occurrence) complete() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return !s.complete() })
}

// started reports whether a task has been started.
func (o *occurrence) started() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.started })
}

// adviceInFlight reports whether a response to an advice call for one of the steps is awaited.
func (o *occurrence) adviceInFlight() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.advice.inFlight })
}

// newOccurrence returns an occurrence with all its tasks waiting.
func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, steps: make([]*step, len(j.sub.Steps)), objectiveFrom: j.arrivedAt}
	for i := range o.steps {
		o.steps[i] = newStep(j, o, i)
	}
	return o
}

// occurrenceCount returns the number of occurrences that the submission asks for, at least 1.
func (j *job) occurrenceCount() int { return max(j.sub.Occurrences, 1) }

// findHeld returns the position of the occurrence with the number among those held, or where it would be.
func (j *job) findHeld(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return o.number - number })
}

// occurrence returns the occurrence with the number and creates it if needed. One that is complete and
// no longer held, and one of a closed job, is returned for a late report and not held.
func (j *job) occurrence(number int) *occurrence {
	i, held := j.findHeld(number)
	if held {
		return j.occurrences[i]
	}
	o := newOccurrence(j, number)
	switch {
	case j.completed.contains(number):
		for _, s := range o.steps {
			s.done, s.waiting = len(s.tasks), 0
			for _, t := range s.tasks {
				t.state = taskDone
			}
		}
	case !j.closed():
		j.occurrences = slices.Insert(j.occurrences, i, o)
	}
	return o
}

// held returns how many tasks are held and not done, and how many occurrences have not started.
func (j *job) held() (tasks, waiting int) {
	for _, o := range j.occurrences {
		if !o.started() {
			waiting++
		}
		for _, s := range o.steps {
			tasks += len(s.tasks) - s.done
		}
	}
	return tasks, waiting
}

// taskCount returns the number of tasks that are held.
func (j *job) taskCount() int {
	n := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// tasksPerOccurrence returns the number of tasks of one occurrence, at most maxTasksPerOccurrence + 1.
func tasksPerOccurrence(sub *fleet.Submission) int {
	n := 0
	for i := range sub.Steps {
		n += min(sub.Steps[i].Tasks, maxTasksPerOccurrence+1-n)
	}
	return n
}

// dropComplete stops holding the occurrences that are complete.
func (j *job) dropComplete() {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if !o.complete() || o.adviceInFlight() {
			return false
		}
		j.completed.add(o.number)
		return true
	})
}

// complete reports whether all steps of all occurrences are complete.
func (j *job) complete() bool {
	if j.completed.count+len(j.occurrences) < j.occurrenceCount() {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.complete() })
}

// dueOccurrences returns the number of occurrences that are due by the wall clock.
func (j *job) dueOccurrences(wall time.Time) int {
	elapsed := wall.UnixMilli() - j.sub.FirstRun.UnixMilli() // a Duration would not hold every time
	interval := j.sub.Interval.Milliseconds()
	switch {
	case elapsed < 0:
		return 0
	case interval == 0 || elapsed/interval >= int64(j.sub.Occurrences):
		return j.sub.Occurrences
	}
	return int(elapsed/interval) + 1
}

// createDueOccurrences creates the occurrences that are due by the wall clock, in order and within the
// bounds of what is held.
func (d *Dispatcher) createDueOccurrences(now time.Duration, wall time.Time) {
	for _, j := range d.activeJobs {
		if !j.sub.HasSchedule() || j.nextOccurrence >= j.sub.Occurrences {
			continue
		}
		due := j.dueOccurrences(wall)
		if j.nextOccurrence >= due {
			continue
		}
		d.createOccurrences(j, due, func(o *occurrence) {
			behind := wall.Sub(j.sub.FirstRun) - time.Duration(o.number)*j.sub.Interval
			o.objectiveFrom, o.overdue = now, behind >= lateFactor*j.objective
			d.events.Record(event.OccurrenceDue, j.sub.ID, o.number, behind)
		})
	}
}

// createOccurrences creates occurrences with numbers below due, in order and within the bounds of what is
// held, and calls created for each.
func (d *Dispatcher) createOccurrences(j *job, due int, created func(*occurrence)) {
	tasksOfEach := tasksPerOccurrence(j.sub)
	tasks, waiting := j.held()
	for {
		number := j.completed.next(j.nextOccurrence)
		if number >= due {
			return
		}
		if _, held := j.findHeld(number); held {
			j.nextOccurrence = number + 1
			continue
		}
		if !d.hasRoomFor(tasksOfEach) {
			return
		}
		if len(j.occurrences) > 0 && (len(j.occurrences) >= maxHeldOccurrences || waiting >= maxWaitingOccurrences || tasks+tasksOfEach > maxHeldTasks) {
			return
		}
		created(j.occurrence(number))
		j.nextOccurrence = number + 1
		tasks += tasksOfEach
		waiting++
	}
}

// hasRoomFor reports whether an occurrence with so many tasks may be created beside all that is held.
func (d *Dispatcher) hasRoomFor(tasks int) bool {
	if tasks <= smallOccurrence {
		return true
	}
	held := 0
	for _, list := range [][]*job{d.activeJobs, d.finalJobs} {
		for _, j := range list {
			held += j.taskCount()
		}
	}
	return held == 0 || held+tasks <= maxHeldTasksOfAll
}

// createFirst creates the only occurrence of a submission without times, or queues the submission until there is
// room for it.
func (d *Dispatcher) createFirst(j *job) {
	if d.hasRoomFor(tasksPerOccurrence(j.sub)) {
		j.occurrence(0)
		return
	}
	d.deferredJobs = append(d.deferredJobs, j)
	d.events.Record(event.SubmissionDeferred, j.sub.ID, tasksPerOccurrence(j.sub), maxHeldTasksOfAll)
}

// createDeferred creates the occurrences of queued submissions, in the order of their arrival.
func (d *Dispatcher) createDeferred() {
	for len(d.deferredJobs) > 0 {
		j := d.deferredJobs[0]
		if !j.closed() && len(j.occurrences) == 0 {
			if !d.hasRoomFor(tasksPerOccurrence(j.sub)) {
				return
			}
			j.occurrence(0)
		}
		d.deferredJobs = d.deferredJobs[1:]
	}
}
