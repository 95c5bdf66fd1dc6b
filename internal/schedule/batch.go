package schedule

// batchPolicy packs batch tasks. It takes the first candidates in index order that fit and
// chooses the tightest fit among them, so that other workers stay free for gangs and large
// tasks.
type batchPolicy struct{ ranker }

func (p *batchPolicy) atomicTasks(*job) int { return 1 }

func (p *batchPolicy) place(view ClusterView, alloc Allocator, q *query) []*run {
	w := p.pickWorker(view, q)
	if w == nil {
		return nil
	}
	return []*run{alloc.Assume(q.job, w, q.size)}
}

// pickWorker returns a worker for one task, or nil. It prefers a worker held for the class.
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

// pickInDomain returns a worker in the failure domain for one task, or nil.
func (p *batchPolicy) pickInDomain(view ClusterView, d *domain, q *query) *worker {
	return p.bestWorker(view, d, 0, q, func(w *worker) float64 { return packingScore(w, q.size) })
}
