package schedule

import "filbertcross/internal/model"

// gangFault is why a gang whose tasks cannot be run again is given up.
const gangFault = "a task of the gang is missing and the others cannot be run again"

// review lists a run whose state may call for a decision; wanted decides which.
func (s *Scheduler) review(r *run) { s.orders = append(s.orders, r) }

// emitOrders gives the decisions that listed runs call for, up to a total of limit for
// this Decide; the rest stays listed.
func (s *Scheduler) emitOrders(limit int) {
	for len(s.orders) > 0 && len(s.out) < limit {
		r := s.orders[0]
		s.orders[0] = nil
		s.orders = s.orders[1:]
		s.emit(r)
	}
	if len(s.orders) == 0 {
		s.orders = nil
	}
}

// emit gives the decision that a run calls for, if any.
func (s *Scheduler) emit(r *run) {
	if s.cluster.runs[r.id] != r || !r.confirmed || r.job == nil {
		return
	}
	switch j := r.job; {
	case r.stop == stopCanceled:
	case j.canceled:
		s.stopRun(r, stopCanceled, ActionStop, "the job was cancelled")
	case r.stop != stopNone:
	case j.Kind == model.KindGang && j.fault != "":
		s.stopRun(r, stopCanceled, ActionStop, j.fault)
	case j.Kind == model.KindGang && j.waiting > 0 && j.Restartable:
		s.evict(r, j.Branch, "a task of the gang is missing")
	case j.Kind == model.KindGang && j.waiting > 0:
		s.stopRun(r, stopCanceled, ActionStop, gangFault)
	case r.misplaced:
		s.move(r, "uses more memory than its worker can give")
	case r.worker.Leaving && r.worker.drain && j.Restartable:
		s.move(r, "the worker is leaving")
	case r.throttle && !r.throttled:
		s.limitRun(r)
	}
}

// stopRun asks the host to stop a run.
func (s *Scheduler) stopRun(r *run, cause stopCause, action Action, reason string) {
	if r.stop == stopPreempted {
		b := r.job.branch
		b.stopping = b.stopping.Sub(r.size)
	}
	r.stop = cause
	s.give(r, r.decision(action, 0, reason))
}

// move asks the host to checkpoint and stop a run so that its task goes on elsewhere; of
// a gang all runs move.
func (s *Scheduler) move(r *run, reason string) {
	runs := []*run{r}
	if r.job.Kind == model.KindGang {
		runs = r.job.runs
	}
	for _, other := range runs {
		if other.confirmed && other.stop == stopNone {
			s.stats.Moved++
			s.stopRun(other, stopMoved, ActionMove, reason)
		}
	}
}

// limitRun asks the host to limit a run to its grant.
func (s *Scheduler) limitRun(r *run) {
	r.throttled = true
	s.stats.Throttled++
	d := r.decision(ActionThrottle, 0, "uses more than its grant on a full worker")
	d.Limit = r.size
	s.give(r, d)
}
