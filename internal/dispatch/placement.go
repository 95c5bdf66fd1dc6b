package dispatch

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fairshare"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Score penalties, in units of a worker's total capacity. Each outweighs the utilization of the
// worker, and a larger one outweighs a smaller one.
const (
	penaltyRemoteRack  = 2.0  // the task runs slower there, by the platform's factor remote-penalty
	penaltyProbing     = 4.0  // the worker was in quarantine and is being probed
	penaltyStalledRuns = 4.0  // runs have recently stalled on the worker
	penaltyTaskFailed  = 8.0  // this task has failed on the worker
	penaltySharing     = 16.0 // a filler task slows down serving tasks on the same worker
)

// placeStep starts as many of the step's waiting tasks as fit on the candidates and its account's
// quota, and as its account's share if withinShare is set. It reports false if no candidate could take
// even one.
func (d *Dispatcher) placeStep(now time.Duration, s *step, candidates []*worker, withinShare bool) bool {
	s.hasDelayedTask, s.isolating = false, 0
	s.slowdownLimit = s.maxSlowdown(now)
	if !d.quotaAllows(now, s, s.startableTogether()) {
		return true
	}
	if s.def.Gang {
		d.placeGang(now, s)
		return true
	}
	// A worker that cannot take the first task cannot take another one in this pass either.
	feasible := d.feasibleWorkers(now, s, candidates)
	var suspects []*task // started after the others, which must not wait for them
	for i := s.firstWaiting; i < len(s.tasks) && s.waiting > len(suspects); i++ {
		t := s.tasks[i]
		if t.state != taskWaiting {
			if i == s.firstWaiting {
				s.firstWaiting++
			}
			continue
		}
		if now < t.notBefore {
			s.hasDelayedTask = true
			continue
		}
		if t.needsIsolation() {
			suspects = append(suspects, t)
			continue
		}
		if !d.quotaAllows(now, s, 1) || withinShare && !d.hasShareLeft(s.job.account) {
			break
		}
		w := d.bestWorker(now, s, t, feasible)
		if w == nil {
			if s.hasSuspects {
				continue // suspects need no room on these workers
			}
			break
		}
		if !d.startWaiting(now, t, w) {
			return true
		}
	}
	d.placeSuspects(now, s, suspects, withinShare)
	return len(feasible) > 0
}

// placeSuspects starts suspected tasks of the step in isolation, those with the most crashes first.
func (d *Dispatcher) placeSuspects(now time.Duration, s *step, suspects []*task, withinShare bool) {
	slices.SortStableFunc(suspects, func(a, b *task) int { return cmp.Compare(b.history.crashes, a.history.crashes) })
	for _, t := range suspects {
		if !d.quotaAllows(now, s, 1) || withinShare && !d.hasShareLeft(s.job.account) {
			return
		}
		w := (*worker)(nil)
		if t.mayStartIsolated(now) {
			w = d.isolatedWorker(now, s, t)
		}
		if w == nil {
			s.hasDelayedTask = true
			s.isolating++
			continue
		}
		if !d.startWaiting(now, t, w) {
			return
		}
	}
}

// startWaiting starts a waiting task and reports whether further tasks of its step may be started in this pass.
func (d *Dispatcher) startWaiting(now time.Duration, t *task, w *worker) bool {
	s := t.step
	s.job.nextRun++
	s.reservation = nil
	d.startRun(now, t, w, d.opts.Fence*runsPerFence+s.job.nextRun)
	if s.advice.rejectedRounds > 1 {
		s.hasDelayedTask = true // one start shows whether the others would be rejected, too
		return false
	}
	return true
}

// feasibleWorkers returns the candidates on which a task of the step can be started. The result is
// valid until the next call.
func (d *Dispatcher) feasibleWorkers(now time.Duration, s *step, candidates []*worker) []*worker {
	d.load.Examined += int64(len(candidates))
	d.feasibleBuffer = d.feasibleBuffer[:0]
	for _, w := range candidates {
		if d.feasible(now, s, w, model.Resources{}) {
			d.feasibleBuffer = append(d.feasibleBuffer, w)
		}
	}
	return d.feasibleBuffer
}

// bestWorker returns the feasible candidate with the lowest score, or nil.
func (d *Dispatcher) bestWorker(now time.Duration, s *step, t *task, candidates []*worker) *worker {
	var best *worker
	bestScore := 0.0
	d.load.Examined += int64(len(candidates))
	for _, w := range candidates {
		if !d.feasible(now, s, w, model.Resources{}) {
			continue
		}
		if score := d.score(s, t, w, model.Resources{}); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// feasible reports whether a task of the step can be started on the worker now, if extra is
// reserved there in addition.
func (d *Dispatcher) feasible(now time.Duration, s *step, w *worker, extra model.Resources) bool {
	return w.placeable(now) && d.satisfiesConstraints(s, w) &&
		reservedCapacity(s.def).FitsIn(w.free().Sub(extra)) &&
		w.mayProbe(s) && !d.blockedByReservation(now, s, w, extra) &&
		(s.job.queue.Advice == nil || s.advice.hasTicket(now, w.entry.ID))
}

// satisfiesConstraints reports whether the worker satisfies the step's placement constraints,
// regardless of its capacity and state.
func (d *Dispatcher) satisfiesConstraints(s *step, w *worker) bool {
	if w.entry.Service != s.job.queue.Service {
		return false
	}
	if label := s.def.RequiredLabel; label != "" && !slices.Contains(w.entry.Labels, label) {
		return false
	}
	return s.def.MaxPerWorker == 0 || s.runsPerWorker[w.entry.ID] < s.def.MaxPerWorker
}

// score rates a worker for a task, lower being better. t is nil for a gang member.
func (d *Dispatcher) score(s *step, t *task, w *worker, extra model.Resources) float64 {
	score := packingScore(w.entry.Capacity, w.used.Add(extra).Add(reservedCapacity(s.def)))
	if rack := s.def.PreferredRack; rack != "" && !slices.Contains(w.entry.Labels, rack) {
		score += penaltyRemoteRack
	}
	score += w.speedScore(s.slowdownLimit)
	if w.probing {
		score += penaltyProbing
	}
	if w.consecutiveStalls > 0 {
		score += penaltyStalledRuns
	}
	if t != nil && slices.Contains(t.failedOn, w.entry.ID) {
		score += penaltyTaskFailed
	}
	if s.def.Filler && w.servingRuns > 0 || s.def.LatencyTarget > 0 && w.fillerRuns > 0 {
		score += penaltySharing
	}
	return score
}

// packingScore rates a worker by its use after a placement, from 0 to 1. Work is spread over
// workers without accelerators, and packed onto those that have some, so that whole workers stay
// free for the tasks that need all accelerators of one.
func packingScore(capacity, used model.Resources) float64 {
	share := fairshare.DominantShare(used, capacity)
	if capacity.Accelerators > 0 {
		return 1 - share
	}
	return share
}

// startRun reserves the capacity of a new run on the worker and emits its start command.
func (d *Dispatcher) startRun(now time.Duration, t *task, w *worker, number int64) {
	s := t.step
	r := &run{
		id: fleet.RunID{Task: t.id(), Run: number}, task: t, worker: w, demand: reservedCapacity(s.def),
		startSentAt: now, startFence: w.nextCommandFence(), progressAt: now, checkpoint: t.checkpoint, pace: fullPace,
		backfilled: w.reservedFor != nil && w.reservedFor.step != s,
	}
	d.addRun(r)
	w.lastStartAt = now
	if w.probing {
		w.probe = r
	}
	if t.needsIsolation() && !s.def.Gang {
		d.beginIsolation(now, r)
	}
	t.runs = append(t.runs, r)
	if t.state == taskWaiting {
		t.state = taskActive
		s.waiting--
	}
	s.started = true
	deadline := w.estimatedClock(now) + d.opts.Lease.Milliseconds()
	w.leaseDeadline = max(w.leaseDeadline, deadline)
	w.startsSinceReport++
	if w.renewDue > now+unackedPollInterval { // it was idle without a long poll and must be polled again
		w.renewDue = now
	}
	d.events.Record(event.RunPlaced, w.entry.ID, r.id.Task, number, now-s.job.arrivedAt, now-w.lastReportAt, w.free().MilliCPU)
	command := StartCommand{To: w.target(), Start: fleet.StartRequest{
		RunID: r.id, Spec: s.job.sub.Spec, Checkpoint: t.checkpoint, Ticket: s.advice.ticket(w.entry.ID),
		Fence: r.startFence, Deadline: deadline,
	}}
	if d.suspended {
		command.SuspendedUntil = d.suspensionEnd()
	}
	d.emit(command)
}
