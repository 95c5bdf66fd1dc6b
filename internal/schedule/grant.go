package schedule

import "filbertcross/internal/model"

// Assume takes a waiting task of the job and grants it the size on the worker.
func (s *Scheduler) Assume(j *job, w *worker, size model.Resources) *run {
	index := j.take()
	s.note(j, -1, 0)
	r := &run{
		id: j.taskID(index), jobID: j.ID, job: j, index: index, worker: w, size: size,
		started: s.cluster.now,
	}
	mustFit(w, size)
	s.hold(r)
	return r
}

// UndoAssume takes an assumed run back in the same decision.
func (s *Scheduler) UndoAssume(r *run) {
	s.free(r)
	r.job.giveBack(r.index)
	s.note(r.job, 1, 0)
}

// hold makes a run hold capacity, in its worker, job and branch.
func (s *Scheduler) hold(r *run) {
	mustBeNew(&s.cluster, r)
	s.cluster.grant(r)
	if r.job == nil {
		s.running++
		return
	}
	s.join(r)
}

// join adds a run to its job and branch.
func (s *Scheduler) join(r *run) {
	j := r.job
	r.posJob = len(j.runs)
	j.runs = append(j.runs, r)
	j.branch.usage = j.branch.usage.Add(r.size)
	j.branch.claimed[j.Tier] = j.branch.claimed[j.Tier].Add(r.size)
	j.spread(r.worker, 1)
	s.note(j, 0, 1)
}

// free takes a run's capacity back everywhere.
func (s *Scheduler) free(r *run) {
	s.cluster.revoke(r)
	j := r.job
	if j == nil {
		s.running--
		return
	}
	last := j.runs[len(j.runs)-1]
	j.runs[r.posJob] = last
	last.posJob = r.posJob
	j.runs = j.runs[:len(j.runs)-1]
	b := j.branch
	b.usage = b.usage.Sub(r.size)
	b.claimed[j.Tier] = b.claimed[j.Tier].Sub(r.size)
	if !b.released {
		b.released = true
		s.released = append(s.released, b)
	}
	if r.stop == stopPreempted {
		b.stopping = b.stopping.Sub(r.size)
	}
	j.spread(r.worker, -1)
	s.note(j, 0, -1)
}
