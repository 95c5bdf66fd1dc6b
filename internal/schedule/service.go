package schedule

import (
	"math/rand/v2"
	"slices"
)

// Score penalties for each task of the same service on the worker and in its rack. A worker
// with fewer such tasks wins over a tighter fit, and a rack with fewer wins over both.
const (
	workerSpreadWeight = 5
	rackSpreadWeight   = 100
)

// servicePolicy spreads the tasks of a service. It prefers the failure domain, then the rack,
// then the worker with the fewest of them.
type servicePolicy struct {
	ranker
	rng *rand.Rand
}

func (p *servicePolicy) atomicTasks(*job) int { return 1 }

func (p *servicePolicy) place(view ClusterView, alloc Allocator, q *query) []*run {
	w := p.pickWorker(view, q)
	if w == nil {
		return nil
	}
	return []*run{alloc.Assume(q.job, w, q.size)}
}

func (p *servicePolicy) pickWorker(view ClusterView, q *query) *worker {
	if w := heldWorker(view, q); w != nil {
		return w
	}
	score := func(w *worker) float64 {
		penalty := rackSpreadWeight*q.job.racks[w.rackKey()] + workerSpreadWeight*q.job.workers[w]
		return packingScore(w, q.size) - float64(penalty)
	}
	for _, d := range p.orderDomains(view.Domains(), q.job) {
		start := 0
		if n := len(d.tree.workers); n > 0 {
			start = p.rng.IntN(n)
		}
		if w := p.bestWorker(view, d, start, q, score); w != nil {
			return w
		}
	}
	return nil
}

// orderDomains returns the failure domains sorted by the number of the job's tasks in them,
// fewest first, then by free CPU, most first.
func (p *servicePolicy) orderDomains(domains []*domain, j *job) []*domain {
	sorted := slices.Clone(domains)
	slices.SortStableFunc(sorted, func(a, b *domain) int {
		if d := j.domains[a] - j.domains[b]; d != 0 {
			return d
		}
		return int(b.free.MilliCPU - a.free.MilliCPU)
	})
	return sorted
}
