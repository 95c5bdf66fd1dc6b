package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

// Reservations of waiting gangs and wide tasks.
const (
	wideShare           = 0.4                    // of a worker with accelerators; tasks that need more are wide
	reservationInterval = 200 * time.Millisecond // between two choices of workers for a waiting step
	// maxPassSearch is the number of workers that one pass examines before it leaves further searches for
	// gangs to the next passes. The cost of a pass then does not depend on how many wait.
	maxPassSearch   = 50_000
	reservationGain = 500 * time.Millisecond // a new choice replaces the current one only if it is ready this much earlier
	minBackfillTime = time.Second            // below this a run that is to be preempted soon is not started
	maxReadyTime    = 2 * time.Second        // a step that fits for longer does not start for another reason, such as failing advice calls, and holds no workers
	neverFree       = time.Duration(math.MaxInt64)
)

// reservation holds workers for a step that waits for capacity: a gang, which starts when all its
// members fit, or wide tasks, each of which starts when it fits. Without it, tasks that need less
// would take each piece of capacity that is freed. Steps behind this one in placement order may
// use the workers only if that does not delay it. The reservations are set anew in every
// placement pass, in placement order, so a worker is reserved for the most urgent step that chose
// it.
type reservation struct {
	step    *step
	members map[*worker]int           // tasks to start on each worker
	freeAt  map[*worker]time.Duration // estimate of when they fit there
	readyAt time.Duration             // estimate of when the step can start a task: for a gang the latest of freeAt, otherwise the earliest
	fitsAt  time.Duration             // since when it could start a task, but for its tickets; 0: not now
	expired bool                      // fitsAt is longer ago than maxReadyTime
}

// startAt returns when the step is estimated to use the worker.
func (r *reservation) startAt(w *worker) time.Duration {
	if r.step.def.Gang {
		return r.readyAt
	}
	return r.freeAt[w]
}

// reservesCapacity reports whether workers are reserved for the step while it waits.
func (s *step) reservesCapacity() bool { return s.def.Gang || s.def.Demand.Accelerators > 0 }

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

// reserve reserves workers for a step with tasks that could not be placed.
func (d *Dispatcher) reserve(now time.Duration, s *step) {
	if s.def.Gang && s.waiting < len(s.tasks) {
		s.reservation = nil
		return
	}
	valid := s.reservation != nil && d.reservable(now, s.reservation)
	if (now >= s.reserveDue || s.reservation != nil && !valid) && d.mayStartSearch() {
		s.reserveDue = now + reservationInterval
		next := d.chooseReservation(now, s)
		if next == nil {
			s.reserveDue = now + placementRetryInterval
		}
		if valid {
			d.updateEstimates(now, s.reservation)
		}
		if !valid || next != nil && next.readyAt+reservationGain < s.reservation.readyAt {
			d.recordReservation(now, s, next)
			s.reservation = next
		}
	}
	if s.reservation == nil || !d.reservable(now, s.reservation) {
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

// mayStartSearch reports whether the placement pass may search for workers for another gang or wide
// task.
func (d *Dispatcher) mayStartSearch() bool {
	return d.load.Examined-d.examinedBeforePass < maxPassSearch
}

// fits reports whether a gang fits on its workers, or a wide task on one of them. It does not use
// the estimates: runs may take longer.
func (r *reservation) fits() bool {
	if r.step.def.Gang {
		for w := range r.members {
			if !r.demand(w).FitsIn(w.free()) {
				return false
			}
		}
		return true
	}
	for w := range r.members {
		if reservedCapacity(r.step.def).FitsIn(w.free()) {
			return true
		}
	}
	return false
}

func (r *reservation) updateFitsAt(now time.Duration) {
	switch {
	case !r.fits():
		r.fitsAt = 0
	case r.fitsAt == 0:
		r.fitsAt = now
	}
	r.expired = r.fitsAt != 0 && now-r.fitsAt > maxReadyTime
}

// recordReservation records a change of the workers reserved for a step.
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
	d.events.Record(event.CapacityWaiting, s.id, s.waiting, eligible, reserved, readyIn)
}

// reservable reports whether all workers of the reservation can still run the step's tasks and
// none is reserved for a more urgent step.
func (d *Dispatcher) reservable(now time.Duration, r *reservation) bool {
	for w := range r.members {
		if w.reservedFor != nil || !d.mayRunMember(now, r.step, w) {
			return false
		}
	}
	return true
}

// mayRunMember reports whether the worker could run a task of the step if nothing else ran there.
func (d *Dispatcher) mayRunMember(now time.Duration, s *step, w *worker) bool {
	return w.placeable(now) && !w.probing && d.satisfiesConstraints(s, w) && reservedCapacity(s.def).FitsIn(w.entry.Capacity) &&
		(s.job.queue.Advice == nil || s.advice.allowed[w.entry.ID])
}

// chooseReservation returns the workers on which the step's tasks will fit the earliest, or nil if
// there are too few for a gang or none for wide tasks. A gang that runs slower across racks gets
// workers of one rack if waiting for them takes no longer than its estimated run time.
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

// memberSlot is the capacity for one task on a worker and when it is estimated to be free.
type memberSlot struct {
	worker *worker
	at     time.Duration
	used   float64 // dominant share of the worker that is used now
}

// chooseInRack chooses among the workers of a rack, or all workers if rack is empty.
func (d *Dispatcher) chooseInRack(now time.Duration, s *step, rack string) *reservation {
	var slots []memberSlot
	d.load.Examined += int64(len(d.workerList))
	for _, w := range d.workerList {
		if rack != "" && w.rack() != rack || w.reservedFor != nil || !d.mayRunMember(now, s, w) {
			continue
		}
		if !s.def.Gang && fairshare.DominantShare(reservedCapacity(s.def), w.entry.Capacity) < wideShare {
			continue
		}
		used := fairshare.DominantShare(w.used, w.entry.Capacity)
		for _, at := range d.memberTimes(now, s, w) {
			slots = append(slots, memberSlot{w, at, used})
		}
	}
	if len(slots) == 0 || s.def.Gang && len(slots) < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b memberSlot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.used, a.used))
	})
	r := &reservation{step: s, members: map[*worker]int{}, freeAt: map[*worker]time.Duration{}}
	for _, slot := range slots[:min(len(slots), s.waiting)] {
		r.members[slot.worker]++
		r.freeAt[slot.worker] = slot.at
	}
	r.updateReadyAt()
	return r
}

// updateEstimates updates when the tasks of a reservation fit on its workers.
func (d *Dispatcher) updateEstimates(now time.Duration, r *reservation) {
	for w, n := range r.members {
		r.freeAt[w] = neverFree
		if times := d.memberTimes(now, r.step, w); len(times) >= n {
			r.freeAt[w] = times[n-1]
		}
	}
	r.updateReadyAt()
}

func (r *reservation) updateReadyAt() {
	times := slices.Collect(maps.Values(r.freeAt))
	if r.step.def.Gang {
		r.readyAt = slices.Max(times)
	} else {
		r.readyAt = slices.Min(times)
	}
}

// memberTimes returns, in ascending order, the estimated times at which one more task of the step
// fits on the worker. Runs that the step may preempt end within the stop timeout.
func (d *Dispatcher) memberTimes(now time.Duration, s *step, w *worker) []time.Duration {
	size := reservedCapacity(s.def)
	limit := s.waiting
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

// estimatedEnd estimates when a run frees its capacity for the step s.
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
// urgent step for which the worker is reserved. extra is capacity claimed there in addition.
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
	endsBefore := now+s.def.Estimate <= r.startAt(w)
	preemptible := yieldsTo(r.step, s) && now+minBackfillTime <= r.startAt(w)
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
