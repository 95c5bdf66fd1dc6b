package partition

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// ReceiveHandover accepts a job that another partition hands over. A Reply answers it.
// Without an error, status Accepted means that the job is durable here and is scheduled
// like this partition's own jobs; NeverFits and Invalid mean that this try is rejected,
// which is durable too, so that a late repeat gets the same answer. Errors: as for Submit.
// It is idempotent by the job's id and try.
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
		o.emit(Reply{Token: token, Job: handed.ID, Err: errCannotLogNow()})
	default:
		o.logReceivedJob(token, j)
	}
	o.decideAndFlush()
}

// awaitingReports reports whether a new owner may still receive first reports of workers,
// so that it can't tell yet what fits. After the grace period workers without a report
// count as too small: a job rejected wrongly finds another partition, but a job accepted
// wrongly would be stuck here.
func (o *Owner) awaitingReports() bool {
	return !o.allCapacitiesKnown() && o.now.Sub(o.startedAt) < workerReportGrace
}

// cannotRunHere reports whether the decider rejects the job permanently.
func (o *Owner) cannotRunHere(job model.Job) bool {
	if o.withdrawer == nil {
		return false
	}
	status := o.decider.Submit(o.now, job)
	o.withdrawer.Withdraw(o.now, job.ID)
	return permanentlyRejected(status)
}

// supersededBy reports whether the job was rejected at an earlier try.
func (j *jobState) supersededBy(try int) bool { return j.Rejected && j.HandoverTries < try }

// handoverStatus returns the answer to a repeated handover.
func (j *jobState) handoverStatus() schedule.Status {
	if j.Rejected {
		return schedule.Status{Code: schedule.NeverFits, Reason: "refused before"}
	}
	return schedule.Status{Code: schedule.Accepted}
}

// logReceivedJob logs the job, or its rejection. The job is placed only once it is durable.
func (o *Owner) logReceivedJob(token Token, j *jobState) {
	id := j.Job.ID
	o.incoming[id] = []Token{token}
	if o.cannotRunHere(j.Job) {
		j = &jobState{Job: j.Job, Rejected: true, HandoverTries: j.HandoverTries, EndedAt: o.now.UTC()}
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
