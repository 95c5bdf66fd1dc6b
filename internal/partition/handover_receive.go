package partition

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// ReceiveHandover takes a job that another partition has handed out. It is answered by a
// Reply: without an error and with an Accepted status the job is durable here and
// placed as this partition's own; with NeverFits or Invalid this try is refused,
// which is durable too, so that a late repeat gets the same answer. Errors as of
// Submit. It is idempotent by the job's id and try.
func (o *Owner) ReceiveHandover(now time.Time, token Token, handed HandedOverJob) {
	o.now = now
	known := o.state.jobs[handed.ID]
	j, err := decode[*jobState](handed.State)
	switch {
	case o.deposed:
		o.emit(Reply{Token: token, Job: handed.ID, Err: ErrOwnershipLost})
	case known != nil && !known.outdatedBy(handed.Try):
		o.emit(Reply{Token: token, Job: handed.ID, Status: known.handInStatus()})
	case o.arriving[handed.ID] != nil:
		o.arriving[handed.ID] = append(o.arriving[handed.ID], token)
	case err != nil:
		o.emit(Reply{Token: token, Job: handed.ID, Err: err})
	case o.storeRefuses() || o.awaitsReports():
		o.emit(Reply{Token: token, Job: handed.ID, Err: refusal()})
	default:
		o.takeIn(token, j)
	}
	o.advance()
}

// awaitsReports reports whether a new owner may still hear of workers, so that it
// can't say yet what fits. Later on workers without a report count as too small: a
// job refused in vain finds another partition, one taken in vain would be left here.
func (o *Owner) awaitsReports() bool {
	return !o.knowsWorkers() && o.now.Sub(o.begun) < reportGrace
}

// cannotRun asks the decision whether the job can run here.
func (o *Owner) cannotRun(job model.Job) bool {
	if o.withdrawer == nil {
		return false
	}
	status := o.decider.Submit(o.now, job)
	o.withdrawer.Withdraw(o.now, job.ID)
	return refusedForGood(status)
}

// outdatedBy reports whether the job was refused at an earlier try.
func (j *jobState) outdatedBy(try int) bool { return j.Refused && j.Tries < try }

// handInStatus is the answer to a repeated hand-in.
func (j *jobState) handInStatus() schedule.Status {
	if j.Refused {
		return schedule.Status{Code: schedule.NeverFits, Reason: "refused before"}
	}
	return schedule.Status{Code: schedule.Accepted}
}

// takeIn logs the job, or that it is refused. It is placed once it is durable.
func (o *Owner) takeIn(token Token, j *jobState) {
	id := j.Job.ID
	o.arriving[id] = []Token{token}
	if o.cannotRun(j.Job) {
		j = &jobState{Job: j.Job, Refused: true, Tries: j.Tries, EndedAt: o.now.UTC()}
	}
	o.log(&item{
		records: []logged{{HandedIn: j}},
		durable: func() {
			o.recoverJob(o.state.jobs[id])
			o.answerHandIn(j, nil)
		},
		failed: func(err error) { o.answerHandIn(j, err) },
	})
}

func (o *Owner) answerHandIn(j *jobState, err error) {
	id := j.Job.ID
	tokens := o.arriving[id]
	delete(o.arriving, id)
	for _, token := range tokens {
		o.emit(Reply{Token: token, Job: id, Status: j.handInStatus(), Err: err})
	}
}

func (s *state) applyHandedIn(j jobState) {
	if known := s.jobs[j.Job.ID]; known != nil && !known.outdatedBy(j.Tries) {
		return
	}
	j.Order = s.order + 1
	s.add(&j)
}
