package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Stall detection, draining and CPU pacing.
const (
	stallTime         = 1300 * time.Millisecond // two reports without progress
	stallFraction     = 0.05                    // of the estimate: the progress in reports has a resolution of one percent
	unslowedStalls    = 1                       // stalled runs of a task that are put down to their workers
	maxStallDoublings = 8
	overdueFactor     = 1.3 // of the estimated remaining time, after which a result may have been missed
	overdueMargin     = 100 * time.Millisecond
	stallBackoff      = 3 * time.Second        // back-off of a worker with a stalled run
	drainLead         = 700 * time.Millisecond // before a worker leaves, for a report after the stop
	fullPace          = 100                    // percent
	paceUnknown       = -1                     // the response to a pace command was lost, or an earlier owner sent the last one
)

// stopStalledRuns stops runs without progress, so that their tasks move to other workers, and
// queries the status of runs that should have ended.
func (d *Dispatcher) stopStalledRuns(now time.Duration) {
	for _, r := range d.runList {
		w, s := r.worker, r.task.step
		if r.removed || r.phase != runRunning || w.failedRenewals > 0 || s.def.Gang || s.def.Filler || r.pace != fullPace || r.percent >= fullPace {
			continue
		}
		lastProgress := max(r.progressAt, r.confirmedAt)
		limit := stallLimit(r.task)
		if w.lastReportAt-lastProgress < limit {
			left := time.Duration(overdueFactor * float64(s.def.Estimate) * float64(fullPace-r.percent) / fullPace)
			if !s.def.LongRunning && now > lastProgress+left+overdueMargin && w.lastReportAt < lastProgress+left {
				d.queryStatus(now, w)
			}
			continue
		}
		w.consecutiveStalls++
		r.task.stalls++
		w.backoffUntil = max(w.backoffUntil, now+stallBackoff)
		d.events.Record(event.RunStalled, w.entry.ID, r.id.Task, r.id.Run, r.percent, now-r.progressAt)
		d.requestStop(now, r, "no progress within the stall limit")
	}
}

// stallLimit returns how long a run of the task may show no progress. It doubles with each further run that was
// stopped for that, on whatever worker: the task may be much slower than its estimate.
func stallLimit(t *task) time.Duration {
	limit := max(stallTime, time.Duration(stallFraction*float64(t.step.def.Estimate)))
	return limit << min(max(t.stalls-unslowedStalls, 0), maxStallDoublings)
}

// drainWorkers stops runs on draining workers that will not end there in time.
func (d *Dispatcher) drainWorkers(now time.Duration) {
	for _, w := range d.workerList {
		if !w.entry.Draining {
			continue
		}
		for _, r := range d.sortedRuns(w.runs) {
			s := r.task.step
			if r.phase == runStopping {
				continue
			}
			deadlineNear := now >= w.drainEnd-drainLead-d.opts.StopTimeout
			switch {
			case s.def.LongRunning:
				if !deadlineNear && s.job.queue.Advice != nil && !d.hasFeasibleWorker(now, s) {
					d.requestAdvice(now, s)
					continue
				}
			case !deadlineNear || !s.def.Checkpointing:
				continue // it may end in time, or its work is lost in either case
			}
			if s.def.Gang {
				d.stopGang(now, r, "the worker of a gang member is draining")
				continue
			}
			d.requestStop(now, r, "its worker is draining")
		}
	}
}

// hasFeasibleWorker reports whether a task of the step can be started on some worker now.
func (d *Dispatcher) hasFeasibleWorker(now time.Duration, s *step) bool {
	return slices.ContainsFunc(d.startCandidates(s), func(w *worker) bool { return d.feasible(now, s, w, model.Resources{}) })
}
