package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// The life cycle of an attempt: decide on a placement, log it, start the task under a
// lease once the placement is durable, renew the lease, and log the end.

// decide carries out the decisions that are possible now. While appends fail or stall it
// makes no decisions, because nothing could be started.
func (o *Owner) decide() {
	if o.appendsBlocked() {
		return
	}
	decisions := o.decider.Decide(o.now, maxDecisionsPerPass)
	for len(decisions) > 0 {
		n := groupLength(decisions)
		o.applyDecisions(decisions[:n])
		decisions = decisions[n:]
	}
}

// groupLength returns the number of leading decisions that are committed together.
func groupLength(d []schedule.Decision) int {
	n := 1
	for n < len(d) && d[0].Group != 0 && d[n].Group == d[0].Group {
		n++
	}
	return n
}

func (o *Owner) applyDecisions(group []schedule.Decision) {
	d := group[0]
	switch d.Action {
	case schedule.ActionPlace, schedule.ActionProbe:
		o.placeGroup(group)
		return
	}
	for _, d := range group {
		o.applyToAttempt(d)
	}
}

// applyToAttempt carries out a decision on a task that has an attempt.
func (o *Owner) applyToAttempt(d schedule.Decision) {
	a := o.attempts[d.Task]
	if a == nil {
		return
	}
	switch d.Action {
	case schedule.ActionStop:
		o.stopAttempt(a, model.OutcomeCanceled)
	case schedule.ActionThrottle:
		o.emit(ThrottleTask{Worker: a.worker, Ref: a.ref, Limit: d.Limit})
	case schedule.ActionPreempt, schedule.ActionMove:
		n := o.notice(NoticePreempted, a, d.Reason)
		n.Beneficiary = d.Beneficiary
		o.emit(n)
		o.preemptAttempt(a)
	}
}

// placeGroup creates the attempts of a group and logs them together.
func (o *Owner) placeGroup(group []schedule.Decision) {
	var attempts []*attempt
	it := &logItem{}
	for _, d := range group {
		a, violation := o.assume(d)
		if violation != "" {
			o.emit(Notice{Kind: NoticeInvariantViolated, Partition: o.opts.Partition, Epoch: o.opts.Epoch,
				Task: d.Task, Worker: d.Worker, Branch: d.Branch, Reason: violation})
			o.dropAttempts(attempts)
			o.forgetDecisions(group)
			return
		}
		attempts = append(attempts, a)
		it.records = append(it.records, logRecord{Placed: &taskPlaced{
			Task: a.ref.Task, Attempt: a.ref.Attempt, Worker: a.worker,
			Boot: a.boot, Size: a.size, Epoch: o.opts.Epoch,
		}})
	}
	it.onDurable = func() { o.placementDurable(attempts) }
	it.onFailed = func(error) {
		o.dropAttempts(attempts)
		o.forgetDecisions(group)
	}
	o.enqueue(it)
}

// assume creates the attempt for a placement decision. If that would violate an invariant
// it returns a description of the violation instead.
func (o *Owner) assume(d schedule.Decision) (*attempt, string) {
	w := o.workers[d.Worker]
	job := o.job(d.Job)
	switch {
	case o.attempts[d.Task] != nil:
		return nil, "the task may be running already"
	case job == nil || o.isCanceled(d.Job) || o.isHandedOver(d.Job):
		return nil, "the job is unknown, canceled or handed over"
	case w == nil || !w.usable():
		return nil, "the worker is unknown or not usable"
	case !w.granted.Add(d.Size).FitsIn(w.capacity):
		return nil, "the worker's capacity would be exceeded"
	}
	a := &attempt{
		ref: platform.TaskRef{Task: d.Task, Attempt: 1}, job: d.Job, branch: d.Branch,
		worker: d.Worker, boot: w.boot, size: d.Size,
	}
	if t := o.state.task(d.Task); t != nil {
		if t.Phase == taskFinal {
			return nil, "the task already has a final outcome"
		}
		a.ref.Attempt = t.Attempt + 1
		a.checkpoint = t.Checkpoint
	}
	o.addAttempt(w, a)
	return a, ""
}

func (o *Owner) dropAttempts(attempts []*attempt) {
	for _, a := range attempts {
		o.dropAttempt(a)
	}
}

func (o *Owner) forgetDecisions(group []schedule.Decision) {
	for _, d := range group {
		o.decider.Forget(o.now, d.Task)
	}
}

// placementDurable starts attempts whose placement has become durable.
func (o *Owner) placementDurable(attempts []*attempt) {
	for _, a := range attempts {
		o.decider.Confirm(o.now, a.ref.Task)
		a.phase = attemptReady
		o.emit(o.notice(NoticePlaced, a, ""))
		o.startAttempt(a)
	}
}

// startReadyAttempts starts the attempts that were waiting for a later horizon.
func (o *Owner) startReadyAttempts() {
	for _, a := range o.attemptsWhere(func(a *attempt) bool { return a.phase == attemptReady }) {
		o.startAttempt(a)
	}
}

// startAttempt sends the start with a lease that ends at the horizon, or ends the attempt
// if it can no longer be started.
func (o *Owner) startAttempt(a *attempt) {
	w := o.workers[a.worker]
	switch {
	case a.withdrawn || o.isCanceled(a.job):
		o.endAttempt(a, model.OutcomeNotStarted, "withdrawn before its start")
		return
	case w == nil || w.boot != a.boot || !w.usable():
		o.endAttempt(a, model.OutcomeNotStarted, "the worker restarted or became unusable before the start")
		return
	case o.horizon.Sub(o.now) < o.opts.MinStartLease:
		o.confirmOwnership()
		return
	}
	a.phase = attemptStarting
	a.startUnresolved = true
	o.grantLease(a, w)
	job := o.job(a.job)
	o.emit(StartTask{Worker: a.worker, Start: platform.StartRequest{
		Partition: o.opts.Partition, Epoch: o.opts.Epoch, Boot: a.boot,
		Task: a.ref.Task, Attempt: a.ref.Attempt, Branch: a.branch, Workload: job.Workload,
		Size: a.size, LeaseUntil: a.leaseUntil, Checkpoint: a.checkpoint,
	}})
}

// StartReturned reports the result of a StartTask.
func (o *Owner) StartReturned(now time.Time, id model.WorkerID, ref platform.TaskRef, err error) {
	if !o.beginInput(now) {
		return
	}
	a := o.attempts[ref.Task]
	switch {
	case errors.Is(err, platform.ErrStaleEpoch):
		o.endEpoch("a worker has accepted a newer epoch")
		return
	case a == nil || a.ref != ref || a.worker != id || !a.startUnresolved:
		// A report already resolved the start, or the lease has expired.
	case err == nil:
		o.startConfirmed(a)
	case errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, platform.ErrRefused):
		a.startUnresolved = false
		o.endAttempt(a, model.OutcomeNotStarted, "the worker refused the start: "+err.Error())
	default:
		// The start may take effect until its lease ends: a report or the expiry resolves it.
	}
	o.decideAndFlush()
}

// startConfirmed records that the worker has the attempt. From now on its absence from a
// report means that it is not running.
func (o *Owner) startConfirmed(a *attempt) {
	a.startUnresolved = false
	a.startConfirmedAt = o.now
	if a.phase == attemptRecovered {
		o.attemptResolved()
		a.phase = attemptRunning
	}
	if a.phase == attemptStarting {
		a.phase = attemptRunning
		o.emit(o.notice(NoticeStarted, a, ""))
	}
	if a.stopPending {
		o.sendStop(a)
	}
}
