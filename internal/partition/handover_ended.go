package partition

import (
	"time"

	"filbertcross/internal/model"
)

// jobEndQueryInterval is the time between two queries whether handed-over jobs have ended,
// so that this partition can remove their ids and keys as well.
const jobEndQueryInterval = 10 * time.Minute

// queryHandedOverJobs queries the state of the jobs that other partitions have logged.
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

// HandedOverJobEnded answers a QueryJobEnded if the job has ended. An answer that the
// partition does not know the job proves nothing: it may come from an owner that has lost
// ownership.
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
		onFailed:  func(error) {}, // queried again later
	})
	o.decideAndFlush()
}
