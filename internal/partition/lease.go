package partition

import (
	"time"

	"filbertcross/internal/platform"
)

// Shares of the lead after which leases and horizon are renewed.
const (
	confirmDivisor = 3 // the horizon is confirmed after this part of the lead
	renewDivisor   = 4 // leases are renewed once the horizon moved by this part of the lead
)

// leaseUntil is the horizon on the worker's clock: the reading of its last report
// plus what was left of the horizon when that report arrived. The reading is no
// younger than the arrival, so the lease ends no later than the horizon, however
// late the grant is sent or arrives.
func (o *Owner) leaseUntil(w *worker) platform.WorkerClock {
	return w.reportClock + platform.WorkerClock(o.horizon.Sub(w.reportReceivedAt))
}

// grantLease notes the lease that the next message to the worker carries.
func (o *Owner) grantLease(a *attempt, w *worker) {
	a.leaseUntil = o.leaseUntil(w)
	if o.horizon.After(a.leaseEnd) {
		a.leaseEnd = o.horizon
	}
}

// renewLeases extends the leases on a worker that has just reported, if the
// horizon has moved enough to be worth a call.
func (o *Owner) renewLeases(w *worker) {
	var refs []platform.TaskRef
	for _, a := range sortedAttempts(w.attempts) {
		if !a.renewable() || o.horizon.Sub(a.leaseEnd) < o.opts.Lead/renewDivisor && a.leaseUntil != 0 {
			continue
		}
		o.grantLease(a, w)
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

// expireLeases ends the attempts whose last lease is over on every clock.
func (o *Owner) expireLeases() {
	lapsed := func(a *attempt) bool { return a.startSent() && o.now.After(a.leaseEnd.Add(o.opts.DriftMargin)) }
	for _, a := range o.attemptsWhere(lapsed) {
		o.endAttempt(a, a.lostOutcome(), "its lease has lapsed")
	}
}

// confirmIfDue keeps the horizon ahead.
func (o *Owner) confirmIfDue() {
	if o.horizon.Sub(o.now) < o.opts.Lead-o.opts.Lead/confirmDivisor {
		o.confirmOwnership()
	}
}

func (o *Owner) confirmOwnership() {
	if o.confirmInFlight {
		return
	}
	o.confirmInFlight = true
	o.emit(ConfirmOwnership{})
}

// HorizonExtended answers a ConfirmOwnership with Log.Horizon.
func (o *Owner) HorizonExtended(now, horizon time.Time) {
	if !o.beginInput(now) {
		return
	}
	o.confirmInFlight = false
	if horizon.After(o.horizon) {
		o.horizon = horizon
	}
	o.startReadyAttempts()
	o.decideAndFlush()
}

// OwnershipUnconfirmed answers a ConfirmOwnership that the store did not serve; it is
// asked for again at the next Tick.
func (o *Owner) OwnershipUnconfirmed(now time.Time) {
	if o.beginInput(now) {
		o.confirmInFlight = false
	}
}

// clearPriorLeadIfDue tells the record once that the leases of earlier epochs are over.
func (o *Owner) clearPriorLeadIfDue() {
	if o.priorLeadCleared || !o.now.After(o.priorLeasesEnd.Add(o.opts.DriftMargin)) {
		return
	}
	o.priorLeadCleared = true
	o.emit(ClearPriorLead{})
}
