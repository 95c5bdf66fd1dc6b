package schedule

import (
	"slices"
	"time"

	"filbertcross/internal/model"
)

// Withdrawer is a Decider from which a job can be withdrawn, so that another Decider can take
// it over.
type Withdrawer interface {
	// Withdraw removes a job without tasks that hold capacity; a job with such tasks is only
	// canceled. A removed job may be submitted again.
	Withdraw(now time.Time, job model.JobID)
}

var _ Withdrawer = (*Scheduler)(nil)

// Withdraw implements Withdrawer.
func (s *Scheduler) Withdraw(now time.Time, id model.JobID) {
	s.Cancel(now, id)
	if j := s.jobs[id]; j == nil || !j.retired {
		return
	}
	delete(s.jobs, id)
	s.endedJobs = slices.DeleteFunc(s.endedJobs, func(other model.JobID) bool { return other == id })
}
