package partition

import (
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Limits of job handover.
const (
	maxHandoverPath      = 4                // partitions that can have had a job; then it is not handed over again
	maxBackoffDoublings  = 5                // doublings of the wait between two tries of one job
	maxTargetSearches    = 16               // jobs per search for which a target is requested
	targetSearchInterval = time.Second      // between two searches for waiting jobs
	workerReportGrace    = 10 * time.Second // within which a new owner's workers should report
	handoverTimeout      = 5 * time.Second  // after which an unanswered handover is resent
)

// handoverStep is a step of a job's handover.
type handoverStep int

const (
	handoverStarted  handoverStep = iota // from now on only To may place the job
	handoverAccepted                     // To has logged the job
	handoverRejected                     // To has rejected the job permanently
	handoverJobEnded                     // the job has ended at the partition that has it
)

// handoverRecord is the log record of one step of a job's handover.
type handoverRecord struct {
	Job  model.JobID       `cbor:"1,keyasint"`
	Step handoverStep      `cbor:"2,keyasint"`
	To   model.PartitionID `cbor:"3,keyasint"`
	At   time.Time         `cbor:"4,keyasint"`
}

// HandedOverJob is a job in transit to another partition. State is its durable state as
// CBOR.
type HandedOverJob struct {
	ID    model.JobID `json:"id"`
	Try   int         `json:"try"` // incremented with every handover of the job
	State []byte      `json:"state"`
}

// handoverWait tracks how long a job has had no attempt.
type handoverWait struct {
	since      time.Time
	searchedAt time.Time // when a target was last requested; zero: never
}

// outgoingHandover is a handover whose answer from the target is not durable yet.
type outgoingHandover struct {
	to       model.PartitionID
	try      int
	durable  bool // the start of the handover is durable, so the job may be sent
	answered bool
	sentAt   time.Time
}

// isHandedOver reports whether the job belongs to another partition or is in transit there.
func (o *Owner) isHandedOver(id model.JobID) bool {
	j := o.state.jobs[id]
	return o.outgoing[id] != nil || j != nil && j.HandedTo != ""
}

// findHandoverTargets requests targets for the jobs that have waited too long.
func (o *Owner) findHandoverTargets() {
	if o.withdrawer == nil || o.opts.HandoverAfter <= 0 || o.now.Sub(o.targetsSearchedAt) < targetSearchInterval {
		return
	}
	o.targetsSearchedAt = o.now
	withAttempts := o.jobsWithAttempts()
	searches := 0
	for _, j := range o.state.ordered() {
		if withAttempts[j.Job.ID] || !o.canHandOver(j) {
			delete(o.handoverWaits, j.Job.ID)
			continue
		}
		if searches < maxTargetSearches && o.findTargetIfDue(j) {
			searches++
		}
	}
}

// jobsWithAttempts returns the jobs that have an attempt that may be running.
func (o *Owner) jobsWithAttempts() map[model.JobID]bool {
	withAttempts := map[model.JobID]bool{}
	for _, a := range o.attempts {
		withAttempts[a.job] = true
	}
	return withAttempts
}

// canHandOver reports whether all of the job is waiting, so that another partition could
// run it. A task that is placed, or whose end is not durable, keeps the job here.
func (o *Owner) canHandOver(j *jobState) bool {
	if j.ended() || j.Canceled || o.isHandedOver(j.Job.ID) || len(j.Path) >= maxHandoverPath {
		return false
	}
	return !slices.ContainsFunc(j.Tasks, func(t taskState) bool { return t.Phase == taskOnWorker || t.wouldRunAgain(j.Job) })
}

// wouldRunAgain reports whether placing the task could run a run-once task a second time.
func (t taskState) wouldRunAgain(job model.Job) bool {
	return !job.Restartable && t.Phase == taskWaiting && t.Attempt > 0 && t.Outcome != model.OutcomeNotStarted
}

func (o *Owner) findTargetIfDue(j *jobState) bool {
	w := o.handoverWaits[j.Job.ID]
	if w == nil {
		w = &handoverWait{since: o.now}
		o.handoverWaits[j.Job.ID] = w
	}
	delay := o.opts.HandoverAfter << min(j.HandoverTries, maxBackoffDoublings)
	if o.now.Sub(w.since) < delay || o.now.Sub(w.searchedAt) < delay {
		return false
	}
	w.searchedAt = o.now
	o.emit(FindHandoverTarget{Job: j.Job.ID, Size: j.Job.Size, Exclude: o.handoverPath(j)})
	return true
}

// handoverPath lists the partitions that have had the job, including this one.
func (o *Owner) handoverPath(j *jobState) []model.PartitionID {
	if slices.Contains(j.Path, o.opts.Partition) {
		return slices.Clone(j.Path)
	}
	return append(slices.Clone(j.Path), o.opts.Partition)
}

// HandoverTargetFound answers a FindHandoverTarget; to is empty if no partition has free
// capacity. The job is no longer placed here, and it is sent to the target once that is
// durable.
func (o *Owner) HandoverTargetFound(now time.Time, id model.JobID, to model.PartitionID) {
	if !o.beginInput(now) {
		return
	}
	j := o.state.jobs[id]
	if to == "" || j == nil || slices.Contains(o.handoverPath(j), to) || o.jobsWithAttempts()[id] || !o.canHandOver(j) || o.appendsBlocked() {
		return
	}
	o.startHandover(j, to)
	o.decideAndFlush()
}

func (o *Owner) startHandover(j *jobState, to model.PartitionID) {
	id := j.Job.ID
	d := &outgoingHandover{to: to, try: j.HandoverTries + 1}
	o.outgoing[id] = d
	delete(o.handoverWaits, id)
	o.withdrawer.Withdraw(o.now, id)
	revert := func() {
		delete(o.outgoing, id)
		o.recoverJob(j)
	}
	o.enqueue(&logItem{
		records: []logRecord{{Handover: &handoverRecord{Job: id, Step: handoverStarted, To: to, At: o.now.UTC()}}},
		onDurable: func() {
			if j.HandedTo != to { // a cancellation precedes this record in the log
				revert()
				return
			}
			d.durable = true
			o.sendHandover(j, d)
		},
		onFailed: func(error) { revert() },
	})
}

// sendHandover sends the job to the target, which handles repeats idempotently.
func (o *Owner) sendHandover(j *jobState, d *outgoingHandover) {
	d.sentAt = o.now
	handed := *j
	handed.HandedTo, handed.Path = "", o.handoverPath(j)
	o.emit(HandOverJob{To: d.to, Job: HandedOverJob{ID: j.Job.ID, Try: d.try, State: encode(&handed)}})
}

// resendHandovers resends the handovers without an answer. Only a definite answer ends a
// handover: after an unknown outcome the target may have the job.
func (o *Owner) resendHandovers() {
	for id, d := range o.outgoing {
		if d.durable && !d.answered && (d.sentAt.IsZero() || o.now.Sub(d.sentAt) >= handoverTimeout) {
			o.sendHandover(o.state.jobs[id], d)
		}
	}
}

// HandoverReturned reports the result of a HandOverJob: sent is that command, status and
// err are from the target's Reply. After an error it is unknown whether the target has the
// job.
func (o *Owner) HandoverReturned(now time.Time, sent HandOverJob, status schedule.Status, err error) {
	if !o.beginInput(now) {
		return
	}
	id, to := sent.Job.ID, sent.To
	d := o.outgoing[id]
	if d == nil || d.try != sent.Job.Try || !d.durable || d.answered || err != nil {
		return
	}
	d.answered = true
	step := handoverAccepted
	if permanentlyRejected(status) {
		step = handoverRejected
	}
	o.enqueue(&logItem{
		records: []logRecord{{Handover: &handoverRecord{Job: id, Step: step, To: to, At: o.now.UTC()}}},
		onDurable: func() {
			delete(o.outgoing, id)
			o.recoverJob(o.state.jobs[id])
		},
	})
	o.decideAndFlush()
}

func permanentlyRejected(s schedule.Status) bool {
	return s.Code == schedule.NeverFits || s.Code == schedule.Invalid
}

func (s *state) applyHandover(h handoverRecord) {
	j := s.jobs[h.Job]
	if j == nil {
		return
	}
	switch {
	case h.Step == handoverStarted && !j.Canceled && j.HandedTo == "":
		j.HandedTo = h.To
		j.HandoverTries++
		j.Path = append(j.Path, h.To)
	case h.Step == handoverAccepted && j.HandedTo == h.To:
		j.Acknowledged = true
	case h.Step == handoverJobEnded && j.Acknowledged && j.EndedAt.IsZero():
		j.EndedAt = h.At
	case h.Step == handoverRejected && j.HandedTo == h.To:
		j.HandedTo = ""
		j.Path = j.Path[:len(j.Path)-1]
	}
}
