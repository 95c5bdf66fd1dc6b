package schedule

import (
	"filbertcross/internal/model"
)

// policy is how the tasks of one kind of workload are put on workers.
type policy interface {
	// place assumes the next tasks of the query's job: one, or all that run only
	// together. It returns nil, with nothing assumed, when they do not fit now.
	place(view ClusterView, plan Allocator, q *query) []*run
	// together returns how many tasks have to be placed at once.
	atomicTasks(j *job) int
}

// policyOf returns the policy for a kind that is placed.
func policyOf(kind model.Kind, s *Scheduler) policy {
	switch kind {
	case model.KindService:
		return &servicePolicy{ranker{s.opts.Candidates}, s.rng}
	case model.KindGang:
		return &gangPolicy{batchPolicy{ranker{s.opts.Candidates}}}
	default:
		return &batchPolicy{ranker{s.opts.Candidates}}
	}
}
