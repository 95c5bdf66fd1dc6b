package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Decide returns the commands to execute now; wall is the wall-clock time, which schedules
// refer to. Without authority, when the owner's lease may have expired, it does only what
// suspension.go describes.
func (d *Dispatcher) Decide(now time.Duration, wall time.Time, authorized bool) []Command {
	if authorized {
		d.decideAuthorized(now, wall)
	} else {
		d.decideSuspended(now)
	}
	out := d.commands
	d.commands = nil
	return out
}

func (d *Dispatcher) decideAuthorized(now time.Duration, wall time.Time) {
	d.authorizedAt = now
	d.retryPassedOver()
	if now >= d.sweepDue {
		d.sweepDue = now + sweepInterval
		d.sweep(now, wall)
	}
	d.checkRecovered(now)
	d.sendStops(now)
	d.sendRenewals(now)
	d.placeIfDue(now)
}

// retryPassedOver lets the next pass try all workers for all steps, if passes without authority have used up the knowledge of
// freed workers: they pass over steps that may not be started, and workers that are not proven.
func (d *Dispatcher) retryPassedOver() {
	if !d.passedOver {
		return
	}
	d.passedOver = false
	for _, j := range d.activeJobs {
		j.retryOnAllWorkers()
	}
}

// placeIfDue makes a placement pass if it is due and the list of workers is current.
func (d *Dispatcher) placeIfDue(now time.Duration) {
	if now >= d.passDue && d.listIsCurrent(now) {
		d.passDue = now + passIntervalPerJob*time.Duration(len(d.activeJobs))
		d.passedOver = d.passedOver || d.suspended
		d.placeWaiting(now)
	}
}

// markFreed records that a worker may have more free capacity than at the last pass.
func (d *Dispatcher) markFreed(w *worker) {
	if !w.inFreedList {
		w.inFreedList = true
		d.freedWorkers = append(d.freedWorkers, w)
	}
}

// sweep runs the checks over all workers and runs, which are too costly for every message.
func (d *Dispatcher) sweep(now time.Duration, wall time.Time) {
	d.runList = slices.DeleteFunc(d.runList, func(r *run) bool { return r.removed })
	d.createDeferred()
	d.createDueOccurrences(now, wall)
	d.expireWorkers(now)
	d.endFencing(now)
	d.settleIncarnations(now)
	d.endBackoffs(now)
	d.advanceProbes(now)
	d.dropOldExposures(now)
	d.advanceGroups(now)
	d.drainWorkers(now)
	d.advanceWaves(now)
	d.stopStalledRuns(now)
	d.startCopies(now)
	d.paceFillersByLatency(now)
	d.updateSlowdowns()
	d.recordSpeeds(now)
}

func (d *Dispatcher) emit(c Command) { d.commands = append(d.commands, c) }

// expireWorkers ends the runs of workers whose lease has expired and drops workers that have
// left.
func (d *Dispatcher) expireWorkers(now time.Duration) {
	for _, w := range d.workerList {
		if now < w.leaseExpiry(d) || w.reported && w.failedRenewals == 0 {
			continue
		}
		ended := slices.DeleteFunc(d.sortedRuns(w.runs), func(r *run) bool { return now < r.unansweredLeaseEnd(d.opts.MaxLease) })
		if w.recordedByPrevious || len(ended) > 0 {
			d.events.Record(event.WorkerLeaseExpired, w.entry.ID, len(ended), now-w.lastReportAt, w.reported, w.clock, w.leaseDeadline, now-w.incarnationSince)
		}
		for _, r := range ended {
			d.loseRun(now, r, lostByExpiry)
		}
		w.recordedByPrevious = false
	}
	d.workerList = slices.DeleteFunc(d.workerList, func(w *worker) bool {
		left := !w.listed && len(w.runs) == 0 && len(w.exposures) == 0 && !w.recordedByPrevious && !w.renewInFlight && len(w.pendingAcks) == 0
		if left {
			delete(d.workers, w.entry.ID)
			d.rememberDeparture(now, w)
			d.freeWorkers.remove(w)
			d.workerListDirty = true
		}
		return left
	})
}

// endBackoffs marks workers whose back-off has ended as having freed capacity.
func (d *Dispatcher) endBackoffs(now time.Duration) {
	for _, w := range d.workerList {
		if w.inBackoff && now >= w.backoffUntil {
			w.inBackoff = false
			d.markFreed(w)
		} else if now < w.backoffUntil {
			w.inBackoff = true
		}
	}
}

// checkRecovered detects when every worker recorded by an earlier owner has reported all its runs and results, or
// has expired, so that no run of that owner can be running, or has completed a task, unknown to this one.
func (d *Dispatcher) checkRecovered(now time.Duration) {
	if d.recovered {
		return
	}
	for _, w := range d.workerList {
		if w.recordedByPrevious && (!w.reported || !w.resultsKnown) {
			return
		}
	}
	d.recovered = true
	for _, j := range d.activeJobs {
		j.retryOnAllWorkers()
	}
	d.events.Record(event.OwnerRecovered, d.opts.Fence, now-d.startedAt, len(d.workerList), len(d.runs), len(d.activeJobs))
}

// eligible reports whether no unknown run of the job can be running. An earlier owner's
// authority had ended when this owner's fencing token was created, so submissions accepted
// after that have no earlier runs.
func (d *Dispatcher) eligible(j *job) bool {
	return (d.recovered || j.revision > d.opts.Fence) && (!d.suspended || d.eligibleWhileSuspended(j))
}

// sendStops sends the stop commands that are due. A confirmed stop does not release the task:
// the run may have completed before the stop, which only the next report shows.
func (d *Dispatcher) sendStops(now time.Duration) {
	d.unsettledRuns = slices.DeleteFunc(d.unsettledRuns, func(r *run) bool {
		return r.removed || r.phase != runUncertain && r.phase != runStopping
	})
	for _, r := range d.unsettledRuns {
		if r.phase == runUncertain {
			d.queryStatus(now, r.worker)
			continue
		}
		if r.stopConfirmedAt == 0 && !r.stopInFlight && now >= r.stopDue {
			r.stopInFlight = true
			r.stopFence, r.stopSentAt = r.worker.nextCommandFence(), now
			d.emit(StopCommand{To: r.worker.target(), Run: r.id, Fence: r.stopFence})
			d.events.Record(event.RunStopped, r.worker.entry.ID, r.id.Task, r.id.Run, r.stopReason)
		}
		if r.stopConfirmedAt != 0 {
			d.queryStatus(now, r.worker)
		}
	}
}

// sendRenewals sends the lease renewals that are due. Renewals whose responses are lost must
// not extend the lease repeatedly. Therefore a renewal only requests a report after a failure,
// before the worker's clock is known, and before the durable worker list names this owner.
func (d *Dispatcher) sendRenewals(now time.Duration) {
	for _, w := range d.workerList {
		if w.renewInFlight || now < w.renewDue || w.entry.Address == "" {
			continue
		}
		d.raiseFence(now, w)
		req := fleet.RenewRequest{Fence: w.fence}
		if w.reported && w.failedRenewals == 0 && d.ownerRecorded {
			req.Acknowledged = w.nextAck()
			w.commandFence = w.fence
			req.Deadline = w.estimatedClock(now) + d.opts.Lease.Milliseconds()
			w.leaseDeadline = max(w.leaseDeadline, req.Deadline)
			w.renewalsSinceReport++
			if len(w.pendingAcks) == 0 && w.fenced(now) {
				req.Wait = d.renewWait(w)
			}
		}
		w.renewInFlight, w.ackInFlight = true, req.Acknowledged
		w.renewAddress, w.renewSentAt = w.entry.Address, now
		d.emit(RenewCommand{To: w.target(), Renew: req})
	}
}

// renewWait returns the long poll duration of a worker. In a large fleet idle workers get a
// longer one, because a poll costs as much as a start. In a very large fleet they get none, so
// that they occupy no connection.
func (d *Dispatcher) renewWait(w *worker) time.Duration {
	switch {
	case len(w.runs) > 0 || len(d.workerList) <= shortLongPollMaxWorkers:
		return RenewWait
	case len(d.workerList) <= idleLongPollMaxWorkers:
		return idleRenewWait
	}
	return 0
}

// nextRenewal returns when to send the next renewal to a worker that has just responded.
func (d *Dispatcher) nextRenewal(now time.Duration, w *worker) time.Duration {
	switch {
	case len(w.pendingAcks) > 0 || w.staleFence >= d.provenRevision && !w.fenced(now):
		return now + unackedPollInterval
	case !w.fenced(now): // the next renewal has the token that fences it
		return now
	case d.renewWait(w) == 0 && w.nextAck() == 0:
		return now + idleRenewInterval
	}
	return now
}

// queryStatus requests a report at once, in addition to the long poll in flight, which may
// take longer to return.
func (d *Dispatcher) queryStatus(now time.Duration, w *worker) {
	if w.statusQueryInFlight || w.failedRenewals > 0 || now < w.statusQueryDue {
		return
	}
	w.statusQueryInFlight, w.statusQueryDue = true, now+statusQueryInterval
	d.emit(RenewCommand{To: w.target(), Renew: fleet.RenewRequest{Fence: w.fence}, StatusOnly: true})
}
