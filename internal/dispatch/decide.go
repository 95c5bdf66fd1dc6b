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
		d.holdOn(now)
		out := d.out
		d.out = nil
		return out
	}
	d.authorizedAt = now
	if now >= d.scanDue {
		d.scanDue = now + scanEvery
		d.scan(now, wall)
	}
	d.recover(now)
	d.stops(now)
	d.holds(now)
	if now >= d.passDue {
		d.passDue = now + passCost*time.Duration(len(d.live))
		d.pass(now)
	}
	out := d.out
	d.out = nil
	return out
}

// pass places what waits. A step that has found no worker is tried again only on workers that
// have gained room since, and asks for advice or for others' room only now and then: work
// grows with what changes, not with what waits.
func (d *Dispatcher) pass(now time.Duration) {
	gained := d.gained
	d.gained = nil
	for _, w := range gained {
		w.gaining = false
	}
	steps := d.ready(now)
	d.askAdvice(now, steps)
	var unplaced []*step
	d.crowded = false
	for _, s := range steps {
		among := gained
		if s.fresh {
			among = d.order
		}
		if len(among) > 0 && (!s.def.Gang || s.fresh || now >= s.roomDue) {
			d.placeStep(now, s, among)
		}
		d.crowded = d.crowded || s.waiting > 0 && !s.advice.asking
		if s.waiting > 0 && (s.fresh || now >= s.roomDue) {
			s.roomDue = now + retryEvery
			unplaced = append(unplaced, s)
		}
		s.fresh = s.waiting > 0 && s.delayed
	}
	d.preempt(now, unplaced)
}

// gain notes that a worker may take more than at the last pass.
func (d *Dispatcher) gain(w *worker) {
	if !w.gaining {
		w.gaining = true
		d.gained = append(d.gained, w)
	}
}

// scan looks at all workers and runs, which is not needed after every message.
func (d *Dispatcher) scan(now time.Duration, wall time.Time) {
	d.runList = slices.DeleteFunc(d.runList, func(r *run) bool { return r.gone })
	d.openOccurrences(wall)
	d.expireWorkers(now)
	d.endAvoidance(now)
	d.drain(now)
	d.maintain(now)
	d.watchRuns(now)
	d.speculate(now)
	d.share(now)
}

func (d *Dispatcher) emit(c Command) { d.out = append(d.out, c) }

// openOccurrences creates the steps of timed submissions that are due.
func (d *Dispatcher) openOccurrences(wall time.Time) {
	for _, j := range d.live {
		if !j.sub.HasSchedule() {
			continue
		}
		for k := range j.steps {
			due := j.sub.FirstRun.Add(time.Duration(k) * j.sub.Interval)
			if wall.Before(due) {
				break
			}
			if j.steps[k] == nil {
				j.build(k)
				d.events.Record(event.OccurrenceDue, j.sub.ID, k, wall.Sub(due))
			}
		}
	}
}

// expireWorkers ends the runs of workers whose lease has run out, and forgets workers that
// are gone.
func (d *Dispatcher) expireWorkers(now time.Duration) {
	for _, w := range d.order {
		if now < w.lapse(d) || w.heard && w.failing == 0 {
			continue
		}
		if w.wasSeen || len(w.runs) > 0 {
			d.events.Record(event.WorkerLapsed, w.entry.ID, len(w.runs), now-w.lastHeard)
		}
		for _, r := range d.sorted(w.runs) {
			d.end(r)
		}
		w.wasSeen = false
	}
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool {
		gone := !w.listed && len(w.runs) == 0 && !w.wasSeen && !w.holding && len(w.ackQueue) == 0
		if gone {
			delete(d.workers, w.entry.ID)
			d.recordDirty = true
		}
		return gone
	})
}

// endAvoidance notes workers that take runs again.
func (d *Dispatcher) endAvoidance(now time.Duration) {
	for _, w := range d.order {
		if w.avoided && now >= w.avoidUntil {
			w.avoided = false
			d.gain(w)
		} else if now < w.avoidUntil {
			w.avoided = true
		}
	}
}

// recover notes when nothing that an earlier owner started can run unseen.
func (d *Dispatcher) recover(now time.Duration) {
	if d.recovered {
		return
	}
	for _, w := range d.order {
		if w.wasSeen && !w.heard {
			return
		}
	}
	d.recovered = true
	for _, j := range d.live {
		j.refresh()
	}
	d.events.Record(event.OwnerRecovered, d.opts.Fence, now-d.began, len(d.order), len(d.runs), len(d.live))
}

// eligible reports whether no run of an earlier owner can be running unseen. That owner's
// authority had ended when this one's fencing token was made, so a later submission is safe.
func (d *Dispatcher) eligible(j *job) bool { return d.recovered || j.revision > d.opts.Fence }

// stops sends the stops that are due. An answered stop does not free the task: the run may
// have ended as done before, which the next report tells.
func (d *Dispatcher) stops(now time.Duration) {
	d.closing = slices.DeleteFunc(d.closing, func(r *run) bool {
		return r.gone || r.phase != runUncertain && r.phase != runStopping
	})
	for _, r := range d.closing {
		if r.phase == runUncertain {
			d.look(now, r.worker)
			continue
		}
		if r.stopAnswer == 0 && !r.stopOut && now >= r.stopDue {
			r.stopOut = true
			d.emit(StopCommand{To: r.worker.target(), Run: r.id, Fence: d.opts.Fence})
			d.events.Record(event.RunStopped, r.worker.entry.ID, r.id.Task, r.id.Run, r.reason)
		}
		if r.stopAnswer != 0 {
			d.look(now, r.worker)
		}
	}
}

// holds sends the holds that are due. One whose answer may be lost must not extend the
// lease again and again, so after a failure, before the worker's clock is known, and before the
// record names this owner, a hold only asks.
func (d *Dispatcher) holds(now time.Duration) {
	for _, w := range d.order {
		if w.holding || now < w.holdDue || w.entry.Address == "" {
			continue
		}
		h := fleet.RenewRequest{Fence: d.opts.Fence}
		if w.heard && w.failing == 0 && d.announced {
			h.Acknowledged = w.unsentAck()
			h.Deadline = w.clockNow(now) + d.opts.Lease.Milliseconds()
			w.granted = max(w.granted, h.Deadline)
			if len(w.ackQueue) == 0 {
				h.Wait = d.holdWait(w)
			}
		}
		w.holding, w.ackOut = true, h.Acknowledged
		w.holdTo, w.holdSent = w.entry.Address, now
		d.emit(RenewCommand{To: w.target(), Renew: h})
	}
}

// holdWait is how long a worker may take to answer a hold when nothing ends. Of many workers
// those that run nothing are asked seldom, as a poll costs as much as a start; of thousands they
// keep no connection.
func (d *Dispatcher) holdWait(w *worker) time.Duration {
	switch {
	case len(w.runs) > 0 || len(d.order) <= manyWorkers:
		return RenewWait
	case len(d.order) <= thousandsOfWorkers:
		return idleHoldWait
	}
	return 0
}

// nextHold is when to ask a worker again that has just answered.
func (d *Dispatcher) nextHold(now time.Duration, w *worker) time.Duration {
	switch {
	case len(w.ackQueue) > 0:
		return now + unackedPoll
	case d.holdWait(w) == 0 && w.unsentAck() == 0:
		return now + idleHoldEvery
	}
	return now
}

// look asks a worker at once what runs there, while its long poll may take a while.
func (d *Dispatcher) look(now time.Duration, w *worker) {
	if w.looking || w.failing > 0 || now < w.lookDue {
		return
	}
	w.looking, w.lookDue = true, now+lookEvery
	d.emit(RenewCommand{To: w.target(), Renew: fleet.RenewRequest{Fence: d.opts.Fence}, StatusOnly: true})
}

// holdOn renews leases for a while without authority: a successor counts with it, and what
// runs survives an outage of the store.
func (d *Dispatcher) holdOn(now time.Duration) {
	if now < d.authorizedAt+d.opts.RenewGrace {
		d.holds(now)
	}
}

// ready lists the steps that want workers, the most urgent first.
func (d *Dispatcher) ready(now time.Duration) []*step {
	var list []*step
	for _, j := range d.live {
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
	slices.SortStableFunc(list, func(a, b *step) int { return d.compare(now, a, b) })
	return list
}
