package schedule

import "filbertcross/internal/model"

// ranker keeps the best of a bounded number of candidates.
type ranker struct{ limit int }

// scorer gives a worker's score for a query; the highest wins.
type scorer func(*worker) float64

// bestWorker scores at most limit workers of the domain from a position on and returns the
// best, or nil.
func (r ranker) bestWorker(view ClusterView, d *domain, start int, q *query, score scorer) *worker {
	var top *worker
	topScore := 0.0
	left := r.limit
	view.ScanDomain(d, start, q, func(w *worker) bool {
		if value := score(w); top == nil || value > topScore {
			top, topScore = w, value
		}
		left--
		return left > 0
	})
	return top
}

// heldWorker returns a worker on which room is kept for the query's class and free now.
func heldWorker(view ClusterView, q *query) *worker {
	for _, h := range view.HoldsFor(q) {
		w := h.worker
		if w.schedulable() && q.size.Fits(w.free()) && !q.job.failedOnWorker(w) {
			return w
		}
	}
	return nil
}

// packingScore is higher the less of the worker's capacity is left once the task is on it,
// and the more alike the free components are, so that no resource is stranded.
func packingScore(w *worker, size model.Resources) float64 {
	left := w.free().Sub(size)
	cpu := fraction(left.MilliCPU, w.Capacity.MilliCPU)
	memory := fraction(left.MemoryMiB, w.Capacity.MemoryMiB)
	accelerators := fraction(left.Accelerators, w.Capacity.Accelerators)
	skew := max(cpu, memory) - min(cpu, memory)
	score := -(cpu + memory) / 2
	score -= skew / 2
	if size.Accelerators == 0 {
		score -= accelerators // keep accelerators for work that needs them
	}
	return score
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
