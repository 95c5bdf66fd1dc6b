package schedule

import (
	"slices"
	"time"

	"filbertcross/internal/model"
)

// Withdrawer is a Decider that can give a job up to another one.
type Withdrawer interface {
	// Withdraw forgets a job of which no task holds capacity. It may be submitted again.
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
