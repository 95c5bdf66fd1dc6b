package schedule

// batchPolicy packs tasks that end: the first workers of the index with room, and the
// tightest of these, so that the rest stays free for gangs and large tasks.
type batchPolicy struct{ ranker }

func (p *batchPolicy) atomicTasks(*job) int { return 1 }

func (p *batchPolicy) place(view ClusterView, plan Allocator, q *query) []*run {
	w := p.pickWorker(view, q)
	if w == nil {
		return nil
	}
	return []*run{plan.Assume(q.job, w, q.size)}
}

// pickWorker returns the worker for one task, or nil.
func (p *batchPolicy) pickWorker(view ClusterView, q *query) *worker {
	if w := heldWorker(view, q); w != nil {
		return w
	}
	for _, d := range view.Domains() {
		if w := p.pickInDomain(view, d, q); w != nil {
			return w
		}
	}
	return nil
}

// pickInDomain returns the worker of a failure domain for one task, or nil.
func (p *batchPolicy) pickInDomain(view ClusterView, d *domain, q *query) *worker {
	return p.bestWorker(view, d, 0, q, func(w *worker) float64 { return packingScore(w, q.size) })
}
