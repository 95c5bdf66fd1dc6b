package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// Adopt marks a queued task as holding capacity, as after a recovery. The job and the
// worker may become known later; until then the capacity is held all the same.
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
		s.hold(r)
		return
	}
	if !s.claim(j, r) {
		return
	}
	s.hold(r)
	s.afterAdoption(j)
}

// claim makes the run the one of a waiting task of its job.
func (s *Scheduler) claim(j *job, r *run) bool {
	if int(r.index) >= len(j.states) || j.waiting == 0 || j.states[r.index] != taskWaiting {
		return false
	}
	j.mark(r.index)
	s.note(j, -1, 0)
	r.job = j
	return true
}

// attachOrphans gives a new job the runs that were adopted before it was submitted.
func (s *Scheduler) attachOrphans(j *job) {
	orphans := s.cluster.orphans[j.ID]
	if len(orphans) == 0 {
		return
	}
	delete(s.cluster.orphans, j.ID)
	for _, r := range orphans {
		if s.claim(j, r) {
			s.running-- // counted again by join
			s.join(r)
		}
	}
	s.afterAdoption(j)
}

// afterAdoption brings the queue up to date once a waiting task of the job is not waiting
// any more.
func (s *Scheduler) afterAdoption(j *job) {
	if j.Kind == model.KindGang && j.heapPos >= 0 {
		s.dequeue(j)
	}
	s.settle(j.class)
	for _, r := range j.runs {
		s.review(r)
	}
}

// Confirm makes an assumed placement final: its log entry is durable.
func (s *Scheduler) Confirm(now time.Time, task model.TaskID) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil || r.confirmed {
		return
	}
	r.confirmed = true
	r.started = s.cluster.now
	s.review(r)
}

// Forget takes an assumed placement back; the task is queued again at its old position.
func (s *Scheduler) Forget(now time.Time, task model.TaskID) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil || r.confirmed {
		return
	}
	s.release(r)
	if r.probe {
		s.probeEnded(r.worker)
	}
	s.requeue(r)
}

// Finish frees the capacity of a task's run. Unless the outcome is done or canceled, or
// the job's retries are spent, the task is queued again.
func (s *Scheduler) Finish(now time.Time, task model.TaskID, outcome model.Outcome) {
	s.advance(now)
	r := s.cluster.runs[task]
	if r == nil {
		return
	}
	s.release(r)
	if r.job == nil {
		s.dropOrphan(r)
		return
	}
	s.judge(r, outcome)
	switch {
	case outcome == model.OutcomeDone:
		r.job.done++
		s.endTask(r)
	case r.job.closed():
		s.endTask(r)
	case outcome == model.OutcomeCanceled:
		s.blameGang(r.job, gangFault)
		s.endTask(r)
	case outcome != model.OutcomeNotStart && !r.job.Restartable:
		s.giveUp(r)
	case outcome == model.OutcomeFailed && s.retriesSpent(r):
		s.giveUp(r)
	default:
		s.requeue(r)
	}
}

// release frees what a run holds and forgets its worker if that was to be removed.
func (s *Scheduler) release(r *run) {
	s.free(r)
	if w := r.worker; w.removed && len(w.runs) == 0 {
		s.forgetWorker(w)
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

// endTask ends the task of a run for good.
func (s *Scheduler) endTask(r *run) {
	j := r.job
	j.states[r.index] = taskEnded
	s.enqueue(j) // a gang's other tasks may wait for this end
	s.retire(j)
}

// giveUp ends a task whose retries are spent. A gang cannot run without it.
func (s *Scheduler) giveUp(r *run) {
	s.stats.Abandoned++
	s.blameGang(r.job, "a task of the gang failed too often or cannot be run again")
	s.endTask(r)
}

// blameGang ends the retries of a gang, which cannot run without each of its tasks.
func (s *Scheduler) blameGang(j *job, why string) {
	if j.Kind == model.KindGang && j.fault == "" {
		s.blame(j, why)
	}
}

// requeue makes the run's task wait again.
func (s *Scheduler) requeue(r *run) {
	j := r.job
	if j.closed() {
		s.endTask(r)
		return
	}
	j.giveBack(r.index)
	s.note(j, 1, 0)
	s.enqueue(j)
	s.settle(j.class)
	if j.Kind == model.KindGang {
		for _, other := range j.runs {
			s.review(other)
		}
	}
}

// retire forgets a job of which nothing waits or runs, and keeps its counts for a while.
func (s *Scheduler) retire(j *job) {
	if !j.ended() || j.retired {
		return
	}
	j.retired = true
	j.states, j.failures, j.evicted, j.returned = nil, nil, nil, nil
	j.failedOn, j.succeeded, j.runs = nil, nil, nil
	j.class.jobCount--
	s.retireClass(j.class)
	s.ended = append(s.ended, j.ID)
	if len(s.ended) > s.opts.MaxEndedJobs {
		delete(s.jobs, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// retireClass forgets a class of which no job is left.
func (s *Scheduler) retireClass(c *class) {
	if c.jobCount == 0 && c.state == classIdle && s.queue.classes[c.key] == c {
		delete(s.queue.classes, c.key)
	}
}

// dequeue takes a job out of its class's heap.
func (s *Scheduler) dequeue(j *job) {
	heap.Remove(&j.class.jobs, j.heapPos)
}
