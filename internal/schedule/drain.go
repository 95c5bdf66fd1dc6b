package schedule

import (
	"slices"

	"filbertcross/internal/model"
)

// noteLeaving lists a worker that began to leave.
func (s *Scheduler) noteLeaving(w *worker) {
	if !w.Leaving {
		w.drain = false
		return
	}
	if w.drain || w.draining {
		return
	}
	w.draining = true
	s.leaving = append(s.leaving, w)
}

// drainWorkers has the runs of leaving workers moved, services first.
func (s *Scheduler) drainWorkers() {
	for _, w := range s.leaving {
		w.draining = false
		if !w.Leaving {
			continue
		}
		w.drain = true
		runs := slices.Clone(w.runs)
		slices.SortStableFunc(runs, func(a, b *run) int { return drainRank(a) - drainRank(b) })
		for _, r := range runs {
			s.review(r)
		}
	}
	s.leaving = s.leaving[:0]
}

func drainRank(r *run) int {
	if r.job != nil && r.job.Kind == model.KindService {
		return 0
	}
	return 1
}
