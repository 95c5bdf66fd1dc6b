package schedule

import (
	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// mustFit panics if a placement would exceed the worker's capacity.
func mustFit(w *worker, size model.Resources) {
	if size.HasNegative() || !size.FitsIn(w.free()) {
		panic(errors.AssertionFailedf("grant of %s exceeds the free capacity of worker %s: %s", size, w.ID, w.free()))
	}
}

// mustNotBePlaced panics if the run's task already holds capacity.
func mustNotBePlaced(c *cluster, r *run) {
	if other := c.runs[r.id]; other != nil {
		panic(errors.AssertionFailedf("task %s already holds capacity on worker %s", r.id, other.worker.ID))
	}
}

// CheckInvariants verifies that all totals and lists agree. It checks every worker, task, job
// and class; cheap invariants are asserted by each operation.
func (s *Scheduler) CheckInvariants() error {
	return errors.CombineErrors(s.checkWorkers(), errors.CombineErrors(s.checkJobs(), s.checkClasses()))
}

// checkWorkers compares the workers' grants and the totals with the workers' runs.
func (s *Scheduler) checkWorkers() error {
	runs := 0
	var free model.Resources
	for _, w := range s.cluster.ring {
		var granted model.Resources
		for _, r := range w.runs {
			if r.worker != w || s.cluster.runs[r.id] != r {
				return errors.Newf("run %s is in the lists of two workers", r.id)
			}
			granted = granted.Add(r.size)
		}
		runs += len(w.runs)
		if granted != w.granted {
			return errors.Newf("worker %s grants %s, its runs hold %s", w.ID, w.granted, granted)
		}
		if w.schedulable() {
			free = free.Add(w.free())
		}
	}
	if runs != len(s.cluster.runs) || runs != s.running {
		return errors.Newf("%d runs on workers, %d known, %d counted", runs, len(s.cluster.runs), s.running)
	}
	if free != s.cluster.free {
		return errors.Newf("total free capacity is %s, workers have %s", s.cluster.free, free)
	}
	return nil
}

// checkJobs compares the jobs' counts and the branches' usage with the tasks and runs.
func (s *Scheduler) checkJobs() error {
	waiting := 0
	usage := map[*branch]model.Resources{}
	for _, j := range s.jobs {
		if j.retired {
			continue
		}
		if err := s.checkJob(j); err != nil {
			return err
		}
		waiting += j.waiting
		for _, r := range j.runs {
			usage[j.branch] = usage[j.branch].Add(r.size)
		}
	}
	if waiting != s.waiting {
		return errors.Newf("%d tasks wait, %d counted", waiting, s.waiting)
	}
	for _, b := range s.branches {
		if b.usage != usage[b] {
			return errors.Newf("branch %s uses %s, its runs hold %s", b.ID, b.usage, usage[b])
		}
	}
	return nil
}

func (s *Scheduler) checkJob(j *job) error {
	counts := [taskEnded + 1]int{}
	for _, state := range j.states {
		counts[state]++
	}
	if !j.closed() && counts[taskWaiting] != j.waiting {
		return errors.Newf("job %s counts %d waiting, %d wait", j.ID, j.waiting, counts[taskWaiting])
	}
	if counts[taskPlaced] != len(j.runs) {
		return errors.Newf("job %s has %d runs, %d tasks placed", j.ID, len(j.runs), counts[taskPlaced])
	}
	if gang := j.Kind == model.KindGang; gang && len(j.runs) > 0 && j.heapPos >= 0 {
		return errors.Newf("gang %s is queued while %d of its tasks hold capacity", j.ID, len(j.runs))
	}
	queued := j.heapPos >= 0 || !j.notBefore.IsZero() || j.Kind == model.KindGang && len(j.runs) > 0
	if j.waiting > 0 && !queued {
		return errors.Newf("job %s has waiting tasks but is in no queue", j.ID)
	}
	return nil
}

// checkClasses finds classes that have jobs but are in no queue, and wrong hold counts.
func (s *Scheduler) checkClasses() error {
	for _, c := range s.queue.classes {
		if c.head() != nil && c.state == classIdle {
			return errors.Newf("class of workload %s has jobs but is in no queue", c.key.workload)
		}
		held := 0
		for _, h := range c.holds {
			held += h.tasks
		}
		if held != c.heldTasks {
			return errors.Newf("class of workload %s counts %d held tasks, its holds cover %d", c.key.workload, c.heldTasks, held)
		}
	}
	return nil
}
