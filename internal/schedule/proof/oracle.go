package proof

import (
	"fmt"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Oracle is a schedule.Decider that forwards every call to another Decider and reports each
// broken rule. Only one goroutine at a time may use it.
type Oracle struct {
	decider      schedule.Decider
	report       func(*Violation)
	branches     map[model.BranchID]model.Branch
	granted      map[model.BranchID]model.Resources
	workers      map[model.WorkerID]*workerRecord
	jobs         map[model.JobID]*jobRecord
	tasks        map[model.TaskID]*taskRecord
	tasksInOrder []*taskRecord // in submission order
}

var _ schedule.Decider = (*Oracle)(nil)

// NewOracle returns an Oracle that wraps the Decider and calls report once for each violation,
// on the goroutine that uses the Oracle.
func NewOracle(decider schedule.Decider, report func(*Violation)) *Oracle {
	return &Oracle{
		decider:  decider,
		report:   report,
		branches: make(map[model.BranchID]model.Branch),
		granted:  make(map[model.BranchID]model.Resources),
		workers:  make(map[model.WorkerID]*workerRecord),
		jobs:     make(map[model.JobID]*jobRecord),
		tasks:    make(map[model.TaskID]*taskRecord),
	}
}

func (o *Oracle) reportViolation(rule Rule, task model.TaskID, worker model.WorkerID, format string, args ...any) {
	o.report(&Violation{
		Rule:   rule,
		Task:   task,
		Worker: worker,
		Detail: fmt.Sprintf(format, args...),
	})
}

// SetBranches implements schedule.Decider.
func (o *Oracle) SetBranches(now time.Time, branches []model.Branch) {
	clear(o.branches)
	for _, b := range branches {
		o.branches[b.ID] = b
	}
	o.decider.SetBranches(now, branches)
}

// UpsertWorker implements schedule.Decider.
func (o *Oracle) UpsertWorker(now time.Time, w schedule.Worker) {
	r := o.getOrAddWorker(w.ID)
	r.Worker = w
	r.listed = true
	o.decider.UpsertWorker(now, w)
}

// getOrAddWorker returns the record of a worker and adds it if there is none.
func (o *Oracle) getOrAddWorker(id model.WorkerID) *workerRecord {
	r, ok := o.workers[id]
	if !ok {
		r = &workerRecord{Worker: schedule.Worker{ID: id}}
		o.workers[id] = r
	}
	return r
}

// RemoveWorker implements schedule.Decider. A removal that breaks RuleRemovedHeld is not
// forwarded.
func (o *Oracle) RemoveWorker(now time.Time, id model.WorkerID) {
	if r, ok := o.workers[id]; ok && r.heldTasks > 0 {
		o.reportViolation(RuleRemovedHeld, "", id, "%d tasks hold capacity", r.heldTasks)
		return
	}
	delete(o.workers, id)
	o.decider.RemoveWorker(now, id)
}

// Submit implements schedule.Decider.
func (o *Oracle) Submit(now time.Time, job model.Job) schedule.Status {
	status := o.decider.Submit(now, job)
	if _, known := o.jobs[job.ID]; known || status.Code == schedule.Invalid {
		return status
	}
	r := newJobRecord(job)
	o.jobs[job.ID] = r
	for _, t := range r.tasks {
		o.tasks[t.id] = t
	}
	o.tasksInOrder = append(o.tasksInOrder, r.tasks...)
	return status
}

// Adopt implements schedule.Decider.
func (o *Oracle) Adopt(now time.Time, p schedule.Placement) {
	if t, ok := o.tasks[p.Task]; ok && t.phase == phaseWaiting {
		o.allocate(t, p.Worker, p.Size)
		t.phase = phaseRunning
	}
	o.decider.Adopt(now, p)
}

// Cancel implements schedule.Decider.
func (o *Oracle) Cancel(now time.Time, id model.JobID) {
	if j, ok := o.jobs[id]; ok {
		j.canceled = true
		for _, t := range j.tasks {
			if t.phase == phaseWaiting {
				t.phase = phaseEnded
			}
		}
	}
	o.decider.Cancel(now, id)
}

// Observe implements schedule.Decider.
func (o *Oracle) Observe(now time.Time, u schedule.Usage) {
	if t, ok := o.tasks[u.Task]; ok && !u.Used.FitsIn(t.size) {
		t.job.oversized = true
	}
	o.decider.Observe(now, u)
}

// Finish implements schedule.Decider.
func (o *Oracle) Finish(now time.Time, id model.TaskID, outcome model.Outcome) {
	if t, ok := o.tasks[id]; ok && t.holdsCapacity() {
		o.release(t)
		if outcome == model.OutcomeFailed {
			t.failures++
			t.job.failed = true
		}
		if t.isFinalOutcome(outcome) {
			t.phase = phaseEnded
			t.job.recordFinalOutcome(outcome)
		}
	}
	o.decider.Finish(now, id, outcome)
}

// recordFinalOutcome records the outcome of a task's last run.
func (j *jobRecord) recordFinalOutcome(outcome model.Outcome) {
	if outcome == model.OutcomeDone {
		j.done++
		return
	}
	if j.Kind == model.KindGang {
		j.failed = true
	}
}

// isFinalOutcome reports whether the task ends with a run of this outcome.
func (t *taskRecord) isFinalOutcome(outcome model.Outcome) bool {
	switch outcome {
	case model.OutcomeDone, model.OutcomeCanceled:
		return true
	case model.OutcomeNotStarted:
		return t.job.canceled
	}
	return t.job.canceled || !t.job.Restartable
}

// Confirm implements schedule.Decider.
func (o *Oracle) Confirm(now time.Time, id model.TaskID) {
	if t, ok := o.tasks[id]; ok && t.phase == phaseAssumed {
		t.phase = phaseRunning
	}
	o.decider.Confirm(now, id)
}

// Forget implements schedule.Decider.
func (o *Oracle) Forget(now time.Time, id model.TaskID) {
	if t, ok := o.tasks[id]; ok && t.phase == phaseAssumed {
		o.release(t)
		if t.job.canceled {
			t.phase = phaseEnded
		}
	}
	o.decider.Forget(now, id)
}

// Explain implements schedule.Decider. It checks the counts of jobs that were neither canceled
// nor had a failure.
func (o *Oracle) Explain(id model.JobID) (schedule.Explanation, bool) {
	e, ok := o.decider.Explain(id)
	j, known := o.jobs[id]
	if !known || j.canceled || j.failed {
		return e, ok
	}
	waiting, ended := j.count(phaseWaiting), j.count(phaseEnded)
	running := j.Tasks - waiting - ended
	if !ok && ended < j.Tasks {
		o.reportViolation(RuleExplain, "", "", "job %q is unknown, but only %d of its %d tasks have ended", id, ended, j.Tasks)
	}
	if ok && (e.Waiting != waiting || e.Running != running || e.Done != j.done) {
		o.reportViolation(RuleExplain, "", "", "%+v, want %d waiting, %d running, %d done", e, waiting, running, j.done)
	}
	return e, ok
}

// allocate allocates capacity on the worker to the task.
func (o *Oracle) allocate(t *taskRecord, worker model.WorkerID, size model.Resources) {
	w := o.getOrAddWorker(worker)
	w.heldTasks++
	w.granted = w.granted.Add(size)
	o.granted[t.job.Branch] = o.granted[t.job.Branch].Add(size)
	t.phase = phaseAssumed
	t.worker, t.size = worker, size
	t.stopRequested = false
}

// release frees the capacity of the task and marks it as waiting.
func (o *Oracle) release(t *taskRecord) {
	w := o.getOrAddWorker(t.worker)
	w.heldTasks--
	w.granted = w.granted.Sub(t.size)
	o.granted[t.job.Branch] = o.granted[t.job.Branch].Sub(t.size)
	t.phase = phaseWaiting
	t.worker = ""
}
