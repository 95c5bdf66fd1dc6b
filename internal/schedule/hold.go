package schedule

import (
	"slices"

	"filbertcross/internal/model"
)

// addHold adds a hold to its worker and class.
func (s *Scheduler) addHold(h *hold) {
	c := h.class
	if len(c.holds) == 0 {
		s.classesWithHolds = append(s.classesWithHolds, c)
	}
	c.holds = append(c.holds, h)
	c.heldTasks += h.tasks
	h.worker.holds = append(h.worker.holds, h)
	if !h.isReservation {
		c.branch.held = c.branch.held.Add(h.size)
		c.branch.claimedByTier[c.key.tier] = c.branch.claimedByTier[c.key.tier].Add(h.size)
	}
}

// shrinkHold removes one task from a hold. A hold without tasks is removed.
func (s *Scheduler) shrinkHold(h *hold) {
	c := h.class
	size := h.size
	if h.tasks > 1 {
		size = divide(h.size, h.tasks)
	}
	h.size = h.size.Sub(size)
	h.tasks--
	c.heldTasks--
	if !h.isReservation {
		c.branch.held = c.branch.held.Sub(size)
		c.branch.claimedByTier[c.key.tier] = c.branch.claimedByTier[c.key.tier].Sub(size)
	}
	if h.tasks > 0 {
		return
	}
	c.holds = removeElement(c.holds, h)
	h.worker.holds = removeElement(h.worker.holds, h)
	if len(c.holds) == 0 {
		s.classesWithHolds = removeElement(s.classesWithHolds, c)
	}
}

// endHold removes a hold from its worker and class.
func (s *Scheduler) endHold(h *hold) {
	for h.tasks > 0 {
		s.shrinkHold(h)
	}
	s.cluster.markFreed(h.worker)
}

// hasHoldFor reports whether capacity on the worker is held for the class.
func (w *worker) hasHoldFor(c *class) bool {
	return slices.ContainsFunc(w.holds, func(h *hold) bool { return h.class == c })
}

// endClassHolds ends all holds of a class.
func (s *Scheduler) endClassHolds(c *class) {
	for len(c.holds) > 0 {
		s.endHold(c.holds[0])
	}
}

// endWorkerHolds ends all holds on a worker.
func (s *Scheduler) endWorkerHolds(w *worker) {
	for len(w.holds) > 0 {
		s.endHold(w.holds[0])
	}
}

// consumeHold removes a placed task from the hold that it used. If it used none, it removes
// one task from another hold that the class no longer needs, if any.
func (s *Scheduler) consumeHold(c *class, r *run) {
	for _, h := range r.worker.holds {
		if h.class == c {
			s.shrinkHold(h)
			return
		}
	}
	if c.heldTasks > c.waiting {
		h := c.holds[0]
		s.shrinkHold(h)
		s.cluster.markFreed(h.worker)
	}
}

// chargeHolds subtracts the run from the spare capacity of other classes' holds on its
// worker, unless the run is expected to end before they start.
func (s *Scheduler) chargeHolds(q *query, r *run) {
	for _, h := range r.worker.holds {
		if h.class != q.class && !q.expectedEnd.Before(h.expectedStart) {
			h.spare = h.spare.Sub(r.size)
		}
	}
}

// expireHolds ends holds that have expired or whose worker accepts no new task. Expired
// reservations are postponed instead.
func (s *Scheduler) expireHolds() {
	for pos := len(s.classesWithHolds) - 1; pos >= 0; pos-- {
		c := s.classesWithHolds[pos]
		before := c.heldTasks
		overdue := false
		for _, h := range slices.Clone(c.holds) {
			over := s.cluster.now.After(h.expires)
			if !h.worker.schedulable() || over && !h.isReservation {
				s.endHold(h)
			}
			overdue = overdue || over && h.isReservation
		}
		if overdue {
			s.postponeReservation(c)
		}
		if c.heldTasks < before && c.state == classBlocked {
			s.reactivate(c)
		}
	}
}

// divide returns r divided by n.
func divide(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU / int64(n),
		MemoryMiB:    r.MemoryMiB / int64(n),
		Accelerators: r.Accelerators / int64(n),
	}
}

// removeElement returns the list without one element. It does not keep the order.
func removeElement[T comparable](list []T, element T) []T {
	for pos, item := range list {
		if item == element {
			last := len(list) - 1
			list[pos] = list[last]
			var zero T
			list[last] = zero
			return list[:last]
		}
	}
	return list
}
