package schedule

import "filbertcross/internal/model"

// ranker chooses the best of a bounded number of candidates.
type ranker struct{ limit int }

// scorer returns a worker's score for a query; the highest score wins.
type scorer func(*worker) float64

// bestWorker scores at most limit workers of the domain, starting at an index position, and
// returns the best one, or nil if none can take the task.
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

// heldWorker returns a worker with a hold for the query's class that has enough free capacity
// now, or nil.
func heldWorker(view ClusterView, q *query) *worker {
	for _, h := range view.HoldsFor(q) {
		w := h.worker
		if w.schedulable() && q.size.FitsIn(w.free()) && !q.job.failedOnWorker(w) {
			return w
		}
	}
	return nil
}

// packingScore is higher the less free capacity the task leaves on the worker and the more
// balanced the remaining CPU and memory are, so that neither is stranded.
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
