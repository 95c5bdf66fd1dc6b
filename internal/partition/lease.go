package partition

import (
	"time"

	"filbertcross/internal/platform"
)

// Renewal intervals of horizon and leases, as divisors of the lead.
const (
	confirmDivisor = 3 // the horizon is confirmed after lead/confirmDivisor
	renewDivisor   = 4 // leases are renewed once the horizon has advanced by lead/renewDivisor
)

// leaseUntil returns the horizon on the worker's clock: the clock in its last report plus
// the time from the arrival of that report to the horizon. The worker read its clock no
// later than the report arrived, so the lease ends no later than the horizon, however late
// the grant is sent or arrives.
func (o *Owner) leaseUntil(w *worker) platform.WorkerTime {
	return w.reportClock + platform.WorkerTime(o.horizon.Sub(w.reportReceivedAt))
}

// grantLease records the lease that the next message to the worker carries.
func (o *Owner) grantLease(a *attempt, w *worker) {
	a.leaseUntil = o.leaseUntil(w)
	if o.horizon.After(a.leaseEnd) {
		a.leaseEnd = o.horizon
	}
}

// renewLeases extends the leases on a worker that has just reported, if the horizon has
// advanced enough to justify a call.
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
	o.emit(RenewLeases{Worker: w.id, Renewal: platform.LeaseRenewal{
		Partition: o.opts.Partition, Epoch: o.opts.Epoch, Boot: w.boot,
		Tasks: refs, LeaseUntil: o.leaseUntil(w),
	}})
}

// renewable reports whether the attempt should continue to run.
func (a *attempt) renewable() bool {
	return a.phase == attemptRunning || a.phase == attemptCheckpointing
}

// expireLeases ends the attempts whose last lease has expired on every clock.
func (o *Owner) expireLeases() {
	expired := func(a *attempt) bool { return a.startSent() && o.now.After(a.leaseEnd.Add(o.opts.DriftMargin)) }
	for _, a := range o.attemptsWhere(expired) {
		o.endAttempt(a, a.lostOutcome(), "its lease expired")
	}
}

// confirmIfDue requests a confirmation of ownership before the horizon comes too close.
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

// HorizonExtended reports a successful ConfirmOwnership with the new Log.Horizon.
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

// OwnershipUnconfirmed reports a ConfirmOwnership that the store could not serve; it is
// requested again at the next Tick.
func (o *Owner) OwnershipUnconfirmed(now time.Time) {
	if o.beginInput(now) {
		o.confirmInFlight = false
	}
}

// clearPriorLeadIfDue requests once to record that the leases of earlier epochs have
// expired.
func (o *Owner) clearPriorLeadIfDue() {
	if o.priorLeadCleared || !o.now.After(o.priorLeasesEnd.Add(o.opts.DriftMargin)) {
		return
	}
	o.priorLeadCleared = true
	o.emit(ClearPriorLead{})
}
