package schedule

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

const (
	reservationSample = 64               // workers checked for a reservation, plus four for each task
	reservationGrace  = time.Minute      // a reservation expires this long after its expected start
	maxReservationAge = 30 * time.Minute // a reservation ends when it is older than this
	overdueDivisor    = 10               // an overdue run is expected to need its runtime divided by this
)

// slot is capacity for one task on a worker, available from the given time.
type slot struct {
	at     time.Time
	worker *worker
}

// reserveCapacity reserves capacity for the first job of a class that cannot start: for a gang
// immediately, for other work once it is starved or about to miss its deadline. Other tasks
// may use the reserved workers only if they are expected to end before the reservation
// starts, fit beside it or outrank it.
func (s *Scheduler) reserveCapacity(q *query, need int) {
	c := q.class
	missing := need - c.heldTasks
	if missing <= 0 || !s.needsReservation(q) || !s.admitReservation(c) {
		return
	}
	chosen := s.earliestSlots(q, missing)
	if len(chosen) < missing {
		return
	}
	if len(c.holds) == 0 {
		c.reservedSince = s.cluster.now
	}
	at := chosen[len(chosen)-1].at
	counts := map[*worker]int{}
	for _, sl := range chosen {
		counts[sl.worker]++
	}
	for _, sl := range chosen {
		if n := counts[sl.worker]; n > 0 {
			s.addHold(s.reservation(q, sl.worker, n, at))
			counts[sl.worker] = 0
		}
	}
	s.stats.Reservations++
}

// reservation returns the hold for n tasks on a worker.
func (s *Scheduler) reservation(q *query, w *worker, n int, at time.Time) *hold {
	size := fairshare.Multiply(q.size, n)
	return &hold{
		class: q.class, worker: w, size: size, tasks: n, spare: s.freeAt(w, at).Sub(size), expectedStart: at,
		expires: at.Add(reservationGrace), isReservation: true,
	}
}

// freeAt returns the capacity that is expected to be free on the worker at the given time.
func (s *Scheduler) freeAt(w *worker, at time.Time) model.Resources {
	free := w.free()
	for _, r := range w.runs {
		if !s.expectedEnd(r).After(at) {
			free = free.Add(r.size)
		}
	}
	return free
}

// postponeReservation postpones the start of a class's expired reservation, because runs last
// longer than expected. It keeps the workers that have enough free capacity now or within
// reservationGrace; replacements for the others are reserved later. A reservation older than
// maxReservationAge ends, so that it does not keep capacity idle without result.
func (s *Scheduler) postponeReservation(c *class) {
	if s.cluster.now.Sub(c.reservedSince) > maxReservationAge {
		s.endClassHolds(c)
		return
	}
	at := s.cluster.now
	for _, h := range slices.Clone(c.holds) {
		ready, ok := s.holdReadyAt(h)
		if !ok || ready.Sub(s.cluster.now) > reservationGrace {
			s.endHold(h)
			continue
		}
		at = latest(at, ready)
	}
	for _, h := range c.holds {
		h.expectedStart, h.expires = at, at.Add(reservationGrace)
		h.spare = s.freeAt(h.worker, at).Sub(h.size)
	}
}

// holdReadyAt returns when the hold's worker is expected to have enough free capacity, or
// false if never.
func (s *Scheduler) holdReadyAt(h *hold) (time.Time, bool) {
	free, at := h.worker.free(), s.cluster.now
	for _, r := range s.runsByExpectedEnd(h.worker) {
		if h.size.FitsIn(free) {
			break
		}
		if s.neverEnds(r) {
			return at, false
		}
		free = free.Add(r.size)
		at = s.expectedEnd(r)
	}
	return at, h.size.FitsIn(free)
}

// runsByExpectedEnd returns the worker's runs sorted by expected end.
func (s *Scheduler) runsByExpectedEnd(w *worker) []*run {
	ends := slices.Clone(w.runs)
	slices.SortFunc(ends, func(a, b *run) int {
		return cmp.Or(s.expectedEnd(a).Compare(s.expectedEnd(b)), cmp.Compare(a.id, b.id))
	})
	return ends
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (s *Scheduler) needsReservation(q *query) bool {
	c := q.class
	waited := s.cluster.now.Sub(q.job.Submitted)
	starved := waited >= s.opts.StarvedAfter
	if c.key.kind == model.KindGang {
		return starved || !s.atOrAboveShare(c.branch)
	}
	return starved || c.level == levelLate
}

// admitReservation reports whether the class may have a reservation. If
// Options.MaxReservations classes already have one, it ends that of the lowest-ranking class
// if the given class outranks it.
func (s *Scheduler) admitReservation(c *class) bool {
	count := 0
	var lowest *class
	for _, other := range s.classesWithHolds {
		if !other.holds[0].isReservation {
			continue
		}
		count++
		if lowest == nil || other.level > lowest.level {
			lowest = other
		}
	}
	if count < s.opts.MaxReservations {
		return true
	}
	if lowest == nil || lowest.level <= c.level {
		return false
	}
	s.endClassHolds(lowest)
	return true
}

// earliestSlots returns up to need of the earliest slots on a sample of the workers.
func (s *Scheduler) earliestSlots(q *query, need int) []slot {
	ring := s.cluster.ring
	var all []slot
	for range min(len(ring), reservationSample+4*need) {
		s.cluster.ringCursor = (s.cluster.ringCursor + 1) % len(ring)
		all = append(all, s.slotsOn(ring[s.cluster.ringCursor], q, need)...)
	}
	slices.SortStableFunc(all, func(a, b slot) int { return a.at.Compare(b.at) })
	return all[:min(need, len(all))]
}

// slotsOn returns the worker's earliest slots for up to need tasks.
func (s *Scheduler) slotsOn(w *worker, q *query, need int) []slot {
	if !w.schedulable() || !q.size.FitsIn(w.Capacity) || len(w.holds) > 0 || q.job.failedOnWorker(w) {
		return nil
	}
	ends := s.runsByExpectedEnd(w)
	free, at := w.free(), s.cluster.now
	var found []slot
	for pos := 0; len(found) < need; pos++ {
		for n := tasksThatFit(free, q.size); len(found) < min(n, need); {
			found = append(found, slot{at, w})
		}
		if pos == len(ends) || s.neverEnds(ends[pos]) {
			break
		}
		free = free.Add(ends[pos].size)
		at = s.expectedEnd(ends[pos])
	}
	return found
}

func (s *Scheduler) neverEnds(r *run) bool {
	return r.stop == stopNone && (r.job == nil || r.job.Kind == model.KindService)
}

// expectedEnd returns when the run is expected to free its capacity.
func (s *Scheduler) expectedEnd(r *run) time.Time {
	now := s.cluster.now
	if r.stop != stopNone {
		return now
	}
	if s.neverEnds(r) {
		return now.Add(serviceRuntime)
	}
	length := r.job.class.estimate.runtime(r.job.Runtime, s.opts)
	end := r.started.Add(length)
	if end.Before(now) {
		return now.Add(length / overdueDivisor)
	}
	return end
}
