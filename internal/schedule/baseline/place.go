package baseline

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Decide implements schedule.Decider.
func (q *Queue) Decide(_ time.Time, limit int) []schedule.Decision {
	decisions := q.takeCommands(limit)
	unplaceable := make(map[model.Resources]bool)
	unfinished := q.jobs[:0]
	for _, j := range q.jobs {
		if j.unfinished() == 0 {
			continue
		}
		unfinished = append(unfinished, j)
		if j.waiting == 0 || len(decisions) >= limit || unplaceable[j.Size] {
			continue
		}
		if j.Kind == model.KindGang {
			decisions = append(decisions, q.placeGang(j, limit-len(decisions))...)
			continue
		}
		placed, fits := q.placeTasks(j, limit-len(decisions))
		decisions = append(decisions, placed...)
		if !fits {
			unplaceable[j.Size] = true
		}
	}
	clear(q.jobs[len(unfinished):])
	q.jobs = unfinished
	return decisions
}

// takeCommands removes at most limit queued commands and returns them. It drops commands for
// runs that have already ended.
func (q *Queue) takeCommands(limit int) []schedule.Decision {
	var decisions []schedule.Decision
	for len(q.commands) > 0 && len(decisions) < limit {
		d := q.commands[0]
		q.commands = q.commands[1:]
		t := q.tasksByID[d.Task]
		if t.state == statePlaced && t.stopping && t.worker.ID == d.Worker {
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// placeTasks places the job's waiting tasks one by one. It returns fits false if no worker
// has enough free capacity for the next task.
func (q *Queue) placeTasks(j *job, limit int) (decisions []schedule.Decision, fits bool) {
	for _, t := range j.tasks {
		if t.state != stateWaiting {
			continue
		}
		if len(decisions) >= limit || !q.quotaAllows(j, 1) {
			return decisions, true
		}
		w := q.pickWorker(j.Size)
		if w == nil {
			return decisions, false
		}
		q.allocate(t, w, j.Size)
		decisions = append(decisions, placeDecision(t, 0))
	}
	return decisions, true
}

// placeGang places all unfinished tasks of the gang, or none of them.
func (q *Queue) placeGang(j *job, limit int) []schedule.Decision {
	unfinished := j.unfinished()
	if j.waiting != unfinished || unfinished > limit || !q.quotaAllows(j, unfinished) {
		return nil
	}
	q.lastGroup++
	var decisions []schedule.Decision
	for _, t := range j.tasks {
		if t.state != stateWaiting {
			continue
		}
		w := q.pickWorker(j.Size)
		if w == nil {
			q.releaseAll(decisions)
			return nil
		}
		q.allocate(t, w, j.Size)
		decisions = append(decisions, placeDecision(t, q.lastGroup))
	}
	return decisions
}

func (q *Queue) releaseAll(placed []schedule.Decision) {
	for _, d := range placed {
		q.release(q.tasksByID[d.Task])
	}
}

// pickWorker returns a worker with enough free capacity, or nil. The search starts at the first
// worker for first fit, at a random one for random fit.
func (q *Queue) pickWorker(size model.Resources) *worker {
	start := 0
	if q.rng != nil && len(q.workers) > 0 {
		start = q.rng.IntN(len(q.workers))
	}
	for i := range q.workers {
		w := q.workers[(start+i)%len(q.workers)]
		if w.accepts(size) {
			return w
		}
	}
	return nil
}

// quotaAllows reports whether n more tasks of the job stay within the branch's quota.
func (q *Queue) quotaAllows(j *job, n int) bool {
	granted := q.granted[j.Branch].Add(multiply(j.Size, n))
	return withinQuota(granted, q.branches[j.Branch].Quota)
}

func placeDecision(t *task, group int64) schedule.Decision {
	return schedule.Decision{
		Action: schedule.ActionPlace,
		Task:   t.id,
		Job:    t.job.ID,
		Branch: t.job.Branch,
		Worker: t.worker.ID,
		Size:   t.size,
		Group:  group,
	}
}

// allocate allocates capacity on the worker to a waiting task.
func (q *Queue) allocate(t *task, w *worker, size model.Resources) {
	t.state, t.assumed, t.stopping = statePlaced, true, false
	t.worker, t.size = w, size
	t.job.waiting--
	w.tasks[t.id] = t
	w.granted = w.granted.Add(size)
	q.granted[t.job.Branch] = q.granted[t.job.Branch].Add(size)
}

// release frees a placed task's capacity and queues the task again.
func (q *Queue) release(t *task) {
	w := t.worker
	delete(w.tasks, t.id)
	w.granted = w.granted.Sub(t.size)
	q.granted[t.job.Branch] = q.granted[t.job.Branch].Sub(t.size)
	t.state, t.assumed, t.worker = stateWaiting, false, nil
	t.job.waiting++
}

// endTask removes a waiting task from the queue for good.
func (q *Queue) endTask(t *task) {
	t.state = stateEnded
	t.job.waiting--
}

// requeueGang stops the other tasks of a gang that lost a task, so that all of them are placed
// together again. It does nothing for other jobs.
func (q *Queue) requeueGang(j *job) {
	if j.Kind != model.KindGang {
		return
	}
	for _, t := range j.tasks {
		if t.state == statePlaced {
			q.queueCommand(t, schedule.ActionMove, "gang")
		}
	}
}

// queueCommand queues a command that ends the run of a placed task. Once a command was queued
// for the run, only a further ActionStop is queued.
func (q *Queue) queueCommand(t *task, action schedule.Action, reason string) {
	if t.stopping && action != schedule.ActionStop {
		return
	}
	t.stopping = true
	q.commands = append(q.commands, schedule.Decision{
		Action: action,
		Task:   t.id,
		Job:    t.job.ID,
		Branch: t.job.Branch,
		Worker: t.worker.ID,
		Reason: reason,
	})
}
