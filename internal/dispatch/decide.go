package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Decide returns what is to be done now. Without authority (the owner's lease is not
// surely held) nothing is ordered, but time goes on.
func (d *Dispatcher) Decide(now time.Duration, wall time.Time, authorized bool) []Command {
	if !authorized {
		d.renewWithoutAuthority(now)
		out := d.commands
		d.commands = nil
		return out
	}
	d.authorizedAt = now
	if now >= d.sweepDue {
		d.sweepDue = now + sweepInterval
		d.sweep(now, wall)
	}
	d.checkRecovered(now)
	d.sendStops(now)
	d.sendRenewals(now)
	if now >= d.passDue {
		d.passDue = now + passIntervalPerJob*time.Duration(len(d.activeJobs))
		d.placeWaiting(now)
	}
	out := d.commands
	d.commands = nil
	return out
}

// pass places what waits. A step that has found no worker is tried again only on workers that
// have gained room since, and asks for advice or for others' room only now and then: work
// grows with what changes, not with what waits.
func (d *Dispatcher) placeWaiting(now time.Duration) {
	gained := d.freedWorkers
	d.freedWorkers = nil
	for _, w := range gained {
		w.inFreedList = false
	}
	steps := d.readySteps(now)
	d.requestAdviceForSteps(now, steps)
	var unplaced []*step
	d.stepsUnplaced = false
	for _, s := range steps {
		among := gained
		if s.tryAllWorkers {
			among = d.workerList
		}
		if len(among) > 0 && (!s.def.Gang || s.tryAllWorkers || now >= s.retryDue) {
			d.placeStep(now, s, among)
		}
		d.stepsUnplaced = d.stepsUnplaced || s.waiting > 0 && !s.advice.inFlight
		if s.waiting > 0 && (s.tryAllWorkers || now >= s.retryDue) {
			s.retryDue = now + placementRetryInterval
			unplaced = append(unplaced, s)
		}
		s.tryAllWorkers = s.waiting > 0 && s.hasDelayedTask
	}
	d.preempt(now, unplaced)
}

// gain notes that a worker may take more than at the last pass.
func (d *Dispatcher) markFreed(w *worker) {
	if !w.inFreedList {
		w.inFreedList = true
		d.freedWorkers = append(d.freedWorkers, w)
	}
}

// scan looks at all workers and runs, which is not needed after every message.
func (d *Dispatcher) sweep(now time.Duration, wall time.Time) {
	d.runList = slices.DeleteFunc(d.runList, func(r *run) bool { return r.removed })
	d.createDueOccurrences(wall)
	d.expireWorkers(now)
	d.endBackoffs(now)
	d.drainWorkers(now)
	d.advanceWaves(now)
	d.stopStalledRuns(now)
	d.startCopies(now)
	d.paceFillersByLatency(now)
}

func (d *Dispatcher) emit(c Command) { d.commands = append(d.commands, c) }

// openOccurrences creates the steps of timed submissions that are due.
func (d *Dispatcher) createDueOccurrences(wall time.Time) {
	for _, j := range d.activeJobs {
		if !j.sub.HasSchedule() {
			continue
		}
		for k := range j.steps {
			due := j.sub.FirstRun.Add(time.Duration(k) * j.sub.Interval)
			if wall.Before(due) {
				break
			}
			if j.steps[k] == nil {
				j.createSteps(k)
				d.events.Record(event.OccurrenceDue, j.sub.ID, k, wall.Sub(due))
			}
		}
	}
}

// expireWorkers ends the runs of workers whose lease has run out, and forgets workers that
// are gone.
func (d *Dispatcher) expireWorkers(now time.Duration) {
	for _, w := range d.workerList {
		if now < w.leaseExpiry(d) || w.reported && w.failedRenewals == 0 {
			continue
		}
		if w.recordedByPrevious || len(w.runs) > 0 {
			d.events.Record(event.WorkerLapsed, w.entry.ID, len(w.runs), now-w.lastReportAt)
		}
		for _, r := range d.sortedRuns(w.runs) {
			d.endRun(r)
		}
		w.recordedByPrevious = false
	}
	d.workerList = slices.DeleteFunc(d.workerList, func(w *worker) bool {
		gone := !w.listed && len(w.runs) == 0 && !w.recordedByPrevious && !w.renewInFlight && len(w.pendingAcks) == 0
		if gone {
			delete(d.workers, w.entry.ID)
			d.workerListDirty = true
		}
		return gone
	})
}

// endAvoidance notes workers that take runs again.
func (d *Dispatcher) endBackoffs(now time.Duration) {
	for _, w := range d.workerList {
		if w.inBackoff && now >= w.avoidUntil {
			w.inBackoff = false
			d.markFreed(w)
		} else if now < w.avoidUntil {
			w.inBackoff = true
		}
	}
}

// recover notes when nothing that an earlier owner started can run unseen.
func (d *Dispatcher) checkRecovered(now time.Duration) {
	if d.recovered {
		return
	}
	for _, w := range d.workerList {
		if w.recordedByPrevious && !w.reported {
			return
		}
	}
	d.recovered = true
	for _, j := range d.activeJobs {
		j.retryOnAllWorkers()
	}
	d.events.Record(event.OwnerRecovered, d.opts.Fence, now-d.startedAt, len(d.workerList), len(d.runs), len(d.activeJobs))
}

// eligible reports whether no run of an earlier owner can be running unseen. That owner's
// authority had ended when this one's fencing token was made, so a later submission is safe.
func (d *Dispatcher) eligible(j *job) bool { return d.recovered || j.revision > d.opts.Fence }

// stops sends the stops that are due. An answered stop does not free the task: the run may
// have ended as done before, which the next report tells.
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
			d.emit(StopCommand{To: r.worker.target(), Run: r.id, Fence: d.opts.Fence})
			d.events.Record(event.RunStopped, r.worker.entry.ID, r.id.Task, r.id.Run, r.reason)
		}
		if r.stopConfirmedAt != 0 {
			d.queryStatus(now, r.worker)
		}
	}
}

// holds sends the holds that are due. One whose answer may be lost must not extend the
// lease again and again, so after a failure, before the worker's clock is known, and before the
// record names this owner, a hold only asks.
func (d *Dispatcher) sendRenewals(now time.Duration) {
	for _, w := range d.workerList {
		if w.renewInFlight || now < w.renewDue || w.entry.Address == "" {
			continue
		}
		h := fleet.RenewRequest{Fence: d.opts.Fence}
		if w.reported && w.failedRenewals == 0 && d.ownerRecorded {
			h.Acknowledged = w.nextAck()
			h.Deadline = w.estimatedClock(now) + d.opts.Lease.Milliseconds()
			w.leaseDeadline = max(w.leaseDeadline, h.Deadline)
			if len(w.pendingAcks) == 0 {
				h.Wait = d.renewWait(w)
			}
		}
		w.renewInFlight, w.ackInFlight = true, h.Acknowledged
		w.renewAddress, w.renewSentAt = w.entry.Address, now
		d.emit(RenewCommand{To: w.target(), Renew: h})
	}
}

// holdWait is how long a worker may take to answer a hold when nothing ends. Of many workers
// those that run nothing are asked seldom, as a poll costs as much as a start; of thousands they
// keep no connection.
func (d *Dispatcher) renewWait(w *worker) time.Duration {
	switch {
	case len(w.runs) > 0 || len(d.workerList) <= shortLongPollMaxWorkers:
		return RenewWait
	case len(d.workerList) <= idleLongPollMaxWorkers:
		return idleRenewWait
	}
	return 0
}

// nextHold is when to ask a worker again that has just answered.
func (d *Dispatcher) nextRenewal(now time.Duration, w *worker) time.Duration {
	switch {
	case len(w.pendingAcks) > 0:
		return now + unackedPollInterval
	case d.renewWait(w) == 0 && w.nextAck() == 0:
		return now + idleRenewInterval
	}
	return now
}

// look asks a worker at once what runs there, while its long poll may take a while.
func (d *Dispatcher) queryStatus(now time.Duration, w *worker) {
	if w.statusQueryInFlight || w.failedRenewals > 0 || now < w.statusQueryDue {
		return
	}
	w.statusQueryInFlight, w.statusQueryDue = true, now+statusQueryInterval
	d.emit(RenewCommand{To: w.target(), Renew: fleet.RenewRequest{Fence: d.opts.Fence}, StatusOnly: true})
}

// holdOn renews leases for a while without authority: a successor counts with it, and what
// runs survives an outage of the store.
func (d *Dispatcher) renewWithoutAuthority(now time.Duration) {
	if now < d.authorizedAt+d.opts.RenewGrace {
		d.sendRenewals(now)
	}
}

// ready lists the steps that want workers, the most urgent first.
func (d *Dispatcher) readySteps(now time.Duration) []*step {
	var list []*step
	for _, j := range d.activeJobs {
		if !d.eligible(j) {
			continue
		}
		for _, steps := range j.steps {
			for _, s := range steps {
				if s.waiting > 0 && now >= s.notBefore && s.ready() {
					list = append(list, s)
				}
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int { return d.compareSteps(now, a, b) })
	return list
}
