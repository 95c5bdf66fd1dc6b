package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Reservations of waiting gangs.
const (
	reservationInterval = 200 * time.Millisecond // between two choices of workers for a waiting gang
	reservationGain     = 500 * time.Millisecond // a new choice replaces the current one only if it is ready this much earlier
	minBackfillTime     = time.Second            // below this a run that is to be preempted for the gang is not started
	maxReadyTime        = 2 * time.Second        // a gang that fits for longer does not start for another reason, such as failing advice calls, and holds no workers
	neverFree           = time.Duration(math.MaxInt64)
)

// reservation holds workers for a gang that waits for capacity. Without it, tasks that need
// less would take each piece of capacity that is freed, and the gang would never fit. Steps
// behind the gang in placement order may use the workers only if that does not delay it. The
// reservations are set anew in every placement pass, in placement order, so a worker is
// reserved for the most urgent gang that chose it.
type reservation struct {
	step    *step
	members map[*worker]int // members to start on each worker
	readyAt time.Duration   // estimate of when all members fit
	fitsAt  time.Duration   // since when all members fit; 0: not now
	expired bool            // the gang has fitted for longer than maxReadyTime
}

// demand returns the capacity that the members on the worker need.
func (r *reservation) demand(w *worker) model.Resources {
	size := reservedCapacity(r.step.def)
	n := int64(r.members[w])
	return model.Resources{MilliCPU: n * size.MilliCPU, MemoryMiB: n * size.MemoryMiB, Accelerators: n * size.Accelerators}
}

// workers returns the reserved workers in a fixed order.
func (r *reservation) workers() []*worker {
	return slices.SortedFunc(maps.Keys(r.members), func(a, b *worker) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
}

// clearReservations removes all reservations, before a placement pass sets them anew, and
// returns them.
func (d *Dispatcher) clearReservations() []*reservation {
	cleared := d.reservations
	for _, r := range cleared {
		for w := range r.members {
			w.reservedFor = nil
		}
	}
	d.reservations = nil
	return cleared
}

// markUnreserved marks the workers that are no longer reserved as having freed capacity, so that
// the next pass tries them for the steps that the reservation blocked.
func (d *Dispatcher) markUnreserved(cleared []*reservation) {
	for _, r := range cleared {
		for _, w := range r.workers() {
			if w.reservedFor == nil {
				d.markFreed(w)
			}
		}
	}
}

// reserve reserves workers for a gang that could not be placed.
func (d *Dispatcher) reserve(now time.Duration, s *step) {
	if s.waiting < len(s.tasks) {
		s.reservation = nil
		return
	}
	valid := s.reservation != nil && d.reservable(now, s.reservation)
	if !valid || now >= s.reserveDue {
		s.reserveDue = now + reservationInterval
		next := d.chooseReservation(now, s)
		if !valid || next != nil && next.readyAt+reservationGain < d.readyAt(now, s.reservation) {
			d.recordReservation(now, s, next)
			s.reservation = next
		} else {
			s.reservation.readyAt = d.readyAt(now, s.reservation)
		}
	}
	if s.reservation == nil {
		return
	}
	s.reservation.updateFitsAt(now)
	if s.reservation.expired {
		return
	}
	d.reservations = append(d.reservations, s.reservation)
	for w := range s.reservation.members {
		w.reservedFor = s.reservation
	}
}

// updateFitsAt is called with readyAt up to date.
func (r *reservation) updateFitsAt(now time.Duration) {
	switch {
	case r.readyAt > now:
		r.fitsAt = 0
	case r.fitsAt == 0:
		r.fitsAt = now
	}
	r.expired = r.fitsAt != 0 && now-r.fitsAt > maxReadyTime
}

// recordReservation records a change of the workers reserved for a gang.
func (d *Dispatcher) recordReservation(now time.Duration, s *step, r *reservation) {
	if r == nil && s.reservation == nil && s.waitRecorded {
		return
	}
	s.waitRecorded = true
	eligible := 0
	for _, w := range d.workerList {
		if d.mayRunMember(now, s, w) {
			eligible++
		}
	}
	reserved, readyIn := 0, time.Duration(0)
	if r != nil {
		reserved, readyIn = len(r.members), r.readyAt-now
	}
	d.events.Record(event.GangWaiting, s.id, len(s.tasks), eligible, reserved, readyIn)
}

// reservable reports whether all workers of the reservation can still run the gang and none is
// reserved for a more urgent one.
func (d *Dispatcher) reservable(now time.Duration, r *reservation) bool {
	for w := range r.members {
		if w.reservedFor != nil || !d.mayRunMember(now, r.step, w) {
			return false
		}
	}
	return true
}

// mayRunMember reports whether the worker could run a member of the gang if nothing else ran there.
func (d *Dispatcher) mayRunMember(now time.Duration, s *step, w *worker) bool {
	return w.placeable(now) && !w.probing && d.satisfiesConstraints(s, w) && reservedCapacity(s.def).FitsIn(w.entry.Capacity) &&
		(s.job.queue.Advice == nil || s.advice.allowed[w.entry.ID])
}

// chooseReservation returns the workers on which all members of the gang will fit the earliest,
// or nil if there are too few. A gang that runs slower across racks gets workers of one rack if
// waiting for them takes no longer than its estimated run time.
func (d *Dispatcher) chooseReservation(now time.Duration, s *step) *reservation {
	best := d.chooseInRack(now, s, "")
	if !s.def.SameRack || best == nil {
		return best
	}
	var inRack *reservation
	for _, rack := range d.racks() {
		if r := d.chooseInRack(now, s, rack); r != nil && (inRack == nil || r.readyAt < inRack.readyAt) {
			inRack = r
		}
	}
	if inRack != nil && inRack.readyAt <= best.readyAt+s.def.Estimate {
		return inRack
	}
	return best
}

// memberSlot is the capacity for one member on a worker and when it is estimated to be free.
type memberSlot struct {
	worker *worker
	at     time.Duration
	used   float64 // dominant share of the worker that is used now
}

// chooseInRack chooses among the workers of a rack, or all workers if rack is empty.
func (d *Dispatcher) chooseInRack(now time.Duration, s *step, rack string) *reservation {
	var slots []memberSlot
	for _, w := range d.workerList {
		if rack != "" && w.rack() != rack || w.reservedFor != nil || !d.mayRunMember(now, s, w) {
			continue
		}
		used := dominantShare(w.entry.Capacity, w.used)
		for _, at := range d.memberTimes(now, s, w) {
			slots = append(slots, memberSlot{w, at, used})
		}
	}
	if len(slots) < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b memberSlot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.used, a.used))
	})
	r := &reservation{step: s, members: map[*worker]int{}}
	for _, slot := range slots[:len(s.tasks)] {
		r.members[slot.worker]++
		r.readyAt = max(r.readyAt, slot.at)
	}
	return r
}

// readyAt returns the current estimate of when all members of a reservation fit.
func (d *Dispatcher) readyAt(now time.Duration, r *reservation) time.Duration {
	ready := now
	for w, n := range r.members {
		times := d.memberTimes(now, r.step, w)
		if len(times) < n {
			return neverFree
		}
		ready = max(ready, times[n-1])
	}
	return ready
}

// memberTimes returns, in ascending order, the estimated times at which one more member of the
// gang fits on the worker. Runs that the gang may preempt end within the stop timeout.
func (d *Dispatcher) memberTimes(now time.Duration, s *step, w *worker) []time.Duration {
	size := reservedCapacity(s.def)
	limit := len(s.tasks)
	if s.def.MaxPerWorker > 0 {
		limit = min(limit, s.def.MaxPerWorker)
	}
	var times []time.Duration
	free := w.free()
	fit := func(at time.Duration) {
		for len(times) < limit && size.FitsIn(free) {
			times = append(times, at)
			free = free.Sub(size)
		}
	}
	fit(now)
	if len(times) == limit {
		return times
	}
	ends := make([]runEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, runEnd{r, d.estimatedEnd(now, s, r)})
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Or(cmp.Compare(a.at, b.at), compareRuns(a.run.id, b.run.id)) })
	for _, e := range ends {
		if e.at == neverFree {
			break
		}
		free = free.Add(e.run.demand)
		fit(e.at)
	}
	return times
}

type runEnd struct {
	run *run
	at  time.Duration
}

// estimatedEnd estimates when a run frees its capacity for the gang s.
func (d *Dispatcher) estimatedEnd(now time.Duration, s *step, r *run) time.Duration {
	def := r.task.step.def
	switch {
	case r.phase == runStopping || d.preemptibleFor(now, s, r):
		return now + d.opts.StopTimeout
	case def.LongRunning:
		return neverFree
	}
	end := r.startSentAt + def.Estimate
	if r.percent > 0 {
		if total, ok := projectedDuration(r); ok {
			end = r.confirmedAt + total
		}
	}
	return max(end, now)
}

// blockedByReservation reports whether a task of the step on the worker could delay the more
// urgent gang for which the worker is reserved. extra is capacity claimed there in addition.
// Long-running tasks are never blocked: they must be restarted within seconds.
func (d *Dispatcher) blockedByReservation(now time.Duration, s *step, w *worker, extra model.Resources) bool {
	r := w.reservedFor
	if r == nil || r.step == s || s.def.LongRunning || d.compareSteps(now, s, r.step) < 0 {
		return false
	}
	if reservedCapacity(s.def).FitsIn(w.free().Sub(extra).Sub(r.demand(w))) {
		return false
	}
	if s.def.Gang {
		return true
	}
	endsBefore := now+s.def.Estimate <= r.readyAt
	preemptible := yieldsTo(r.step, s) && now+minBackfillTime <= r.readyAt
	return !endsBefore && !preemptible
}

// preemptForGang stops runs of less urgent queues on the workers reserved for the gang if all
// members fit then and their tickets remain valid. It returns the number of stopped runs, at
// most budget.
func (d *Dispatcher) preemptForGang(now time.Duration, s *step, budget int) int {
	r := s.reservation
	if r == nil || s.waiting < len(s.tasks) {
		return 0
	}
	var victims []*run
	for _, w := range r.workers() {
		if s.job.queue.Advice != nil && !s.advice.hasTicket(now+d.opts.StopTimeout, w.entry.ID) {
			return 0
		}
		free := w.free().Add(w.stoppingDemand)
		for _, v := range d.preemptibleRuns(now, s, w) {
			if r.demand(w).FitsIn(free) {
				break
			}
			free = free.Add(v.demand)
			victims = append(victims, v)
		}
		if !r.demand(w).FitsIn(free) {
			return 0
		}
	}
	if len(victims) > budget {
		return 0
	}
	for _, v := range victims {
		d.preemptRun(now, v, s)
	}
	return len(victims)
}
