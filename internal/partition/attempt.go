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

// attemptPhase is how far an attempt has come.
type attemptPhase int

const (
	attemptAssumed       attemptPhase = iota // its placement is not durable: nothing was sent
	attemptReady                             // durable; the start waits for a lease
	attemptStarting                          // the start was sent and its result is open
	attemptRunning                           // the worker runs it
	attemptCheckpointing                     // running, to be stopped after its checkpoint
	attemptStopping                          // a stop was sent
	attemptRecovered                         // of an earlier epoch: may be running
)

// attempt is one placement of a task that may be running. It holds capacity.
type attempt struct {
	ref        platform.TaskRef
	job        model.JobID
	branch     model.BranchID
	worker     model.WorkerID
	boot       string
	size       model.Resources
	phase      attemptPhase
	withdrawn  bool // to be ended without a start
	unresolved bool // a start was sent and may still land: absence proves nothing

	leaseEnd   time.Time            // on this VM's clock: no lease granted for it lasts longer
	leaseUntil platform.WorkerClock // newest grant under this epoch
	knownAt    time.Time            // when the start was known to have worked
	stopAs     model.Outcome        // how it ends when stopped
	stopWanted bool                 // a stop is due once the start is resolved
	stopSent   time.Time
	checkpoint string
}

// sent reports whether a start may have reached the worker.
func (a *attempt) sent() bool { return a.phase >= attemptStarting }

// lostOutcome is the outcome of an attempt that ended without a word of its worker.
func (a *attempt) lostOutcome() model.Outcome {
	if a.phase == attemptStopping || a.stopWanted {
		return a.stopAs
	}
	return model.OutcomeLost
}

// sorted lists attempts in a fixed order.
func sorted(attempts map[model.TaskID]*attempt) []*attempt {
	list := slices.Collect(maps.Values(attempts))
	slices.SortFunc(list, compareAttempts)
	return list
}

// where lists the attempts that match, in a fixed order.
func (o *Owner) where(match func(*attempt) bool) []*attempt {
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

// end takes an attempt that is not running out and logs its outcome.
func (o *Owner) end(a *attempt, outcome model.Outcome, reason string) {
	if o.attempts[a.ref.Task] != a {
		return
	}
	o.dropAttempt(a)
	if a.stopAs == model.OutcomeCanceled && outcome != model.OutcomeDone && outcome != model.OutcomeFailed {
		outcome = model.OutcomeCanceled
	}
	record := taskEnded{
		Task: a.ref.Task, Attempt: a.ref.Attempt, Outcome: outcome,
		Final: o.finish(a, outcome), Checkpoint: a.checkpoint, At: o.now.UTC(),
	}
	o.ending[a.ref] = true
	n := o.notice(NoticeEnded, a, reason)
	n.Outcome = outcome
	o.emit(n)
	o.log(&item{
		records: []logged{{Ended: &record}},
		durable: func() { o.endLogged(a) },
	})
}

// hold adds an attempt and takes its size from its worker's capacity.
func (o *Owner) hold(w *worker, a *attempt) {
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
		o.recovered()
	}
}

// finish frees the capacity and reports whether the task is never placed again.
func (o *Owner) finish(a *attempt, outcome model.Outcome) bool {
	before := o.waiting(a.job)
	o.decider.Finish(o.now, a.ref.Task, outcome)
	switch outcome {
	case model.OutcomeDone, model.OutcomeCanceled:
		return true
	case model.OutcomeNotStarted:
		return o.canceled(a.job)
	case model.OutcomeFailed:
		return !o.restartable(a.job) || o.canceled(a.job) || o.waiting(a.job) <= before
	}
	return !o.restartable(a.job) || o.canceled(a.job)
}

// waiting counts the tasks of the job that wait for a placement.
func (o *Owner) waiting(job model.JobID) int {
	e, _ := o.decider.Explain(job)
	return e.Waiting
}

func (o *Owner) restartable(job model.JobID) bool {
	j := o.job(job)
	return j != nil && j.Restartable
}

func (o *Owner) canceled(job model.JobID) bool {
	j := o.state.jobs[job]
	return j != nil && j.Canceled
}

// job finds a job that is logged or waits for it.
func (o *Owner) job(id model.JobID) *model.Job {
	if j := o.state.jobs[id]; j != nil {
		return &j.Job
	}
	if s := o.submissions[id]; s != nil {
		return &s.job
	}
	return nil
}

// endLogged lets the worker forget an attempt whose end is durable.
func (o *Owner) endLogged(a *attempt) {
	delete(o.ending, a.ref)
	if w := o.workers[a.worker]; w != nil && w.boot == a.boot {
		o.emit(ForgetAttempts{Worker: a.worker, Refs: []platform.TaskRef{a.ref}})
	}
}

// recovered counts an attempt of an earlier epoch that was adopted or ended.
func (o *Owner) recovered() {
	o.recovering--
	if o.recovering == 0 {
		o.emit(o.notice(NoticeRecovered, nil, ""))
	}
}

// recoverJob gives a job of the log back to the decision, and makes its placed
// tasks attempts that may be running.
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
	o.decider.RemoveWorker(o.now, "")
}

func (o *Owner) recoverAttempt(j *jobState, id model.TaskID, t taskState) {
	w := o.workers[t.Worker]
	if w == nil {
		w = o.addWorker(t.Worker)
	}
	o.hold(w, &attempt{
		ref: platform.TaskRef{Task: id, Attempt: t.Attempt}, job: j.Job.ID, branch: j.Job.Branch,
		worker: t.Worker, boot: t.Boot, size: t.Size, phase: attemptRecovered,
		unresolved: true, leaseEnd: o.priorEnd, checkpoint: t.Checkpoint,
	})
	o.recovering++
	o.decider.Adopt(o.now, schedule.Placement{
		Task: id, Job: j.Job.ID, Worker: t.Worker, Size: t.Size, Started: o.now,
	})
}
