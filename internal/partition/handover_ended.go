package partition

import (
	"time"

	"filbertcross/internal/model"
)

// askEndedEvery is the time between two looks whether jobs that were handed over
// have ended, so that their ids and keys can be dropped here as well.
const askEndedEvery = 10 * time.Minute

// askEnded asks where the jobs that other partitions have logged stand.
func (o *Owner) askEnded() {
	if o.now.Sub(o.endsSeen) < askEndedEvery {
		return
	}
	o.endsSeen = o.now
	for _, j := range o.state.ordered() {
		if j.Acknowledged && j.EndedAt.IsZero() {
			o.emit(QueryJobEnded{Job: j.Job.ID, At: j.HandedTo})
		}
	}
}

// HandedOverJobEnded answers an AskEnded when the job has ended. That its partition does
// not know it proves nothing: a deposed owner may have answered.
func (o *Owner) HandedOverJobEnded(now time.Time, id model.JobID) {
	if !o.begin(now) {
		return
	}
	if j := o.state.jobs[id]; j == nil || !j.Acknowledged || !j.EndedAt.IsZero() || o.storeRefuses() {
		return
	}
	o.log(&item{
		records: []logged{{HandOver: &handOver{Job: id, Step: handedJobEnded, At: o.now.UTC()}}},
		durable: func() {},
		failed:  func(error) {}, // asked again
	})
	o.advance()
}
