package partition

import (
	"time"

	"filbertcross/internal/model"
)

// jobEndQueryInterval is the time between two looks whether jobs that were handed over
// have ended, so that their ids and keys can be dropped here as well.
const jobEndQueryInterval = 10 * time.Minute

// queryHandedOverJobs asks where the jobs that other partitions have logged stand.
func (o *Owner) queryHandedOverJobs() {
	if o.now.Sub(o.jobEndsQueriedAt) < jobEndQueryInterval {
		return
	}
	o.jobEndsQueriedAt = o.now
	for _, j := range o.state.ordered() {
		if j.Acknowledged && j.EndedAt.IsZero() {
			o.emit(QueryJobEnded{Job: j.Job.ID, At: j.HandedTo})
		}
	}
}

// HandedOverJobEnded answers an AskEnded when the job has ended. That its partition does
// not know it proves nothing: a deposed owner may have answered.
func (o *Owner) HandedOverJobEnded(now time.Time, id model.JobID) {
	if !o.beginInput(now) {
		return
	}
	if j := o.state.jobs[id]; j == nil || !j.Acknowledged || !j.EndedAt.IsZero() || o.appendsBlocked() {
		return
	}
	o.enqueue(&logItem{
		records:   []logRecord{{Handover: &handoverRecord{Job: id, Step: handoverJobEnded, At: o.now.UTC()}}},
		onDurable: func() {},
		onFailed:  func(error) {}, // asked again
	})
	o.decideAndFlush()
}
