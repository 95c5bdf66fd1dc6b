package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// Adopt records that a task already holds capacity, for example after a recovery. The job and
// the worker may become known later; the capacity is held from the start.
func (s *Scheduler) Adopt(now time.Time, p Placement) {
	s.advance(now)
	if s.cluster.runs[p.Task] != nil {
		return
	}
	id, index, ok := splitTaskID(p.Task)
	if !ok {
		return
	}
	r := &run{
		id: p.Task, jobID: id, index: index, worker: s.cluster.worker(p.Worker),
		size: p.Size, started: p.Started, confirmed: true,
	}
	j := s.jobs[id]
	if j == nil {
		s.cluster.orphans[id] = append(s.cluster.orphans[id], r)
		s.allocate(r)
		return
	}
	if !s.attachRun(j, r) {
		return
	}
	s.allocate(r)
	s.afterAdoption(j)
}

// attachRun assigns the run to its task if that task is waiting, and reports whether it was.
func (s *Scheduler) attachRun(j *job, r *run) bool {
	if int(r.index) >= len(j.states) || j.waiting == 0 || j.states[r.index] != taskWaiting {
		return false
	}
	j.markPlaced(r.index)
	s.adjustTaskCounts(j, -1, 0)
	r.job = j
	return true
}

// attachOrphans attaches the runs that were adopted before their job was submitted.
func (s *Scheduler) attachOrphans(j *job) {
	orphans := s.cluster.orphans[j.ID]
	if len(orphans) == 0 {
		return
	}
	delete(s.cluster.orphans, j.ID)
	for _, r := range orphans {
		if s.attachRun(j, r) {
			s.running-- // counted again by addToJob
			s.addToJob(r)
		}
	}
	s.afterAdoption(j)
}

// afterAdoption updates the queue after runs were attached to waiting tasks of the job.
func (s *Scheduler) afterAdoption(j *job) {
	if j.Kind == model.KindGang && j.heapPos >= 0 {
		s.dequeueJob(j)
	}
	s.refreshClass(j.class)
	for _, r := range j.runs {
		s.queueReview(r)
	}
}

// Confirm makes an assumed placement final, once its log entry is durable.
func (s *Scheduler) Confirm(now time.Time, task model.TaskID) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil || r.confirmed {
		return
	}
	r.confirmed = true
	r.started = s.cluster.now
	s.queueReview(r)
}

// Forget reverts an assumed placement. The task is queued again at its old position.
func (s *Scheduler) Forget(now time.Time, task model.TaskID) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil || r.confirmed {
		return
	}
	s.releaseRun(r)
	if r.probe {
		s.endProbe(r.worker)
	}
	s.requeueTask(r)
}

// Finish frees the capacity of a task's run. The task is queued again unless the outcome is
// done or canceled, the job was canceled or abandoned, its retries are exhausted, or the task
// started and its job is not restartable.
func (s *Scheduler) Finish(now time.Time, task model.TaskID, outcome model.Outcome) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil {
		return
	}
	s.releaseRun(r)
	if r.job == nil {
		s.dropOrphan(r)
		return
	}
	s.recordOutcome(r, outcome)
	switch {
	case outcome == model.OutcomeDone:
		r.job.done++
		s.endTask(r)
	case r.job.closed():
		s.endTask(r)
	case outcome == model.OutcomeCanceled:
		s.abandonGang(r.job, gangNotRestartable)
		s.endTask(r)
	case outcome != model.OutcomeNotStarted && !r.job.Restartable:
		s.abandonTask(r)
	case outcome == model.OutcomeFailed && s.handleFailedRun(r):
		s.abandonTask(r)
	default:
		s.requeueTask(r)
	}
}

// releaseRun frees the run's capacity. If its worker was removed and this was the worker's
// last run, the worker is deleted.
func (s *Scheduler) releaseRun(r *run) {
	s.deallocate(r)
	if w := r.worker; w.removed && len(w.runs) == 0 {
		s.deleteWorker(w)
	}
}

func (s *Scheduler) dropOrphan(r *run) {
	left := s.cluster.orphans[r.jobID][:0]
	for _, other := range s.cluster.orphans[r.jobID] {
		if other != r {
			left = append(left, other)
		}
	}
	if len(left) == 0 {
		delete(s.cluster.orphans, r.jobID)
		return
	}
	s.cluster.orphans[r.jobID] = left
}

// endTask ends the run's task for good.
func (s *Scheduler) endTask(r *run) {
	j := r.job
	j.states[r.index] = taskEnded
	s.enqueueJob(j) // a gang's other tasks wait until all of its runs have ended
	s.retireJob(j)
}

// abandonTask ends a task that cannot be retried. If it belongs to a gang, the gang is
// abandoned, since it needs all of its tasks.
func (s *Scheduler) abandonTask(r *run) {
	s.stats.Abandoned++
	s.abandonGang(r.job, "a task of the gang failed too often or cannot be run again")
	s.endTask(r)
}

// abandonGang abandons the job if it is a gang, which needs all of its tasks.
func (s *Scheduler) abandonGang(j *job, reason string) {
	if j.Kind == model.KindGang && j.abandonReason == "" {
		s.abandonJob(j, reason)
	}
}

// requeueTask queues the run's task again. The other runs of a gang are reviewed, since a gang
// restarts as a whole.
func (s *Scheduler) requeueTask(r *run) {
	j := r.job
	if j.closed() {
		s.endTask(r)
		return
	}
	j.returnTask(r.index)
	s.adjustTaskCounts(j, 1, 0)
	s.enqueueJob(j)
	s.refreshClass(j.class)
	if j.Kind == model.KindGang {
		for _, other := range j.runs {
			s.queueReview(other)
		}
	}
}

// retireJob drops the state of a job without waiting or running tasks. Its counts are kept
// for Explain until Options.MaxEndedJobs later jobs have ended.
func (s *Scheduler) retireJob(j *job) {
	if !j.ended() || j.retired {
		return
	}
	j.retired = true
	j.states, j.failures, j.preemptions, j.requeued = nil, nil, nil, nil
	j.failedOn, j.succeeded, j.runs = nil, nil, nil
	j.class.jobCount--
	s.retireClass(j.class)
	s.endedJobs = append(s.endedJobs, j.ID)
	if len(s.endedJobs) > s.opts.MaxEndedJobs {
		delete(s.jobs, s.endedJobs[0])
		s.endedJobs = s.endedJobs[1:]
	}
}

// retireClass deletes a class without jobs.
func (s *Scheduler) retireClass(c *class) {
	if c.jobCount == 0 && c.state == classIdle && s.queue.classes[c.key] == c {
		delete(s.queue.classes, c.key)
	}
}

// dequeueJob removes a job from its class's heap.
func (s *Scheduler) dequeueJob(j *job) {
	heap.Remove(&j.class.jobs, j.heapPos)
}
