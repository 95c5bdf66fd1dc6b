package schedule

// batchPolicy packs tasks that end: the first workers of the index with room, and the
// tightest of these, so that the rest stays free for gangs and large tasks.
type batchPolicy struct{ ranker }

func (p *batchPolicy) together(*job) int { return 1 }

func (p *batchPolicy) place(view ClusterView, plan Allocator, q *query) []*run {
	w := p.pick(view, q)
	if w == nil {
		return nil
	}
	return []*run{plan.Assume(q.job, w, q.size)}
}

// pick returns the worker for one task, or nil.
func (p *batchPolicy) pick(view ClusterView, q *query) *worker {
	if w := held(view, q); w != nil {
		return w
	}
	for _, d := range view.Domains() {
		if w := p.pickIn(view, d, q); w != nil {
			return w
		}
	}
	return nil
}

// pickIn returns the worker of a failure domain for one task, or nil.
func (p *batchPolicy) pickIn(view ClusterView, d *domain, q *query) *worker {
	return p.best(view, d, 0, q, func(w *worker) float64 { return tightness(w, q.size) })
}
