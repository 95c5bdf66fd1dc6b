package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Errors of submissions and cancellations.
var (
	// ErrKeyMismatch means that the idempotency key was used for a different job.
	ErrKeyMismatch = errors.New("partition: the idempotency key was used for another job")
	// ErrUnknownJob means that this partition has no such job.
	ErrUnknownJob = errors.New("partition: unknown job")
	// ErrHandedOver means that another partition schedules the job; see JobStatus.HandedTo.
	ErrHandedOver = errors.New("partition: the job was handed over")
)

// submission is a job that is not durable yet.
type submission struct {
	job    model.Job
	tokens []Token // one per waiting caller
}

// Submit accepts a job whose id names this partition as its home. A Reply answers it.
// Without an error, status Accepted or Unschedulable means that the job is durable and
// will run; any other status gives the reason for its rejection. Errors: ErrKeyMismatch,
// platform.ErrUnavailable and ErrOwnershipLost (not accepted; may be submitted again),
// ErrOutcomeUnknown (may have been accepted; submit again with the same key). A repeated
// idempotency key is answered with the id of the first job.
func (o *Owner) Submit(now time.Time, token Token, job model.Job) {
	o.now = now
	switch first, known := o.findDuplicate(job); {
	case o.epochEnded:
		o.emit(Reply{Token: token, Job: job.ID, Err: ErrOwnershipLost})
	case known:
		o.answerDuplicate(token, first, job)
	case o.appendsBlocked():
		o.emit(Reply{Token: token, Job: job.ID, Err: errCannotLogNow()})
	default:
		o.acceptSubmission(token, job)
	}
	o.decideAndFlush()
}

// findDuplicate returns the job submitted earlier with the same id or idempotency key.
func (o *Owner) findDuplicate(job model.Job) (model.Job, bool) {
	id := job.ID
	if job.IdempotencyKey != "" {
		key := jobKey{job.Branch, job.IdempotencyKey}
		if earlier, ok := o.state.keys[key]; ok {
			id = earlier
		} else if earlier, ok := o.pendingKeys[key]; ok {
			id = earlier
		}
	}
	if j := o.job(id); j != nil && (o.state.jobs[id] == nil || !o.state.jobs[id].Rejected) {
		return *j, true
	}
	return model.Job{}, false
}

func (o *Owner) answerDuplicate(token Token, first, job model.Job) {
	if !sameContent(first, job) {
		o.emit(Reply{Token: token, Job: first.ID, Err: ErrKeyMismatch})
		return
	}
	if s := o.submissions[first.ID]; s != nil {
		s.tokens = append(s.tokens, token)
		return
	}
	o.emit(Reply{Token: token, Job: first.ID})
}

// sameContent compares what the caller requested. The id and the times are set by the VM
// that received the submission and differ in a repeat.
func sameContent(a, b model.Job) bool {
	for _, j := range []*model.Job{&a, &b} {
		j.ID = ""
		j.Submitted, j.Deadline = time.Time{}, time.Time{}
	}
	return a == b
}

// acceptSubmission submits the job to the decider and logs it. The job may be placed
// before it is durable, because its placement comes after it in the log.
func (o *Owner) acceptSubmission(token Token, job model.Job) {
	status := o.decider.Submit(o.now, job)
	if status.Code == schedule.Invalid || status.Code == schedule.NeverFits && o.allCapacitiesKnown() {
		o.decider.Cancel(o.now, job.ID)
		o.emit(Reply{Token: token, Job: job.ID, Status: status})
		return
	}
	s := &submission{job: job, tokens: []Token{token}}
	o.submissions[job.ID] = s
	if job.IdempotencyKey != "" {
		o.pendingKeys[jobKey{job.Branch, job.IdempotencyKey}] = job.ID
	}
	o.enqueue(&logItem{
		records:   []logRecord{{Submitted: &jobSubmitted{Job: job}}},
		onDurable: func() { o.answerSubmission(s, nil) },
		onFailed: func(err error) {
			o.decider.Cancel(o.now, job.ID)
			o.answerSubmission(s, err)
		},
	})
}

func (o *Owner) answerSubmission(s *submission, err error) {
	delete(o.submissions, s.job.ID)
	delete(o.pendingKeys, jobKey{s.job.Branch, s.job.IdempotencyKey})
	for _, token := range s.tokens {
		o.emit(Reply{Token: token, Job: s.job.ID, Err: err})
	}
}

// allCapacitiesKnown reports whether every known worker has reported its capacity, so
// that NeverFits is not returned merely because reports are missing.
func (o *Owner) allCapacitiesKnown() bool {
	for _, w := range o.workers {
		if w.boot == "" {
			return false
		}
	}
	return len(o.workers) > 0
}

// Cancel cancels a job. A Reply answers it once the cancellation is durable; running tasks
// are stopped after that. Errors: as for Submit, and ErrUnknownJob and ErrHandedOver.
func (o *Owner) Cancel(now time.Time, token Token, id model.JobID) {
	o.now = now
	j := o.state.jobs[id]
	if j != nil && j.Rejected {
		j = nil
	}
	switch {
	case o.epochEnded:
		o.emit(Reply{Token: token, Job: id, Err: ErrOwnershipLost})
	case j == nil:
		o.emit(Reply{Token: token, Job: id, Err: ErrUnknownJob})
	case j.HandedTo != "":
		o.emit(Reply{Token: token, Job: id, Err: ErrHandedOver})
	case o.outgoing[id] != nil:
		o.emit(Reply{Token: token, Job: id, Err: errCannotLogNow()})
	case j.Canceled || j.ended():
		o.emit(Reply{Token: token, Job: id})
	case o.appendsBlocked():
		o.emit(Reply{Token: token, Job: id, Err: errCannotLogNow()})
	default:
		o.logCancellation(token, id)
	}
	o.decideAndFlush()
}

func (o *Owner) logCancellation(token Token, id model.JobID) {
	o.enqueue(&logItem{
		records: []logRecord{{Canceled: &jobCanceled{Job: id, At: o.now.UTC()}}},
		onDurable: func() {
			o.decider.Cancel(o.now, id)
			o.emit(Reply{Token: token, Job: id})
		},
		onFailed: func(err error) { o.emit(Reply{Token: token, Job: id, Err: err}) },
	})
}

// removeEndedJobs removes jobs whose retention time is over. The next snapshot omits them;
// a replay of older records restores them until they are removed again.
func (o *Owner) removeEndedJobs() {
	if o.now.Sub(o.endedJobsSweptAt) < endedJobSweepInterval {
		return
	}
	o.endedJobsSweptAt = o.now
	for _, j := range o.state.jobs {
		if !j.EndedAt.IsZero() && o.now.Sub(j.EndedAt) > o.opts.EndedJobRetention {
			o.state.remove(j)
		}
	}
}
