package partition

import (
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Bounds of the hand-over of jobs.
const (
	maxHandoverPath      = 4                // partitions that had a job; then it stays
	maxBackoffDoublings  = 5                // of the wait between two tries of one job
	maxTargetSearches    = 16               // jobs for which a target is looked for at once
	targetSearchInterval = time.Second      // between two looks for waiting jobs
	workerReportGrace    = 10 * time.Second // in which a new owner's workers should report
	handoverTimeout      = 5 * time.Second  // after it, a hand-in without an answer is repeated
)

// handoverStep is how far the hand-over of a job has come, as the log says.
type handoverStep int

const (
	handoverStarted  handoverStep = iota // To alone may place the job from now on
	handoverAccepted                     // To has logged the job
	handoverRejected                     // To has refused the job for good
	handoverJobEnded                     // the job has ended where it is
)

// handoverRecord is one step of a job's hand-over.
type handoverRecord struct {
	Job  model.JobID       `cbor:"1,keyasint"`
	Step handoverStep      `cbor:"2,keyasint"`
	To   model.PartitionID `cbor:"3,keyasint"`
	At   time.Time         `cbor:"4,keyasint"`
}

// HandedOverJob is a job on its way to another partition: its durable state as CBOR.
type HandedOverJob struct {
	ID    model.JobID `json:"id"`
	Try   int         `json:"try"` // rises with every hand-over of the job
	State []byte      `json:"state"`
}

// handoverWait is how long a job has had no attempt.
type handoverWait struct {
	since      time.Time
	searchedAt time.Time // when a target was last asked for; zero: never
}

// outgoingHandover is a hand-out whose answer by the target is not durable yet.
type outgoingHandover struct {
	to       model.PartitionID
	try      int
	durable  bool // only then may the target be told
	answered bool
	sentAt   time.Time
}

// isHandedOver reports whether the job is another partition's or on its way there.
func (o *Owner) isHandedOver(id model.JobID) bool {
	j := o.state.jobs[id]
	return o.outgoing[id] != nil || j != nil && j.HandedTo != ""
}

// findHandoverTargets asks for targets for the jobs that have waited too long.
func (o *Owner) findHandoverTargets() {
	if o.withdrawer == nil || o.opts.HandoverAfter <= 0 || o.now.Sub(o.targetsSearchedAt) < targetSearchInterval {
		return
	}
	o.targetsSearchedAt = o.now
	busy := o.jobsWithAttempts()
	offers := 0
	for _, j := range o.state.ordered() {
		if busy[j.Job.ID] || !o.canHandOver(j) {
			delete(o.handoverWaits, j.Job.ID)
			continue
		}
		if offers < maxTargetSearches && o.findTargetIfDue(j) {
			offers++
		}
	}
}

// jobsWithAttempts are the jobs with an attempt that may be running.
func (o *Owner) jobsWithAttempts() map[model.JobID]bool {
	busy := map[model.JobID]bool{}
	for _, a := range o.attempts {
		busy[a.job] = true
	}
	return busy
}

// canHandOver reports whether the job waits as a whole, so that another partition
// could run it. A task that is placed, or whose end is not durable, keeps it here.
func (o *Owner) canHandOver(j *jobState) bool {
	if j.ended() || j.Canceled || o.isHandedOver(j.Job.ID) || len(j.Path) >= maxHandoverPath {
		return false
	}
	return !slices.ContainsFunc(j.Tasks, func(t taskState) bool { return t.Phase == taskOnWorker || t.wouldRunAgain(j.Job) })
}

// wouldRunAgain reports whether placing the task could run a run-once task again.
func (t taskState) wouldRunAgain(job model.Job) bool {
	return !job.Restartable && t.Phase == taskWaiting && t.Attempt > 0 && t.Outcome != model.OutcomeNotStart
}

func (o *Owner) findTargetIfDue(j *jobState) bool {
	w := o.handoverWaits[j.Job.ID]
	if w == nil {
		w = &handoverWait{since: o.now}
		o.handoverWaits[j.Job.ID] = w
	}
	pause := o.opts.HandoverAfter << min(j.HandoverTries, maxBackoffDoublings)
	if o.now.Sub(w.since) < pause || o.now.Sub(w.searchedAt) < pause {
		return false
	}
	w.searchedAt = o.now
	o.emit(FindHandoverTarget{Job: j.Job.ID, Size: j.Job.Size, Exclude: o.handoverPath(j)})
	return true
}

// handoverPath lists the partitions that had the job, this one included.
func (o *Owner) handoverPath(j *jobState) []model.PartitionID {
	if slices.Contains(j.Path, o.opts.Partition) {
		return slices.Clone(j.Path)
	}
	return append(slices.Clone(j.Path), o.opts.Partition)
}

// HandoverTargetFound answers a FindTarget; to is empty if no partition has room. The job
// is placed here no more, and the target is told once that is durable.
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
	stay := func() {
		delete(o.outgoing, id)
		o.recoverJob(j)
	}
	o.enqueue(&logItem{
		records: []logRecord{{Handover: &handoverRecord{Job: id, Step: handoverStarted, To: to, At: o.now.UTC()}}},
		onDurable: func() {
			if j.HandedTo != to { // a cancellation was logged before it
				stay()
				return
			}
			d.durable = true
			o.sendHandover(j, d)
		},
		onFailed: func(error) { stay() },
	})
}

// sendHandover tells the target of the job. The target takes repeats as one.
func (o *Owner) sendHandover(j *jobState, d *outgoingHandover) {
	d.sentAt = o.now
	handed := *j
	handed.HandedTo, handed.Path = "", o.handoverPath(j)
	o.emit(HandOverJob{To: d.to, Job: HandedOverJob{ID: j.Job.ID, Try: d.try, State: encode(&handed)}})
}

// resendHandovers repeats those that got no answer. Only a definite answer ends it:
// after an uncertain one the target may have the job.
func (o *Owner) resendHandovers() {
	for id, d := range o.outgoing {
		if d.durable && !d.answered && (d.sentAt.IsZero() || o.now.Sub(d.sentAt) >= handoverTimeout) {
			o.sendHandover(o.state.jobs[id], d)
		}
	}
}

// HandoverReturned answers a HandIn, which it is given again, with the target's Reply. An error leaves open
// whether the target has the job.
func (o *Owner) HandoverReturned(now time.Time, asked HandOverJob, status schedule.Status, err error) {
	if !o.beginInput(now) {
		return
	}
	id, to := asked.Job.ID, asked.To
	d := o.outgoing[id]
	if d == nil || d.try != asked.Job.Try || !d.durable || d.answered || err != nil {
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
