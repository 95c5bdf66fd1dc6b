package dispatch

import (
	"time"

	"filbertcross/internal/event"
)

// A speculative copy of a run is started if the run may be lost, or if a new run would end well
// before it.
const (
	copyRemainingFactor          = 1.5                    // the old run's remaining time must exceed this multiple of a new run's duration
	copyRemainingFactorEstimated = 3.0                    // the same if only the declared estimate is known, which is inaccurate
	copyMargin                   = 300 * time.Millisecond // in addition, for the advice call and a late report
	minPercent                   = 0.5                    // assumed progress of a run that has not reported any
)

// startCopies starts a second run of tasks in speculative steps. While steps wait for capacity,
// only runs that may be lost are copied.
func (d *Dispatcher) startCopies(now time.Duration) {
	if !d.listIsCurrent(now) {
		return
	}
	for _, r := range d.runList {
		t := r.task
		s := t.step
		if !s.def.Speculative || s.def.Gang || r.removed || r.copied || t.state != taskActive || len(t.runs) != 1 ||
			t.runs[0] != r || s.job.closed() || !mayBeLost(r) && (d.stepsUnplaced || !copyWouldBeFaster(now, r)) {
			continue
		}
		if !d.quotaAllows(now, s, 1) {
			continue
		}
		w := d.workerForCopy(now, t)
		if w == nil {
			d.requestAdvice(now, s)
			continue
		}
		if w == r.worker {
			continue
		}
		r.copied = true
		s.job.nextRun++
		d.events.Record(event.SpeculativeRunStarted, r.worker.entry.ID, r.id.Task, r.id.Run, now-r.startSentAt, r.percent)
		d.startRun(now, t, w, d.opts.Fence*runsPerFence+s.job.nextRun)
	}
}

// workerForCopy returns the worker for a copy of a task's run, or nil. A run that may have crashed its worker is
// copied in isolation; a task that has, or that was copied so, gets no copy before the cause is known.
func (d *Dispatcher) workerForCopy(now time.Duration, t *task) *worker {
	if !t.needsIsolation() {
		return d.bestWorker(now, t.step, t, d.startCandidates(t.step))
	}
	if t.history.crashes+t.history.possible > 0 || len(t.history.exposed) > 1 {
		return nil
	}
	return d.isolatedWorker(now, t.step, t)
}

// mayBeLost reports whether the run may be lost or is being stopped.
func mayBeLost(r *run) bool {
	return r.phase == runUncertain || r.phase == runStopping || r.worker.failedRenewals > 1
}

// copyWouldBeFaster reports whether a new run would end well before this one. It compares the
// run's progress with the other tasks of the step, which have similar run times.
func copyWouldBeFaster(now time.Duration, r *run) bool {
	total, ok := projectedDuration(r)
	if !ok {
		return false
	}
	left := total - (now - r.confirmedAt)
	if typical, ok := siblingDuration(r); ok {
		return left > time.Duration(copyRemainingFactor*float64(typical))+copyMargin
	}
	return left > time.Duration(copyRemainingFactorEstimated*float64(r.task.step.def.Estimate))+copyMargin
}

// projectedDuration returns the total duration of a run at its rate of progress so far.
func projectedDuration(r *run) (time.Duration, bool) {
	elapsed := r.worker.lastReportAt - r.confirmedAt
	if r.percent > 0 {
		elapsed = r.progressAt - r.confirmedAt
	}
	if r.confirmedAt == 0 || elapsed < copyMargin {
		return 0, false
	}
	return time.Duration(float64(elapsed) * fullPace / max(float64(r.percent), minPercent)), true
}

// siblingDuration returns the average duration of the step's completed tasks or, if there are
// none, the shortest projected duration of its runs on other workers.
func siblingDuration(r *run) (time.Duration, bool) {
	s := r.task.step
	if s.timedTasks > 0 {
		return s.doneRunTime / time.Duration(s.timedTasks), true
	}
	least, ok := time.Duration(0), false
	for _, t := range s.tasks {
		for _, other := range t.runs {
			if other.worker == r.worker {
				continue
			}
			if total, known := projectedDuration(other); known && (!ok || total < least) {
				least, ok = total, true
			}
		}
	}
	return least, ok
}
