package schedule

import (
	"time"

	"filbertcross/internal/model"
)

const (
	cpuOveruseFactor   = 1.1  // CPU use above this multiple of the grant counts as overuse
	cpuFullFraction    = 0.9  // above this used fraction of a worker's CPU, overuse is throttled
	memoryFullFraction = 0.95 // above this used fraction of a worker's memory, the largest overuser is moved
)

// Observe processes a usage report. It updates the workload's estimate, from which later
// grants are computed. If the worker is short of CPU, a task that uses more CPU than its
// grant is throttled. If the worker is short of memory, the task that exceeds its memory
// grant the most is moved.
func (s *Scheduler) Observe(now time.Time, u Usage) {
	s.advance(now)
	r := s.cluster.runs[u.Task]
	if r == nil || r.worker.ID != u.Worker || r.job == nil {
		return
	}
	r.worker.used = r.worker.used.Sub(r.used).Add(u.Used)
	r.used = u.Used
	if r.job.Kind == model.KindService && u.RunTime >= s.opts.HealthyAfter && !r.countedSuccess {
		s.recordSuccess(r)
	}
	if !s.opts.LearnFromUsage {
		return
	}
	r.job.class.estimate.observe(u.Used, r.size, r.throttleSent)
	s.correctPlacement(r)
}

// correctPlacement throttles the run or moves a run off its worker, as Observe describes.
func (s *Scheduler) correctPlacement(r *run) {
	w := r.worker
	if float64(w.used.MemoryMiB) > memoryFullFraction*float64(w.Capacity.MemoryMiB) {
		s.moveMemoryOveruser(w)
	}
	cpuOverGrant := float64(r.used.MilliCPU) > cpuOveruseFactor*float64(r.size.MilliCPU)
	cpuShort := float64(w.used.MilliCPU) > cpuFullFraction*float64(w.Capacity.MilliCPU)
	if cpuOverGrant && cpuShort && !r.throttleWanted {
		r.throttleWanted = true
		s.queueReview(r)
	}
}

// moveMemoryOveruser moves the restartable task that exceeds its memory grant the most. It
// does nothing while another run of the worker is being moved or stopped.
func (s *Scheduler) moveMemoryOveruser(w *worker) {
	var worst *run
	worstExcessMiB := int64(0)
	for _, r := range w.runs {
		if r.moveWanted || r.stop != stopNone {
			return // wait until this run has ended
		}
		excessMiB := r.used.MemoryMiB - r.size.MemoryMiB
		if r.job != nil && r.job.Restartable && r.confirmed && excessMiB > worstExcessMiB {
			worst, worstExcessMiB = r, excessMiB
		}
	}
	if worst != nil {
		worst.moveWanted = true
		s.queueReview(worst)
	}
}
