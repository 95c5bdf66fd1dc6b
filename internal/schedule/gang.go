package schedule

// gangPolicy places all tasks of a job or none: in one failure domain if they fit there,
// otherwise across several.
type gangPolicy struct{ batchPolicy }

func (p *gangPolicy) atomicTasks(j *job) int { return j.waiting }

func (p *gangPolicy) place(view ClusterView, alloc Allocator, q *query) []*run {
	if len(q.job.runs) > 0 {
		return nil // runs of an earlier start must end first
	}
	if len(view.HoldsFor(q)) == 0 {
		if runs := p.placeInOneDomain(view, alloc, q); runs != nil {
			return runs
		}
	}
	return p.assumeAll(alloc, q, func() *worker { return p.pickWorker(view, q) })
}

// placeInOneDomain tries each failure domain whose total free capacity is large enough.
func (p *gangPolicy) placeInOneDomain(view ClusterView, alloc Allocator, q *query) []*run {
	need := q.job.waiting
	for _, d := range view.Domains() {
		if tasksThatFit(d.free, q.size) < need {
			continue
		}
		if runs := p.assumeAll(alloc, q, func() *worker { return p.pickInDomain(view, d, q) }); runs != nil {
			return runs
		}
	}
	return nil
}

// assumeAll assumes every waiting task on the workers that pick returns. If pick finds no
// worker for a task, it reverts them all and returns nil.
func (p *gangPolicy) assumeAll(alloc Allocator, q *query, pick func() *worker) []*run {
	runs := make([]*run, 0, q.job.waiting)
	for q.job.waiting > 0 {
		w := pick()
		if w == nil {
			for _, r := range runs {
				alloc.UndoAssume(r)
			}
			return nil
		}
		runs = append(runs, alloc.Assume(q.job, w, q.size))
	}
	return runs
}
