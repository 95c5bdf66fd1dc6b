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
	case o.epochEnded:
		o.emit(Reply{Token: token, Job: handed.ID, Err: ErrOwnershipLost})
	case known != nil && !known.supersededBy(handed.Try):
		o.emit(Reply{Token: token, Job: handed.ID, Status: known.handoverStatus()})
	case o.incoming[handed.ID] != nil:
		o.incoming[handed.ID] = append(o.incoming[handed.ID], token)
	case err != nil:
		o.emit(Reply{Token: token, Job: handed.ID, Err: err})
	case o.appendsBlocked() || o.awaitingReports():
		o.emit(Reply{Token: token, Job: handed.ID, Err: errAppendsBlocked()})
	default:
		o.logReceivedJob(token, j)
	}
	o.decideAndFlush()
}

// awaitingReports reports whether a new owner may still hear of workers, so that it
// can't say yet what fits. Later on workers without a report count as too small: a
// job refused in vain finds another partition, one taken in vain would be left here.
func (o *Owner) awaitingReports() bool {
	return !o.allCapacitiesKnown() && o.now.Sub(o.startedAt) < workerReportGrace
}

// cannotRunHere asks the decision whether the job can run here.
func (o *Owner) cannotRunHere(job model.Job) bool {
	if o.withdrawer == nil {
		return false
	}
	status := o.decider.Submit(o.now, job)
	o.withdrawer.Withdraw(o.now, job.ID)
	return permanentlyRejected(status)
}

// supersededBy reports whether the job was refused at an earlier try.
func (j *jobState) supersededBy(try int) bool { return j.Refused && j.HandoverTries < try }

// handoverStatus is the answer to a repeated hand-in.
func (j *jobState) handoverStatus() schedule.Status {
	if j.Refused {
		return schedule.Status{Code: schedule.NeverFits, Reason: "refused before"}
	}
	return schedule.Status{Code: schedule.Accepted}
}

// logReceivedJob logs the job, or that it is refused. It is placed once it is durable.
func (o *Owner) logReceivedJob(token Token, j *jobState) {
	id := j.Job.ID
	o.incoming[id] = []Token{token}
	if o.cannotRunHere(j.Job) {
		j = &jobState{Job: j.Job, Refused: true, HandoverTries: j.HandoverTries, EndedAt: o.now.UTC()}
	}
	o.enqueue(&logItem{
		records: []logRecord{{HandoverReceived: j}},
		onDurable: func() {
			o.recoverJob(o.state.jobs[id])
			o.answerHandover(j, nil)
		},
		onFailed: func(err error) { o.answerHandover(j, err) },
	})
}

func (o *Owner) answerHandover(j *jobState, err error) {
	id := j.Job.ID
	tokens := o.incoming[id]
	delete(o.incoming, id)
	for _, token := range tokens {
		o.emit(Reply{Token: token, Job: id, Status: j.handoverStatus(), Err: err})
	}
}

func (s *state) applyHandoverReceived(j jobState) {
	if known := s.jobs[j.Job.ID]; known != nil && !known.supersededBy(j.HandoverTries) {
		return
	}
	j.Order = s.lastOrder + 1
	s.add(&j)
}
