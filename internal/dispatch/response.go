package dispatch

import (
	"cmp"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// HandleStartResponse processes the response to a StartCommand; clock is the worker's clock in ms, 0 if the response has none. An err
// that leaves the outcome unknown keeps the run until the worker's reports settle it.
func (d *Dispatcher) HandleStartResponse(now time.Duration, id fleet.RunID, worker model.WorkerID, clock int64, err error) {
	if w := d.workers[worker]; w != nil && clock > 0 {
		d.noteStartClock(now, w, clock)
	}
	r := d.runs[id]
	if r == nil || r.worker.entry.ID != worker || r.confirmedAt != 0 {
		return // a report has already confirmed or ended it
	}
	if err == nil {
		r.confirmedAt = now
		r.task.step.job.started = true
		if r.phase == runStarting {
			r.phase = runRunning
		}
		r.task.step.advice.rejectedRounds = 0
		return
	}
	d.events.Record(event.StartFailed, worker, id.Task, id.Run, err)
	if !fleet.IsNotRun(err) {
		if r.phase == runStarting {
			d.addUnsettled(r)
			r.phase, r.uncertainSince = runUncertain, now
		}
		return
	}
	d.endRun(r)
	d.handleStartRejection(now, r, fleet.RejectReasonOf(err))
	if r.task.step.def.Gang {
		d.stopGang(now, r, "another member of its gang was not started")
	}
}

// handleStartRejection sets the back-off that follows from a start without effect.
func (d *Dispatcher) handleStartRejection(now time.Duration, r *run, reason fleet.RejectReason) {
	w := r.worker
	switch reason {
	case fleet.RejectedStaleFence:
		d.lostOwnership = d.lostOwnership || w.rejectsOwner(r.startFence)
	case fleet.RejectedTicket:
		r.task.step.advice.dropTicket(w.entry.ID)
		backOffRejectedTickets(now, r)
	case fleet.RejectedUnhealthy:
		w.backoffUntil = max(w.backoffUntil, now+unhealthyBackoff)
	case fleet.RejectedInvalid:
		r.task.notBefore = now + invalidStartBackoff
	default:
		w.backoffUntil = max(w.backoffUntil, now+noCapacityBackoff)
	}
}

// backOffRejectedTickets delays the next start of a step whose starts are rejected again and again for
// want of a valid ticket. The first time only a new ticket is requested, if the queue has advice.
func backOffRejectedTickets(now time.Duration, r *run) {
	s := r.task.step
	a := &s.advice
	if r.startSentAt < a.rejectedAt {
		return // sent together with one that was rejected before
	}
	a.rejectedAt = now
	a.rejectedRounds++
	if a.rejectedRounds == 1 && s.job.queue.Advice != nil {
		return
	}
	delay := min(ticketBackoff<<min(a.rejectedRounds-1, maxTicketBackoffDoublings), maxTicketBackoff)
	s.notBefore = max(s.notBefore, now+delay)
}

// stopGang stops all runs of the member's gang run.
func (d *Dispatcher) stopGang(now time.Duration, member *run, reason string) {
	for _, t := range member.task.step.tasks {
		for _, r := range t.runs {
			if r.id.Run == member.id.Run {
				d.requestStop(now, r, reason)
			}
		}
	}
}

// HandleStopResponse processes the response to a StopCommand.
func (d *Dispatcher) HandleStopResponse(now time.Duration, id fleet.RunID, worker model.WorkerID, err error) {
	r := d.runs[id]
	if r == nil || r.worker.entry.ID != worker {
		return
	}
	r.stopInFlight = false
	if err != nil {
		r.stopDue = now + stopRetryDelay
		if fleet.RejectReasonOf(err) == fleet.RejectedStaleFence && r.worker.rejectsOwner(r.stopFence) {
			d.lostOwnership = true
		}
		return
	}
	if r.stopSentAt < r.worker.incarnationSince { // the former incarnation may have executed it
		r.stopDue = now
		return
	}
	if r.stopConfirmedAt == 0 {
		r.stopConfirmedAt = now
	}
}

// HandlePaceResponse processes the response to a PaceCommand.
func (d *Dispatcher) HandlePaceResponse(_ time.Duration, id fleet.RunID, percent int, err error) {
	r := d.runs[id]
	if r == nil {
		return
	}
	r.paceInFlight = false
	if err != nil {
		r.pace = paceUnknown
		return
	}
	r.pace = percent
}

func compareRuns(a, b fleet.RunID) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
}
