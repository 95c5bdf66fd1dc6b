package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// The path of a task: decide, log its placement, start it under a lease once the
// placement is durable, renew, and log its end.

// decide carries the decisions out that can be taken now. While the store refuses
// appends nothing is decided, since nothing could be started.
func (o *Owner) decide() {
	if o.storeRefuses() {
		return
	}
	decisions := o.decider.Decide(o.now, decideLimit)
	for len(decisions) > 0 {
		n := groupLength(decisions)
		o.carryOut(decisions[:n])
		decisions = decisions[n:]
	}
}

// groupLength counts the decisions at the head that are committed together.
func groupLength(d []schedule.Decision) int {
	n := 1
	for n < len(d) && d[0].Group != 0 && d[n].Group == d[0].Group {
		n++
	}
	return n
}

func (o *Owner) carryOut(group []schedule.Decision) {
	d := group[0]
	switch d.Action {
	case schedule.ActionPlace, schedule.ActionProbe:
		o.place(group)
		return
	}
	for _, d := range group {
		o.change(d)
	}
}

// change carries out a decision on a task that has an attempt.
func (o *Owner) change(d schedule.Decision) {
	a := o.attempts[d.Task]
	if a == nil {
		return
	}
	switch d.Action {
	case schedule.ActionStop:
		o.stop(a, model.OutcomeCanceled)
	case schedule.ActionThrottle:
		o.emit(ThrottleTask{Worker: a.worker, Ref: a.ref, Limit: d.Limit})
	case schedule.ActionPreempt, schedule.ActionMove:
		n := o.notice(NoticePreempted, a, d.Reason)
		n.Beneficiary = d.Beneficiary
		o.emit(n)
		o.preempt(a)
	}
}

// place assumes the attempts of a group and logs them together.
func (o *Owner) place(group []schedule.Decision) {
	var attempts []*attempt
	it := &item{}
	for _, d := range group {
		a, why := o.assume(d)
		if why != "" {
			o.emit(Notice{Kind: NoticeInvariant, Partition: o.opts.Partition, Epoch: o.opts.Epoch,
				Task: d.Task, Worker: d.Worker, Branch: d.Branch, Reason: why})
			o.takeBack(attempts)
			o.forget(group)
			return
		}
		attempts = append(attempts, a)
		it.records = append(it.records, logged{Placed: &taskPlaced{
			Task: a.ref.Task, Attempt: a.ref.Attempt, Worker: a.worker,
			Boot: a.boot, Size: a.size, Epoch: o.opts.Epoch,
		}})
	}
	it.durable = func() { o.placed(attempts) }
	it.failed = func(error) {
		o.takeBack(attempts)
		o.forget(group)
	}
	o.log(it)
}

// assume makes the attempt that a decision asks for; the text says which
// invariant it would have broken.
func (o *Owner) assume(d schedule.Decision) (*attempt, string) {
	w := o.workers[d.Worker]
	job := o.job(d.Job)
	switch {
	case o.attempts[d.Task] != nil:
		return nil, "the task may be running already"
	case job == nil || o.canceled(d.Job) || o.handedOver(d.Job):
		return nil, "the job is not to be run"
	case w == nil || !w.usable():
		return nil, "the worker takes no task at the moment"
	case !w.granted.Add(d.Size).FitsIn(w.capacity):
		return nil, "the worker's capacity would be exceeded"
	}
	a := &attempt{
		ref: platform.TaskRef{Task: d.Task, Attempt: 1}, job: d.Job, branch: d.Branch,
		worker: d.Worker, boot: w.boot, size: d.Size,
	}
	if t := o.state.task(d.Task); t != nil {
		if t.Phase == taskFinal {
			return nil, "the task has ended for good"
		}
		a.ref.Attempt = t.Attempt + 1
		a.checkpoint = t.Checkpoint
	}
	o.hold(w, a)
	return a, ""
}

func (o *Owner) takeBack(attempts []*attempt) {
	for _, a := range attempts {
		o.dropAttempt(a)
	}
}

func (o *Owner) forget(group []schedule.Decision) {
	for _, d := range group {
		o.decider.Forget(o.now, d.Task)
	}
}

// placed goes on with attempts whose placement is durable.
func (o *Owner) placed(attempts []*attempt) {
	for _, a := range attempts {
		o.decider.Confirm(o.now, a.ref.Task)
		a.phase = attemptReady
		o.emit(o.notice(NoticePlaced, a, ""))
		o.startAttempt(a)
	}
}

// startReady starts the attempts that waited for the horizon.
func (o *Owner) startReady() {
	for _, a := range o.where(func(a *attempt) bool { return a.phase == attemptReady }) {
		o.startAttempt(a)
	}
}

// startAttempt sends the start under a lease that ends with the horizon, or ends
// the attempt if it can no longer be started.
func (o *Owner) startAttempt(a *attempt) {
	w := o.workers[a.worker]
	switch {
	case a.withdrawn || o.canceled(a.job):
		o.end(a, model.OutcomeNotStarted, "withdrawn before its start")
		return
	case w == nil || w.boot != a.boot || !w.usable():
		o.end(a, model.OutcomeNotStarted, "the worker changed before the start")
		return
	case o.horizon.Sub(o.now) < o.opts.MinLease:
		o.confirm()
		return
	}
	a.phase = attemptStarting
	a.unresolved = true
	o.grant(a, w)
	job := o.job(a.job)
	o.emit(StartTask{Worker: a.worker, Start: platform.Start{
		Partition: o.opts.Partition, Epoch: o.opts.Epoch, Boot: a.boot,
		Task: a.ref.Task, Attempt: a.ref.Attempt, Branch: a.branch, Workload: job.Workload,
		Size: a.size, LeaseUntil: a.leaseUntil, Checkpoint: a.checkpoint,
	}})
}

// StartReturned answers a StartTask.
func (o *Owner) StartReturned(now time.Time, id model.WorkerID, ref platform.TaskRef, err error) {
	if !o.begin(now) {
		return
	}
	a := o.attempts[ref.Task]
	switch {
	case errors.Is(err, platform.ErrStaleEpoch):
		o.depose("a worker has accepted a newer epoch")
		return
	case a == nil || a.ref != ref || a.worker != id || !a.unresolved:
		// A report was faster, or the lease has lapsed.
	case err == nil:
		o.started(a)
	case errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, platform.ErrRefused):
		a.unresolved = false
		o.end(a, model.OutcomeNotStarted, "the worker refused the start: "+err.Error())
	default:
		// The start may land until its lease ends: a report or the lapse decides.
	}
	o.advance()
}

// started notes that the worker has the attempt: from now on its absence from a
// report means that it is not running.
func (o *Owner) started(a *attempt) {
	a.unresolved = false
	a.knownAt = o.now
	if a.phase == attemptRecovered {
		o.recovered()
		a.phase = attemptRunning
	}
	if a.phase == attemptStarting {
		a.phase = attemptRunning
		o.emit(o.notice(NoticeStarted, a, ""))
	}
	if a.stopWanted {
		o.sendStop(a)
	}
}
