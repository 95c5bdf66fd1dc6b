package partition

import (
	"maps"
	"slices"
	"strings"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// attemptPhase is the phase of an attempt.
type attemptPhase int

const (
	attemptAssumed       attemptPhase = iota // placement not durable yet; nothing was sent
	attemptReady                             // placement durable; the start waits for a lease
	attemptStarting                          // start sent, result unknown
	attemptRunning                           // running on the worker
	attemptCheckpointing                     // running; stopped after its checkpoint
	attemptStopping                          // stop sent
	attemptRecovered                         // from an earlier epoch; may be running
)

// attempt is a placement of a task that may be running. It occupies capacity of its worker.
type attempt struct {
	ref             platform.TaskRef
	job             model.JobID
	branch          model.BranchID
	worker          model.WorkerID
	boot            string
	size            model.Resources
	phase           attemptPhase
	withdrawn       bool // to be ended without being started
	startUnresolved bool // a start may still take effect: absence from a report proves nothing

	leaseEnd         time.Time           // on this VM's clock; no lease granted to it ends later
	leaseUntil       platform.WorkerTime // newest lease granted under this epoch
	startConfirmedAt time.Time           // when the start was known to have succeeded
	stopAs           model.Outcome       // outcome if it is stopped
	stopPending      bool                // send a stop once the start is resolved
	stopSentAt       time.Time
	checkpoint       string
}

// startSent reports whether a start may have reached the worker.
func (a *attempt) startSent() bool { return a.phase >= attemptStarting }

// lostOutcome returns the outcome of an attempt whose result its worker did not report.
func (a *attempt) lostOutcome() model.Outcome {
	if a.phase == attemptStopping || a.stopPending {
		return a.stopAs
	}
	return model.OutcomeLost
}

// sortedAttempts lists the attempts ordered by task.
func sortedAttempts(attempts map[model.TaskID]*attempt) []*attempt {
	list := slices.Collect(maps.Values(attempts))
	slices.SortFunc(list, compareAttempts)
	return list
}

// attemptsWhere lists the matching attempts ordered by task.
func (o *Owner) attemptsWhere(match func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, a := range o.attempts {
		if match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, compareAttempts)
	return list
}

func compareAttempts(a, b *attempt) int {
	return strings.Compare(string(a.ref.Task), string(b.ref.Task))
}

// endAttempt removes an attempt that is not running and logs its outcome.
func (o *Owner) endAttempt(a *attempt, outcome model.Outcome, reason string) {
	if o.attempts[a.ref.Task] != a {
		return
	}
	o.dropAttempt(a)
	if a.stopAs == model.OutcomeCanceled && outcome != model.OutcomeDone && outcome != model.OutcomeFailed {
		outcome = model.OutcomeCanceled
	}
	record := taskEnded{
		Task: a.ref.Task, Attempt: a.ref.Attempt, Outcome: outcome,
		Final: o.finishAttempt(a, outcome), Checkpoint: a.checkpoint, At: o.now.UTC(),
	}
	o.unloggedEnds[a.ref] = true
	n := o.notice(NoticeEnded, a, reason)
	n.Outcome = outcome
	o.emit(n)
	o.enqueue(&logItem{
		records:   []logRecord{{Ended: &record}},
		onDurable: func() { o.endLogged(a) },
	})
}

// addAttempt adds an attempt and counts its size against its worker's capacity.
func (o *Owner) addAttempt(w *worker, a *attempt) {
	o.attempts[a.ref.Task] = a
	w.attempts[a.ref.Task] = a
	w.granted = w.granted.Add(a.size)
}

func (o *Owner) dropAttempt(a *attempt) {
	delete(o.attempts, a.ref.Task)
	w := o.workers[a.worker]
	delete(w.attempts, a.ref.Task)
	w.granted = w.granted.Sub(a.size)
	if a.phase == attemptRecovered {
		o.attemptResolved()
	}
}

// finishAttempt reports the outcome to the decider, which frees the capacity, and returns
// whether the task is not placed again.
func (o *Owner) finishAttempt(a *attempt, outcome model.Outcome) bool {
	before := o.waitingTasks(a.job)
	o.decider.Finish(o.now, a.ref.Task, outcome)
	switch outcome {
	case model.OutcomeDone, model.OutcomeCanceled:
		return true
	case model.OutcomeNotStarted:
		return o.isCanceled(a.job)
	case model.OutcomeFailed:
		return !o.restartable(a.job) || o.isCanceled(a.job) || o.waitingTasks(a.job) <= before
	}
	return !o.restartable(a.job) || o.isCanceled(a.job)
}

// waitingTasks returns the number of the job's tasks that wait for a placement.
func (o *Owner) waitingTasks(job model.JobID) int {
	e, _ := o.decider.Explain(job)
	return e.Waiting
}

func (o *Owner) restartable(job model.JobID) bool {
	j := o.job(job)
	return j != nil && j.Restartable
}

func (o *Owner) isCanceled(job model.JobID) bool {
	j := o.state.jobs[job]
	return j != nil && j.Canceled
}

// job returns a job that is durable or being logged, or nil.
func (o *Owner) job(id model.JobID) *model.Job {
	if j := o.state.jobs[id]; j != nil {
		return &j.Job
	}
	if s := o.submissions[id]; s != nil {
		return &s.job
	}
	return nil
}

// endLogged lets the worker discard an attempt whose end is durable.
func (o *Owner) endLogged(a *attempt) {
	delete(o.unloggedEnds, a.ref)
	if w := o.workers[a.worker]; w != nil && w.boot == a.boot {
		o.emit(ForgetAttempts{Worker: a.worker, Refs: []platform.TaskRef{a.ref}})
	}
}

// attemptResolved counts an attempt of an earlier epoch as adopted or ended.
func (o *Owner) attemptResolved() {
	o.recoveringAttempts--
	if o.recoveringAttempts == 0 {
		o.emit(o.notice(NoticeRecovered, nil, ""))
	}
}

// recoverJob submits a job from the log to the decider again, and turns its placed tasks
// into attempts that may be running.
func (o *Owner) recoverJob(j *jobState) {
	if j.ended() || j.HandedTo != "" {
		return
	}
	o.decider.Submit(o.now, j.Job)
	for i, t := range j.Tasks {
		id := taskID(j.Job.ID, i)
		switch t.Phase {
		case taskFinal:
			o.decider.Adopt(o.now, schedule.Placement{Task: id, Job: j.Job.ID})
			o.decider.Finish(o.now, id, model.OutcomeDone)
		case taskOnWorker:
			o.recoverAttempt(j, id, t)
		}
	}
	if j.Canceled {
		o.decider.Cancel(o.now, j.Job.ID)
	}
	// Adopt of final tasks, which have no worker, has added a worker with an empty id.
	o.decider.RemoveWorker(o.now, "")
}

func (o *Owner) recoverAttempt(j *jobState, id model.TaskID, t taskState) {
	w := o.workers[t.Worker]
	if w == nil {
		w = o.addWorker(t.Worker)
	}
	o.addAttempt(w, &attempt{
		ref: platform.TaskRef{Task: id, Attempt: t.Attempt}, job: j.Job.ID, branch: j.Job.Branch,
		worker: t.Worker, boot: t.Boot, size: t.Size, phase: attemptRecovered,
		startUnresolved: true, leaseEnd: o.priorLeasesEnd, checkpoint: t.Checkpoint,
	})
	o.recoveringAttempts++
	o.decider.Adopt(o.now, schedule.Placement{
		Task: id, Job: j.Job.ID, Worker: t.Worker, Size: t.Size, Started: o.now,
	})
}
