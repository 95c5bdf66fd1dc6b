package schedule

import (
	"filbertcross/internal/model"
)

// policy chooses the workers for tasks of one job kind.
type policy interface {
	// place assumes the next tasks of the query's job: one task, or all tasks that must be
	// placed together. If they do not fit now, it assumes nothing and returns nil.
	place(view ClusterView, alloc Allocator, q *query) []*run
	// atomicTasks returns how many tasks of the job must be placed together.
	atomicTasks(j *job) int
}

// policyOf returns the placement policy for jobs of the kind.
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
