package schedule

import (
	"slices"

	"filbertcross/internal/model"
)

// trackLeaving records a worker that started leaving, for the next drainWorkers.
func (s *Scheduler) trackLeaving(w *worker) {
	if !w.Leaving {
		w.moveRuns = false
		return
	}
	if w.moveRuns || w.leavingListed {
		return
	}
	w.leavingListed = true
	s.newlyLeaving = append(s.newlyLeaving, w)
}

// drainWorkers queues reviews of the runs on workers that started leaving, which move the
// runs away. Services come first.
func (s *Scheduler) drainWorkers() {
	for _, w := range s.newlyLeaving {
		w.leavingListed = false
		if !w.Leaving {
			continue
		}
		w.moveRuns = true
		runs := slices.Clone(w.runs)
		slices.SortStableFunc(runs, func(a, b *run) int { return drainOrder(a) - drainOrder(b) })
		for _, r := range runs {
			s.queueReview(r)
		}
	}
	s.newlyLeaving = s.newlyLeaving[:0]
}

func drainOrder(r *run) int {
	if r.job != nil && r.job.Kind == model.KindService {
		return 0
	}
	return 1
}
