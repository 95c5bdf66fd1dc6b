package baseline

import (
	"math/rand/v2"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Queue is a schedule.Decider that serves jobs in order of submission, without tiers, shares,
// deadlines, preemption, correction of sizes or quarantine. A job that does not fit is skipped
// until the next call of Decide. Only one goroutine at a time may use it.
type Queue struct {
	rng         *rand.Rand // nil: first fit
	branches    map[model.BranchID]model.Branch
	granted     map[model.BranchID]model.Resources
	workers     []*worker // in the order in which they were added
	workersByID map[model.WorkerID]*worker
	jobs        []*job // in submission order; Decide removes ended jobs
	jobsByID    map[model.JobID]*job
	tasksByID   map[model.TaskID]*task
	commands    []schedule.Decision // stops and moves not yet returned by Decide
	lastGroup   int64
}

var _ schedule.Decider = (*Queue)(nil)

// NewFirstFit returns a Queue that places each task on the first worker with enough free capacity.
func NewFirstFit() *Queue {
	return &Queue{
		branches:    make(map[model.BranchID]model.Branch),
		granted:     make(map[model.BranchID]model.Resources),
		workersByID: make(map[model.WorkerID]*worker),
		jobsByID:    make(map[model.JobID]*job),
		tasksByID:   make(map[model.TaskID]*task),
	}
}

// NewRandomFit returns a Queue that places each task on a random worker with enough free capacity.
func NewRandomFit(rng *rand.Rand) *Queue {
	q := NewFirstFit()
	q.rng = rng
	return q
}

// SetBranches implements schedule.Decider.
func (q *Queue) SetBranches(_ time.Time, branches []model.Branch) {
	clear(q.branches)
	for _, b := range branches {
		q.branches[b.ID] = b
	}
}

// UpsertWorker implements schedule.Decider.
func (q *Queue) UpsertWorker(_ time.Time, w schedule.Worker) {
	r := q.getOrAddWorker(w.ID)
	r.Worker = w
	r.listed = true
}

// getOrAddWorker returns the record of a worker and adds it if there is none.
func (q *Queue) getOrAddWorker(id model.WorkerID) *worker {
	w, ok := q.workersByID[id]
	if !ok {
		w = newWorker(id)
		q.workersByID[id] = w
		q.workers = append(q.workers, w)
	}
	return w
}

// RemoveWorker implements schedule.Decider.
func (q *Queue) RemoveWorker(_ time.Time, id model.WorkerID) {
	w, ok := q.workersByID[id]
	if !ok || len(w.tasks) > 0 {
		return
	}
	delete(q.workersByID, id)
	for i := range q.workers {
		if q.workers[i] == w {
			q.workers = append(q.workers[:i], q.workers[i+1:]...)
			return
		}
	}
}

// Submit implements schedule.Decider.
func (q *Queue) Submit(_ time.Time, spec model.Job) schedule.Status {
	if spec.Tasks < 1 || spec.Size.HasNegative() {
		return schedule.Status{Code: schedule.Invalid, Reason: "tasks or size"}
	}
	if _, ok := q.jobsByID[spec.ID]; ok {
		return schedule.Status{Code: schedule.Accepted}
	}
	j := newJob(spec)
	q.jobs = append(q.jobs, j)
	q.jobsByID[spec.ID] = j
	for _, t := range j.tasks {
		q.tasksByID[t.id] = t
	}
	for _, w := range q.workers {
		if spec.Size.FitsIn(w.Capacity) {
			return schedule.Status{Code: schedule.Accepted}
		}
	}
	return schedule.Status{Code: schedule.NeverFits, Reason: "capacity"}
}

// Adopt implements schedule.Decider.
func (q *Queue) Adopt(_ time.Time, p schedule.Placement) {
	t, ok := q.tasksByID[p.Task]
	if !ok || t.state != stateWaiting {
		return
	}
	q.allocate(t, q.getOrAddWorker(p.Worker), p.Size)
	t.assumed = false
}

// Cancel implements schedule.Decider.
func (q *Queue) Cancel(_ time.Time, id model.JobID) {
	j, ok := q.jobsByID[id]
	if !ok || j.canceled {
		return
	}
	j.canceled = true
	for _, t := range j.tasks {
		switch t.state {
		case stateWaiting:
			q.endTask(t)
		case statePlaced:
			q.queueCommand(t, schedule.ActionStop, "canceled")
		}
	}
}

// Observe implements schedule.Decider. It ignores usage: tasks are granted their declared sizes.
func (q *Queue) Observe(time.Time, schedule.Usage) {}

// Finish implements schedule.Decider.
func (q *Queue) Finish(_ time.Time, id model.TaskID, outcome model.Outcome) {
	t, ok := q.tasksByID[id]
	if !ok || t.state != statePlaced {
		return
	}
	q.release(t)
	if outcome == model.OutcomeFailed {
		t.failures++
	}
	if t.shouldRequeue(outcome) {
		q.requeueGang(t.job)
		return
	}
	q.endTask(t)
	if outcome == model.OutcomeDone {
		t.job.done++
	}
}

// shouldRequeue reports whether a task is queued again after a run with this outcome.
func (t *task) shouldRequeue(outcome model.Outcome) bool {
	switch {
	case t.job.canceled || outcome == model.OutcomeDone || outcome == model.OutcomeCanceled:
		return false
	case outcome == model.OutcomeNotStarted:
		return true
	}
	return t.job.Restartable && t.failures < maxFailures
}

// Confirm implements schedule.Decider.
func (q *Queue) Confirm(_ time.Time, id model.TaskID) {
	if t, ok := q.tasksByID[id]; ok {
		t.assumed = false
	}
}

// Forget implements schedule.Decider.
func (q *Queue) Forget(_ time.Time, id model.TaskID) {
	t, ok := q.tasksByID[id]
	if !ok || !t.assumed {
		return
	}
	q.release(t)
	if t.job.canceled {
		q.endTask(t)
	}
}

// Explain implements schedule.Decider.
func (q *Queue) Explain(id model.JobID) (schedule.Explanation, bool) {
	j, ok := q.jobsByID[id]
	if !ok {
		return schedule.Explanation{}, false
	}
	unfinished := j.unfinished()
	return schedule.Explanation{
		Job:     id,
		Waiting: j.waiting,
		Running: unfinished - j.waiting,
		Done:    j.done,
		Reason:  "capacity",
	}, true
}
