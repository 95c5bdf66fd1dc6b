package schedule

import (
	"time"

	"filbertcross/internal/model"
)

const (
	overuse      = 1.1  // use above the grant times this breaks the grant
	fullFraction = 0.9  // used part of a worker's processors from which overuse is throttled
	memoryLimit  = 0.95 // used part of a worker's memory from which the largest overuser is moved
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
	if r.job.Kind == model.KindService && u.RunTime >= s.opts.HealthyAfter && !r.healthy {
		s.succeeded(r)
	}
	if !s.opts.LearnFromUsage {
		return
	}
	r.job.class.estimate.observe(u.Used, r.size, r.throttled)
	s.correct(r)
}

// correct throttles or moves a run by rule.
func (s *Scheduler) correct(r *run) {
	w := r.worker
	if float64(w.used.MemoryMiB) > memoryLimit*float64(w.Capacity.MemoryMiB) {
		s.moveOveruser(w)
	}
	over := float64(r.used.MilliCPU) > overuse*float64(r.size.MilliCPU)
	short := float64(w.used.MilliCPU) > fullFraction*float64(w.Capacity.MilliCPU)
	if over && short && !r.throttle {
		r.throttle = true
		s.review(r)
	}
}

// moveOveruser moves the task furthest above its memory grant, one at a time.
func (s *Scheduler) moveOveruser(w *worker) {
	var worst *run
	excess := int64(0)
	for _, r := range w.runs {
		if r.misplaced || r.stop != stopNone {
			return // wait until that one is gone
		}
		over := r.used.MemoryMiB - r.size.MemoryMiB
		if r.job != nil && r.job.Restartable && r.confirmed && over > excess {
			worst, excess = r, over
		}
	}
	if worst != nil {
		worst.misplaced = true
		s.review(worst)
	}
}
