package schedule

import (
	"time"

	"filbertcross/internal/model"
)

const (
	cpuOveruseFactor   = 1.1  // use above the grant times this breaks the grant
	cpuFullFraction    = 0.9  // used part of a worker's processors from which overuse is throttled
	memoryFullFraction = 0.95 // used part of a worker's memory from which the largest overuser is moved
)

// Observe learns from a usage report and corrects a placement that turned out wrong: a
// task above its processor grant is throttled once its worker is short of processors; on
// a worker short of memory the task furthest above its memory grant is moved. Its next
// grant follows what was learned.
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

// correctPlacement throttles or moves a run by rule.
func (s *Scheduler) correctPlacement(r *run) {
	w := r.worker
	if float64(w.used.MemoryMiB) > memoryFullFraction*float64(w.Capacity.MemoryMiB) {
		s.moveMemoryOveruser(w)
	}
	over := float64(r.used.MilliCPU) > cpuOveruseFactor*float64(r.size.MilliCPU)
	short := float64(w.used.MilliCPU) > cpuFullFraction*float64(w.Capacity.MilliCPU)
	if over && short && !r.throttleWanted {
		r.throttleWanted = true
		s.queueReview(r)
	}
}

// moveMemoryOveruser moves the task furthest above its memory grant, one at a time.
func (s *Scheduler) moveMemoryOveruser(w *worker) {
	var worst *run
	excess := int64(0)
	for _, r := range w.runs {
		if r.moveWanted || r.stop != stopNone {
			return // wait until that one is gone
		}
		over := r.used.MemoryMiB - r.size.MemoryMiB
		if r.job != nil && r.job.Restartable && r.confirmed && over > excess {
			worst, excess = r, over
		}
	}
	if worst != nil {
		worst.moveWanted = true
		s.queueReview(worst)
	}
}
