package schedule

import (
	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// mustFit panics if a placement would exceed the worker's capacity.
func mustFit(w *worker, size model.Resources) {
	if size.Negative() || !size.Fits(w.free()) {
		panic(errors.AssertionFailedf("grant of %s exceeds what is free on worker %s: %s", size, w.ID, w.free()))
	}
}

// mustNotBePlaced panics if the run's task holds a place already.
func mustNotBePlaced(c *cluster, r *run) {
	if other := c.runs[r.id]; other != nil {
		panic(errors.AssertionFailedf("task %s holds a place on worker %s already", r.id, other.worker.ID))
	}
}

// CheckInvariants compares all sums and lists with each other. It looks at every worker,
// task, job and class; the cheap invariants are asserted with each operation.
func (s *Scheduler) CheckInvariants() error {
	return errors.CombineErrors(s.checkWorkers(), errors.CombineErrors(s.checkJobs(), s.checkClasses()))
}

// checkWorkers compares what workers grant with their runs.
func (s *Scheduler) checkWorkers() error {
	runs := 0
	var free model.Resources
	for _, w := range s.cluster.ring {
		var granted model.Resources
		for _, r := range w.runs {
			if r.worker != w || s.cluster.runs[r.id] != r {
				return errors.Newf("run %s is on the lists of two workers", r.id)
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
		return errors.Newf("free sum is %s, workers have %s", s.cluster.free, free)
	}
	return nil
}

// checkJobs compares the jobs' counts with their tasks' states.
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
		return errors.Newf("job %s has waiting tasks and is in no queue", j.ID)
	}
	return nil
}

// checkClasses looks for classes with queued jobs that are in no queue.
func (s *Scheduler) checkClasses() error {
	for _, c := range s.queue.classes {
		if c.head() != nil && c.state == classIdle {
			return errors.Newf("class of workload %s has jobs and is in no queue", c.key.workload)
		}
		held := 0
		for _, h := range c.holds {
			held += h.tasks
		}
		if held != c.heldTasks {
			return errors.Newf("class of workload %s counts %d held tasks, holds %d", c.key.workload, c.heldTasks, held)
		}
	}
	return nil
}
