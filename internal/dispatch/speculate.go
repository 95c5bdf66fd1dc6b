package dispatch

import (
	"time"

	"filbertcross/internal/event"
)

// A copy is started when a run may be lost, or when a new one would end well before it.
const (
	copyRemainingFactor          = 1.5                    // times what a new run takes, that have to be left of the old one
	copyRemainingFactorEstimated = 3.0                    // the same where only the declared run time is known, which is rough
	copyMargin                   = 300 * time.Millisecond // more than that, for a ticket and a late report
	minPercent                   = 0.5                    // taken for the progress of a run that reports none yet
)

// speculate starts a second run of tasks that allow copies. While steps wait for room, only
// runs that may be lost are copied.
func (d *Dispatcher) startCopies(now time.Duration) {
	for _, r := range d.runList {
		t := r.task
		s := t.step
		if !s.def.Speculative || s.def.Gang || r.removed || r.copied || t.state != taskActive || len(t.runs) != 1 ||
			t.runs[0] != r || s.job.closed() || !mayBeLost(r) && (d.stepsUnplaced || !copyWouldBeFaster(now, r)) {
			continue
		}
		w := d.bestWorker(now, s, t, d.workerList)
		if w == nil {
			d.requestAdvice(now, s)
			continue
		}
		if w == r.worker {
			continue
		}
		r.copied = true
		s.job.nextRun++
		d.events.Record(event.RunCopied, r.worker.entry.ID, r.id.Task, r.id.Run, now-r.startSentAt, r.percent)
		d.startRun(now, t, w, d.opts.Fence*runsPerFence+s.job.nextRun)
	}
}

// doubtful reports whether the run may be lost.
func mayBeLost(r *run) bool {
	return r.phase == runUncertain || r.phase == runStopping || r.worker.failedRenewals > 1
}

// outrun reports whether a new run would end well before this one, by its progress and by the
// other tasks of its step, which take about as long.
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

// projected is how long a run takes as a whole at its rate so far.
func projectedDuration(r *run) (time.Duration, bool) {
	spent := r.worker.lastReportAt - r.confirmedAt
	if r.percent > 0 {
		spent = r.progressAt - r.confirmedAt
	}
	if r.confirmedAt == 0 || spent < copyMargin {
		return 0, false
	}
	return time.Duration(float64(spent) * fullPace / max(float64(r.percent), minPercent)), true
}

// siblings is how long other tasks of the step took, or take on other workers.
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
