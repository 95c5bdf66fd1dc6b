package schedule

import "filbertcross/internal/model"

// gangNotRestartable is why a gang whose tasks cannot be run again is given up.
const gangNotRestartable = "a task of the gang is missing and the others cannot be run again"

// queueReview lists a run whose state may call for a decision; wanted decides which.
func (s *Scheduler) queueReview(r *run) { s.reviews = append(s.reviews, r) }

// processReviews gives the decisions that listed runs call for, up to a total of limit for
// this Decide; the rest stays listed.
func (s *Scheduler) processReviews(limit int) {
	for len(s.reviews) > 0 && len(s.decisions) < limit {
		r := s.reviews[0]
		s.reviews[0] = nil
		s.reviews = s.reviews[1:]
		s.decideReview(r)
	}
	if len(s.reviews) == 0 {
		s.reviews = nil
	}
}

// decideReview gives the decision that a run calls for, if any.
func (s *Scheduler) decideReview(r *run) {
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
		s.preemptRun(r, j.Branch, "a task of the gang is missing")
	case j.Kind == model.KindGang && j.waiting > 0:
		s.stopRun(r, stopCanceled, ActionStop, gangNotRestartable)
	case r.moveWanted:
		s.moveRun(r, "uses more memory than its worker can give")
	case r.worker.Leaving && r.worker.moveRuns && j.Restartable:
		s.moveRun(r, "the worker is leaving")
	case r.throttleWanted && !r.throttleSent:
		s.throttleRun(r)
	}
}

// stopRun asks the host to stop a run.
func (s *Scheduler) stopRun(r *run, cause stopCause, action Action, reason string) {
	if r.stop == stopPreempted {
		b := r.job.branch
		b.stopping = b.stopping.Sub(r.size)
	}
	r.stop = cause
	s.emit(r, r.newDecision(action, 0, reason))
}

// moveRun asks the host to checkpoint and stop a run so that its task goes on elsewhere; of
// a gang all runs move.
func (s *Scheduler) moveRun(r *run, reason string) {
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

// throttleRun asks the host to limit a run to its grant.
func (s *Scheduler) throttleRun(r *run) {
	r.throttleSent = true
	s.stats.Throttled++
	d := r.newDecision(ActionThrottle, 0, "uses more than its grant on a full worker")
	d.Limit = r.size
	s.emit(r, d)
}
