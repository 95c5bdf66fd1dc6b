package partition

import (
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Bounds of the hand-over of jobs.
const (
	maxPath       = 4                // partitions that had a job; then it stays
	maxDoublings  = 5                // of the wait between two tries of one job
	maxOffers     = 16               // jobs for which a target is looked for at once
	offerEvery    = time.Second      // between two looks for waiting jobs
	reportGrace   = 10 * time.Second // in which a new owner's workers should report
	handInTimeout = 5 * time.Second  // after it, a hand-in without an answer is repeated
)

// handOverStep is how far the hand-over of a job has come, as the log says.
type handOverStep int

const (
	handedOut          handOverStep = iota // To alone may place the job from now on
	handInAcknowledged                     // To has logged the job
	handedBack                             // To has refused the job for good
	handedJobEnded                         // the job has ended where it is
)

// handOver is one step of a job's hand-over.
type handOver struct {
	Job  model.JobID       `cbor:"1,keyasint"`
	Step handOverStep      `cbor:"2,keyasint"`
	To   model.PartitionID `cbor:"3,keyasint"`
	At   time.Time         `cbor:"4,keyasint"`
}

// HandedJob is a job on its way to another partition: its durable state as CBOR.
type HandedJob struct {
	ID    model.JobID `json:"id"`
	Try   int         `json:"try"` // rises with every hand-over of the job
	State []byte      `json:"state"`
}

// wait is how long a job has had no attempt.
type wait struct {
	since time.Time
	asked time.Time // when a target was last asked for; zero: never
}

// departure is a hand-out whose answer by the target is not durable yet.
type departure struct {
	to       model.PartitionID
	try      int
	durable  bool // only then may the target be told
	answered bool
	sent     time.Time
}

// handedOver reports whether the job is another partition's or on its way there.
func (o *Owner) handedOver(id model.JobID) bool {
	j := o.state.jobs[id]
	return o.leaving[id] != nil || j != nil && j.HandedTo != ""
}

// offerWaiting asks for targets for the jobs that have waited too long.
func (o *Owner) offerWaiting() {
	if o.withdrawer == nil || o.opts.HandOverAfter <= 0 || o.now.Sub(o.waitsSeen) < offerEvery {
		return
	}
	o.waitsSeen = o.now
	busy := o.busyJobs()
	offers := 0
	for _, j := range o.state.ordered() {
		if busy[j.Job.ID] || !o.mayLeave(j) {
			delete(o.waits, j.Job.ID)
			continue
		}
		if offers < maxOffers && o.offerIfDue(j) {
			offers++
		}
	}
}

// busyJobs are the jobs with an attempt that may be running.
func (o *Owner) busyJobs() map[model.JobID]bool {
	busy := map[model.JobID]bool{}
	for _, a := range o.attempts {
		busy[a.job] = true
	}
	return busy
}

// mayLeave reports whether the job waits as a whole, so that another partition
// could run it. A task that is placed, or whose end is not durable, keeps it here.
func (o *Owner) mayLeave(j *jobState) bool {
	if j.ended() || j.Canceled || o.handedOver(j.Job.ID) || len(j.Path) >= maxPath {
		return false
	}
	return !slices.ContainsFunc(j.Tasks, func(t taskState) bool { return t.Phase == taskOnWorker || t.mayRepeat(j.Job) })
}

// mayRepeat reports whether placing the task could run a run-once task again.
func (t taskState) mayRepeat(job model.Job) bool {
	return !job.Restartable && t.Phase == taskWaiting && t.Attempt > 0 && t.Outcome != model.OutcomeNotStarted
}

func (o *Owner) offerIfDue(j *jobState) bool {
	w := o.waits[j.Job.ID]
	if w == nil {
		w = &wait{since: o.now}
		o.waits[j.Job.ID] = w
	}
	pause := o.opts.HandOverAfter << min(j.Tries, maxDoublings)
	if o.now.Sub(w.since) < pause || o.now.Sub(w.asked) < pause {
		return false
	}
	w.asked = o.now
	o.emit(FindTarget{Job: j.Job.ID, Size: j.Job.Size, Avoid: o.path(j)})
	return true
}

// path lists the partitions that had the job, this one included.
func (o *Owner) path(j *jobState) []model.PartitionID {
	if slices.Contains(j.Path, o.opts.Partition) {
		return slices.Clone(j.Path)
	}
	return append(slices.Clone(j.Path), o.opts.Partition)
}

// TargetFound answers a FindTarget; to is empty if no partition has room. The job
// is placed here no more, and the target is told once that is durable.
func (o *Owner) TargetFound(now time.Time, id model.JobID, to model.PartitionID) {
	if !o.begin(now) {
		return
	}
	j := o.state.jobs[id]
	if to == "" || j == nil || slices.Contains(o.path(j), to) || o.busyJobs()[id] || !o.mayLeave(j) || o.storeRefuses() {
		return
	}
	o.handOut(j, to)
	o.advance()
}

func (o *Owner) handOut(j *jobState, to model.PartitionID) {
	id := j.Job.ID
	d := &departure{to: to, try: j.Tries + 1}
	o.leaving[id] = d
	delete(o.waits, id)
	o.withdrawer.Withdraw(o.now, id)
	stay := func() {
		delete(o.leaving, id)
		o.recoverJob(j)
	}
	o.log(&item{
		records: []logged{{HandOver: &handOver{Job: id, Step: handedOut, To: to, At: o.now.UTC()}}},
		durable: func() {
			if j.HandedTo != to { // a cancellation was logged before it
				stay()
				return
			}
			d.durable = true
			o.sendHandIn(j, d)
		},
		failed: func(error) { stay() },
	})
}

// sendHandIn tells the target of the job. The target takes repeats as one.
func (o *Owner) sendHandIn(j *jobState, d *departure) {
	d.sent = o.now
	handed := *j
	handed.HandedTo, handed.Path = "", o.path(j)
	o.emit(HandIn{To: d.to, Job: HandedJob{ID: j.Job.ID, Try: d.try, State: encode(&handed)}})
}

// repeatHandIns repeats those that got no answer. Only a definite answer ends it:
// after an uncertain one the target may have the job.
func (o *Owner) repeatHandIns() {
	for id, d := range o.leaving {
		if d.durable && !d.answered && (d.sent.IsZero() || o.now.Sub(d.sent) >= handInTimeout) {
			o.sendHandIn(o.state.jobs[id], d)
		}
	}
}

// HandInReturned answers a HandIn, which it is given again, with the target's Reply. An error leaves open
// whether the target has the job.
func (o *Owner) HandInReturned(now time.Time, asked HandIn, status schedule.Status, err error) {
	if !o.begin(now) {
		return
	}
	id, to := asked.Job.ID, asked.To
	d := o.leaving[id]
	if d == nil || d.try != asked.Job.Try || !d.durable || d.answered || err != nil {
		return
	}
	d.answered = true
	step := handInAcknowledged
	if refusedForGood(status) {
		step = handedBack
	}
	o.log(&item{
		records: []logged{{HandOver: &handOver{Job: id, Step: step, To: to, At: o.now.UTC()}}},
		durable: func() {
			delete(o.leaving, id)
			o.recoverJob(o.state.jobs[id])
		},
	})
	o.advance()
}

func refusedForGood(s schedule.Status) bool {
	return s.Code == schedule.NeverFits || s.Code == schedule.Invalid
}

func (s *state) applyHandOver(h handOver) {
	j := s.jobs[h.Job]
	if j == nil {
		return
	}
	switch {
	case h.Step == handedOut && !j.Canceled && j.HandedTo == "":
		j.HandedTo = h.To
		j.Tries++
		j.Path = append(j.Path, h.To)
	case h.Step == handInAcknowledged && j.HandedTo == h.To:
		j.Acknowledged = true
	case h.Step == handedJobEnded && j.Acknowledged && j.EndedAt.IsZero():
		j.EndedAt = h.At
	case h.Step == handedBack && j.HandedTo == h.To:
		j.HandedTo = ""
		j.Path = j.Path[:len(j.Path)-1]
	}
}
