package schedule

import "filbertcross/internal/model"

// Assume grants size on the worker to a waiting task of the job. It panics if the worker
// lacks the free capacity.
func (s *Scheduler) Assume(j *job, w *worker, size model.Resources) *run {
	index := j.takeWaiting()
	s.adjustTaskCounts(j, -1, 0)
	r := &run{
		id: j.taskID(index), jobID: j.ID, job: j, index: index, worker: w, size: size,
		started: s.cluster.now,
	}
	mustFit(w, size)
	s.allocate(r)
	return r
}

// UndoAssume reverts an Assume of the same Decide call.
func (s *Scheduler) UndoAssume(r *run) {
	s.deallocate(r)
	r.job.returnTask(r.index)
	s.adjustTaskCounts(r.job, 1, 0)
}

// allocate records that the run holds capacity, in its worker, job and branch.
func (s *Scheduler) allocate(r *run) {
	mustNotBePlaced(&s.cluster, r)
	s.cluster.grant(r)
	if r.job == nil {
		s.running++
		return
	}
	s.addToJob(r)
}

// addToJob adds the run to its job and branch.
func (s *Scheduler) addToJob(r *run) {
	j := r.job
	r.jobPos = len(j.runs)
	j.runs = append(j.runs, r)
	j.branch.usage = j.branch.usage.Add(r.size)
	j.branch.claimedByTier[j.Tier] = j.branch.claimedByTier[j.Tier].Add(r.size)
	j.countPlacement(r.worker, 1)
	s.adjustTaskCounts(j, 0, 1)
}

// deallocate frees the run's capacity in its worker, job and branch.
func (s *Scheduler) deallocate(r *run) {
	s.cluster.revoke(r)
	j := r.job
	if j == nil {
		s.running--
		return
	}
	last := j.runs[len(j.runs)-1]
	j.runs[r.jobPos] = last
	last.jobPos = r.jobPos
	j.runs = j.runs[:len(j.runs)-1]
	b := j.branch
	b.usage = b.usage.Sub(r.size)
	b.claimedByTier[j.Tier] = b.claimedByTier[j.Tier].Sub(r.size)
	if !b.usageReduced {
		b.usageReduced = true
		s.reducedBranches = append(s.reducedBranches, b)
	}
	if r.stop == stopPreempted {
		b.stopping = b.stopping.Sub(r.size)
	}
	j.countPlacement(r.worker, -1)
	s.adjustTaskCounts(j, 0, -1)
}
