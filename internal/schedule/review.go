package schedule

import "filbertcross/internal/model"

// gangNotRestartable is the reason for abandoning a gang that lost a task and cannot be
// restarted.
const gangNotRestartable = "a task of the gang is missing and the others cannot be run again"

// queueReview queues a run whose state may require a decision; decideReview emits it.
func (s *Scheduler) queueReview(r *run) { s.reviews = append(s.reviews, r) }

// processReviews reviews queued runs until the Decide call has limit decisions. The other
// runs stay queued.
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

// decideReview emits the decision that the run's state requires, if any.
func (s *Scheduler) decideReview(r *run) {
	if s.cluster.runs[r.id] != r || !r.confirmed || r.job == nil {
		return
	}
	switch j := r.job; {
	case r.stop == stopCanceled:
	case j.canceled:
		s.stopRun(r, stopCanceled, ActionStop, "the job was canceled")
	case r.stop != stopNone:
	case j.Kind == model.KindGang && j.abandonReason != "":
		s.stopRun(r, stopCanceled, ActionStop, j.abandonReason)
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

// stopRun emits a decision that stops the run.
func (s *Scheduler) stopRun(r *run, cause stopCause, action Action, reason string) {
	if r.stop == stopPreempted {
		b := r.job.branch
		b.stopping = b.stopping.Sub(r.size)
	}
	r.stop = cause
	s.emit(r, r.newDecision(action, 0, reason))
}

// moveRun emits decisions that checkpoint and stop the run, so that its task continues on
// another worker. All runs of a gang are moved together.
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

// throttleRun emits a decision that limits the run to its grant.
func (s *Scheduler) throttleRun(r *run) {
	r.throttleSent = true
	s.stats.Throttled++
	d := r.newDecision(ActionThrottle, 0, "uses more than its grant on a full worker")
	d.Limit = r.size
	s.emit(r, d)
}
