package partition

import (
	"time"

	"filbertcross/internal/platform"
)

// Shares of the lead after which leases and horizon are renewed.
const (
	confirmShare = 3 // the horizon is confirmed after this part of the lead
	renewShare   = 4 // leases are renewed once the horizon moved by this part of the lead
)

// leaseUntil is the horizon on the worker's clock: the reading of its last report
// plus what was left of the horizon when that report arrived. The reading is no
// younger than the arrival, so the lease ends no later than the horizon, however
// late the grant is sent or arrives.
func (o *Owner) leaseUntil(w *worker) platform.WorkerClock {
	return w.clock + platform.WorkerClock(o.horizon.Sub(w.arrived))
}

// grant notes the lease that the next message to the worker carries.
func (o *Owner) grant(a *attempt, w *worker) {
	a.leaseUntil = o.leaseUntil(w)
	if o.horizon.After(a.leaseEnd) {
		a.leaseEnd = o.horizon
	}
}

// renewLeases extends the leases on a worker that has just reported, if the
// horizon has moved enough to be worth a call.
func (o *Owner) renewLeases(w *worker) {
	var refs []platform.TaskRef
	for _, a := range sorted(w.attempts) {
		if !a.renewable() || o.horizon.Sub(a.leaseEnd) < o.opts.Lead/renewShare && a.leaseUntil != 0 {
			continue
		}
		o.grant(a, w)
		refs = append(refs, a.ref)
	}
	if len(refs) == 0 {
		return
	}
	o.emit(RenewLeases{Worker: w.id, Renewal: platform.Renewal{
		Partition: o.opts.Partition, Epoch: o.opts.Epoch, Boot: w.boot,
		Tasks: refs, LeaseUntil: o.leaseUntil(w),
	}})
}

// renewable reports whether the attempt is to go on running.
func (a *attempt) renewable() bool {
	return a.phase == attemptRunning || a.phase == attemptCheckpointing
}

// lapseLeases ends the attempts whose last lease is over on every clock.
func (o *Owner) lapseLeases() {
	lapsed := func(a *attempt) bool { return a.sent() && o.now.After(a.leaseEnd.Add(o.opts.DriftMargin)) }
	for _, a := range o.where(lapsed) {
		o.end(a, a.lostOutcome(), "its lease has lapsed")
	}
}

// confirmIfDue keeps the horizon ahead.
func (o *Owner) confirmIfDue() {
	if o.horizon.Sub(o.now) < o.opts.Lead-o.opts.Lead/confirmShare {
		o.confirm()
	}
}

func (o *Owner) confirm() {
	if o.confirming {
		return
	}
	o.confirming = true
	o.emit(ConfirmOwnership{})
}

// HorizonExtended answers a ConfirmOwnership with Log.Horizon.
func (o *Owner) HorizonExtended(now, horizon time.Time) {
	if !o.begin(now) {
		return
	}
	o.confirming = false
	if horizon.After(o.horizon) {
		o.horizon = horizon
	}
	o.startReady()
	o.advance()
}

// OwnershipUnconfirmed answers a ConfirmOwnership that the store did not serve; it is
// asked for again at the next Tick.
func (o *Owner) OwnershipUnconfirmed(now time.Time) {
	if o.begin(now) {
		o.confirming = false
	}
}

// settleIfDue tells the record once that the leases of earlier epochs are over.
func (o *Owner) settleIfDue() {
	if o.settled || !o.now.After(o.priorEnd.Add(o.opts.DriftMargin)) {
		return
	}
	o.settled = true
	o.emit(ClearPriorLead{})
}
