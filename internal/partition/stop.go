package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// stopAttempt stops an attempt, or withdraws it if it has not been started.
func (o *Owner) stopAttempt(a *attempt, as model.Outcome) {
	a.stopAs = as
	switch a.phase {
	case attemptAssumed:
		a.withdrawn = true
	case attemptReady:
		o.endAttempt(a, model.OutcomeNotStarted, "stopped before its start")
	default:
		o.sendStop(a)
	}
}

// sendStop sends a stop to the worker. While the result of the start is unknown no stop is
// sent: it could be executed before the start and answered after it.
func (o *Owner) sendStop(a *attempt) {
	if a.startUnresolved {
		a.stopPending = true
		return
	}
	a.phase = attemptStopping
	a.stopSentAt = o.now
	o.emit(StopTask{Worker: a.worker, Ref: a.ref})
}

// preemptAttempt requests a checkpoint of a running attempt and then stops it.
func (o *Owner) preemptAttempt(a *attempt) {
	if a.phase != attemptRunning {
		o.stopAttempt(a, model.OutcomePreempted)
		return
	}
	a.phase = attemptCheckpointing
	a.stopAs = model.OutcomePreempted
	o.emit(CheckpointTask{Worker: a.worker, Ref: a.ref})
}

// CheckpointReturned reports the result of a CheckpointTask. If the checkpoint failed, the
// attempt is stopped all the same and its task resumes from the newest checkpoint.
func (o *Owner) CheckpointReturned(now time.Time, ref platform.TaskRef, name string, err error) {
	if !o.beginInput(now) {
		return
	}
	if errors.Is(err, platform.ErrStaleEpoch) {
		o.endEpoch("a worker has accepted a newer epoch")
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
	o.decideAndFlush()
}

// StopReturned reports the result of a StopTask. Success proves that the attempt is not
// running.
func (o *Owner) StopReturned(now time.Time, ref platform.TaskRef, err error) {
	if !o.beginInput(now) {
		return
	}
	if errors.Is(err, platform.ErrStaleEpoch) {
		o.endEpoch("a worker has accepted a newer epoch")
		return
	}
	a := o.attempts[ref.Task]
	if a == nil || a.ref != ref || a.phase != attemptStopping || err != nil {
		return
	}
	o.endAttempt(a, a.stopAs, "")
	o.decideAndFlush()
}

// retryStops repeats the stops that were not answered within a poll interval.
func (o *Owner) retryStops() {
	due := func(a *attempt) bool {
		return a.phase == attemptStopping && o.now.Sub(a.stopSentAt) >= o.opts.PollInterval
	}
	for _, a := range o.attemptsWhere(due) {
		o.sendStop(a)
	}
}

// CallReturned reports the result of RenewLeases, ThrottleTask or ForgetAttempts.
func (o *Owner) CallReturned(now time.Time, err error) {
	if o.beginInput(now) && errors.Is(err, platform.ErrStaleEpoch) {
		o.endEpoch("a worker has accepted a newer epoch")
	}
}
