package schedule

import (
	"slices"

	"filbertcross/internal/model"
)

// addHold puts a hold on its worker and class.
func (s *Scheduler) addHold(h *hold) {
	c := h.class
	if len(c.holds) == 0 {
		s.holders = append(s.holders, c)
	}
	c.holds = append(c.holds, h)
	c.heldFor += h.tasks
	h.worker.holds = append(h.worker.holds, h)
	if !h.reserved {
		c.branch.held = c.branch.held.Add(h.size)
		c.branch.claimed[c.key.tier] = c.branch.claimed[c.key.tier].Add(h.size)
	}
}

// shrink takes one task off a hold; the last one ends it.
func (s *Scheduler) shrink(h *hold) {
	c := h.class
	size := h.size
	if h.tasks > 1 {
		size = divide(h.size, h.tasks)
	}
	h.size = h.size.Sub(size)
	h.tasks--
	c.heldFor--
	if !h.reserved {
		c.branch.held = c.branch.held.Sub(size)
		c.branch.claimed[c.key.tier] = c.branch.claimed[c.key.tier].Sub(size)
	}
	if h.tasks > 0 {
		return
	}
	c.holds = without(c.holds, h)
	h.worker.holds = without(h.worker.holds, h)
	if len(c.holds) == 0 {
		s.holders = without(s.holders, c)
	}
}

// end takes a hold off its worker and class.
func (s *Scheduler) end(h *hold) {
	for h.tasks > 0 {
		s.shrink(h)
	}
	s.cluster.noteFreed(h.worker)
}

// holdsFor reports whether room on the worker is held for the class.
func (w *worker) holdsFor(c *class) bool {
	return slices.ContainsFunc(w.holds, func(h *hold) bool { return h.class == c })
}

// dropHolds ends all holds of a class.
func (s *Scheduler) dropHolds(c *class) {
	for len(c.holds) > 0 {
		s.end(c.holds[0])
	}
}

// dropWorkerHolds ends all holds on a worker.
func (s *Scheduler) dropWorkerHolds(w *worker) {
	for len(w.holds) > 0 {
		s.end(w.holds[0])
	}
}

// useHold takes the hold that a placed task used, or else one that its class does not
// need any more.
func (s *Scheduler) useHold(c *class, r *run) {
	for _, h := range r.worker.holds {
		if h.class == c {
			s.shrink(h)
			return
		}
	}
	if c.heldFor > c.waiting {
		h := c.holds[0]
		s.shrink(h)
		s.cluster.noteFreed(h.worker)
	}
}

// chargeHolds takes the run off the room beside others' holds on its worker.
func (s *Scheduler) chargeHolds(q *query, r *run) {
	for _, h := range r.worker.holds {
		if h.class != q.class && !q.ends.Before(h.from) {
			h.spare = h.spare.Sub(r.size)
		}
	}
}

// expireHolds ends holds whose time is over or whose worker takes no tasks; reservations
// are put off.
func (s *Scheduler) expireHolds() {
	for pos := len(s.holders) - 1; pos >= 0; pos-- {
		c := s.holders[pos]
		before := c.heldFor
		overdue := false
		for _, h := range slices.Clone(c.holds) {
			over := s.cluster.now.After(h.expires)
			if !h.worker.open() || over && !h.reserved {
				s.end(h)
			}
			overdue = overdue || over && h.reserved
		}
		if overdue {
			s.extend(c)
		}
		if c.heldFor < before && c.state == classBlocked {
			s.revive(c)
		}
	}
}

// divide returns an n-th of r.
func divide(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU / int64(n),
		MemoryMiB:    r.MemoryMiB / int64(n),
		Accelerators: r.Accelerators / int64(n),
	}
}

// without returns the list less one element, in another order.
func without[T comparable](list []T, gone T) []T {
	for pos, item := range list {
		if item == gone {
			last := len(list) - 1
			list[pos] = list[last]
			var zero T
			list[last] = zero
			return list[:last]
		}
	}
	return list
}
