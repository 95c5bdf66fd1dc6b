package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// stop ends an attempt for good or, before its start, withdraws it.
func (o *Owner) stop(a *attempt, as model.Outcome) {
	a.stopAs = as
	switch a.phase {
	case attemptAssumed:
		a.withdrawn = true
	case attemptReady:
		o.end(a, model.OutcomeNotStarted, "stopped before its start")
	default:
		o.sendStop(a)
	}
}

// sendStop asks the worker to stop an attempt. While its start is open no stop is
// sent: it could be executed before the start and answered after it.
func (o *Owner) sendStop(a *attempt) {
	if a.unresolved {
		a.stopWanted = true
		return
	}
	a.phase = attemptStopping
	a.stopSent = o.now
	o.emit(StopTask{Worker: a.worker, Ref: a.ref})
}

// preempt takes a checkpoint of a running attempt and then stops it.
func (o *Owner) preempt(a *attempt) {
	if a.phase != attemptRunning {
		o.stop(a, model.OutcomePreempted)
		return
	}
	a.phase = attemptCheckpointing
	a.stopAs = model.OutcomePreempted
	o.emit(CheckpointTask{Worker: a.worker, Ref: a.ref})
}

// CheckpointReturned answers a CheckpointTask. Without a checkpoint the attempt is
// stopped all the same, and goes on from its newest one.
func (o *Owner) CheckpointReturned(now time.Time, ref platform.TaskRef, name string, err error) {
	if !o.begin(now) {
		return
	}
	if errors.Is(err, platform.ErrStaleEpoch) {
		o.depose("a worker has accepted a newer epoch")
		return
	}
	a := o.attempts[ref.Task]
	if a == nil || a.ref != ref || a.phase != attemptCheckpointing {
		return
	}
	if err == nil {
		a.checkpoint = name
	}
	o.sendStop(a)
	o.advance()
}

// StopReturned answers a StopTask. Success proves that the attempt is not running.
func (o *Owner) StopReturned(now time.Time, ref platform.TaskRef, err error) {
	if !o.begin(now) {
		return
	}
	if errors.Is(err, platform.ErrStaleEpoch) {
		o.depose("a worker has accepted a newer epoch")
		return
	}
	a := o.attempts[ref.Task]
	if a == nil || a.ref != ref || a.phase != attemptStopping || err != nil {
		return
	}
	o.end(a, a.stopAs, "")
	o.advance()
}

// retryStops repeats the stops that got no answer.
func (o *Owner) retryStops() {
	due := func(a *attempt) bool {
		return a.phase == attemptStopping && o.now.Sub(a.stopSent) >= o.opts.PollInterval
	}
	for _, a := range o.where(due) {
		o.sendStop(a)
	}
}

// CallReturned answers RenewLeases, ThrottleTask and ForgetAttempts.
func (o *Owner) CallReturned(now time.Time, err error) {
	if o.begin(now) && errors.Is(err, platform.ErrStaleEpoch) {
		o.depose("a worker has accepted a newer epoch")
	}
}
