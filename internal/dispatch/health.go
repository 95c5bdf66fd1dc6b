package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Limits of what counts as standing still.
const (
	stallTime     = 1300 * time.Millisecond // two reports without progress
	stallShare    = 0.05                    // of the estimate: a report tells whole percents
	overdue       = 1.3                     // times what is left by the estimate, after which an end may have been missed
	overdueMargin = 100 * time.Millisecond
	stallAvoid    = 3 * time.Second        // of a worker on which runs stand still
	drainLead     = 700 * time.Millisecond // before a worker leaves: the stop timeout and a report
	fullPace      = 100                    // percent
	paceUnknown   = -1                     // the answer to a pace was lost
)

// watchRuns moves runs that stand still to other workers.
func (d *Dispatcher) watchRuns(now time.Duration) {
	for _, r := range d.runList {
		w, s := r.worker, r.task.step
		if r.gone || r.phase != runRunning || w.failing > 0 || s.def.Gang || s.def.Filler || r.pace != fullPace || r.percent >= fullPace {
			continue
		}
		since := max(r.progressAt, r.answered)
		limit := max(stallTime, time.Duration(stallShare*float64(s.def.Estimate)))
		if w.lastHeard-since < limit {
			left := time.Duration(overdue * float64(s.def.Estimate) * float64(fullPace-r.percent) / fullPace)
			if !s.def.LongRunning && now > since+left+overdueMargin && w.lastHeard < since+left {
				d.look(now, w)
			}
			continue
		}
		w.stalls++
		w.avoidUntil = max(w.avoidUntil, now+stallAvoid)
		d.events.Record(event.RunStalled, w.entry.ID, r.id.Task, r.id.Run, r.percent, now-r.progressAt)
		d.stop(now, r, "it makes no progress")
	}
}

// drain moves off a leaving worker what cannot end in time there.
func (d *Dispatcher) drain(now time.Duration) {
	for _, w := range d.order {
		if !w.entry.Draining {
			continue
		}
		for _, r := range d.sorted(w.runs) {
			s := r.task.step
			if r.phase == runStopping {
				continue
			}
			last := now >= w.drainEnd-drainLead-d.opts.StopTimeout
			switch {
			case s.def.LongRunning:
				if !last && s.job.queue.Advice != nil && !d.hasTicket(now, s) {
					d.ask(now, s)
					continue
				}
			case !last || !s.def.Checkpointing:
				continue // it may end in time, or its work would be lost either way
			}
			if s.def.Gang {
				d.breakGang(now, r, "a member's worker is leaving")
				continue
			}
			d.stop(now, r, "its worker is leaving")
		}
	}
}

// hasTicket reports whether some worker with room may take a task of the step now.
func (d *Dispatcher) hasTicket(now time.Duration, s *step) bool {
	return slices.ContainsFunc(d.order, func(w *worker) bool { return d.feasible(now, s, w, model.Resources{}) })
}
