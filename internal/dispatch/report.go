package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// HandleRenewFailure processes a failed lease renewal.
func (d *Dispatcher) HandleRenewFailure(now time.Duration, id model.WorkerID, err error) {
	w := d.workers[id]
	if w == nil {
		return
	}
	w.renewInFlight = false
	w.ackInFlight = 0
	w.renewDue = now
	if w.failedRenewals > 0 {
		w.renewDue = now + renewRetryDelay
	}
	switch fleet.RejectReasonOf(err) {
	case fleet.RejectedStaleFence:
		d.lostOwnership = true
	case fleet.RejectedIncarnation:
		d.handleReplacement(now, w)
	}
	if w.failedRenewals++; w.failedRenewals == 1 {
		connectionLostAt := time.Duration(0)
		if errors.Is(err, fleet.ErrConnectionLost) {
			connectionLostAt = now
		}
		d.exposeRuns(now, connectionLostAt, w, d.sortedRuns(w.runs))
		d.events.Record(event.WorkerUnresponsive, id, now-w.lastReportAt, len(w.runs), err)
	}
}

// handleReplacement ends the runs of a worker whose address rejected a renewal because another
// worker or incarnation runs there, which proves that the worker was dead then. Runs that were
// started or confirmed after the renewal was sent are kept.
func (d *Dispatcher) handleReplacement(now time.Duration, w *worker) {
	if w.renewAddress != w.entry.Address {
		return // it may be alive at its new address
	}
	if w.recordedByPrevious || len(w.runs) > 0 {
		d.events.Record(event.WorkerReplaced, w.entry.ID, w.entry.Address, len(w.runs))
	}
	dead := slices.DeleteFunc(d.sortedRuns(w.runs), func(r *run) bool { return max(r.startSentAt, r.confirmedAt) >= w.renewSentAt })
	d.exposeRuns(now, 0, w, dead)
	d.noteCrash(now, w, lostByReplacement)
	for _, r := range dead {
		d.loseRun(now, r, lostByReplacement)
	}
	d.settleExposures(now, w, noIncarnation)
	w.recordedByPrevious = false
}

// HandleStatusQueryFailure processes a failed status query. Only failed renewals count towards
// the worker's health.
func (d *Dispatcher) HandleStatusQueryFailure(id model.WorkerID) {
	if w := d.workers[id]; w != nil {
		w.statusQueryInFlight, w.statusQueryDue = false, 0
	}
}

// HandleReport processes a worker's response to a RenewCommand that was sent at the given time;
// statusOnly is the command's StatusOnly field.
func (d *Dispatcher) HandleReport(now, sent time.Duration, id model.WorkerID, statusOnly bool, rep fleet.Report) {
	w := d.workers[id]
	if w == nil {
		return
	}
	if statusOnly {
		w.statusQueryInFlight = false
		if w.reported && rep.Incarnation == w.incarnation {
			d.settleExposures(now, w, rep.Incarnation)
			d.applyReport(now, sent, w, rep)
		}
		return
	}
	if w.failedRenewals > 0 {
		d.events.Record(event.WorkerResponding, id, now-w.lastReportAt, w.failedRenewals)
	}
	if w.failedRenewals > 0 || !w.reported {
		d.markFreed(w)
	}
	if !w.recorded {
		d.workerListDirty = true // no run starts there before that
	}
	w.renewInFlight, w.failedRenewals, w.lastReportAt = false, 0, now
	first := !w.reported || w.incarnation != rep.Incarnation
	if first {
		w.incarnationSince = now
		if w.reported {
			d.handleRestart(now, w, rep)
		} else {
			w.meet(now)
		}
	}
	doubtful := w.takeDoubtfulExposures()
	d.settleExposures(now, w, rep.Incarnation)
	w.incarnationConfirmedAt = max(w.incarnationConfirmedAt, sent)
	wasFenced := w.fenced(now)
	if w.seenFence = max(w.seenFence, w.fence); w.fenced(now) && !wasFenced {
		d.markFreed(w)
	}
	w.incarnation, w.reported, w.ackConfirmed = rep.Incarnation, true, max(w.ackConfirmed, w.ackInFlight)
	w.renewalsSinceReport, w.startsSinceReport = 0, 0
	d.applyReport(now, sent, w, rep)
	d.settleDoubtfulExposures(now, doubtful)
	if first {
		d.unsettle(w)
	}
	if w.startAnsweredAt < sent {
		w.startLeaseEnd = 0
	}
	if w.settled != w.incarnation && (first || !wasFenced) {
		w.admitStaleDeadlines(now, d.opts)
	}
	w.renewDue = d.nextRenewal(now, w)
}

// applyReport applies the runs and results of a report. Responses can be reordered; from a
// report older than the last one only the results are applied.
func (d *Dispatcher) applyReport(now, sent time.Duration, w *worker, rep fleet.Report) {
	for _, result := range rep.Ended {
		d.applyRunResult(now, w, result)
	}
	d.advanceAck(w)
	if rep.Clock < w.clock {
		return
	}
	w.clock, w.clockAt, w.lastReportAt = rep.Clock, now, now
	listed := make(map[fleet.RunID]bool, len(rep.Running))
	for _, status := range rep.Running {
		listed[status.RunID] = true
		d.applyRunStatus(now, sent, w, status)
	}
	w.resultsKnown = w.resultsKnown || !rep.MoreEnded
	d.resolveUnlistedRuns(now, sent, w, listed, rep.MoreEnded)
}

// handleRestart ends all runs of the worker's previous incarnation. A start that is not
// confirmed yet could reach the new incarnation, so it is stopped there first.
func (d *Dispatcher) handleRestart(now time.Duration, w *worker, rep fleet.Report) {
	d.events.Record(event.WorkerIncarnationChanged, w.entry.ID, w.incarnation, rep.Incarnation, len(w.runs), w.estimatedClock(now), w.leaseDeadline, w.renewalsSinceReport, w.startsSinceReport, rep.Clock)
	w.beginFencing(now)
	// A run that was confirmed later may belong to the new incarnation; the next report shows it.
	dead := slices.DeleteFunc(d.sortedRuns(w.runs), func(r *run) bool {
		doubtful := r.confirmedAt > w.incarnationConfirmedAt
		if doubtful {
			r.endedIncarnation = w.incarnation
		}
		return doubtful
	})
	d.exposeRuns(now, 0, w, dead)
	d.noteCrash(now, w, lostByRestart)
	for _, r := range dead {
		if r.confirmedAt == 0 {
			r.stopConfirmedAt, r.task.step.job.runLostAt = 0, now
			d.requestStop(now, r, "its worker restarted before the start was confirmed")
			continue
		}
		d.loseRun(now, r, lostByRestart)
	}
	w.lastResult, w.durableResult, w.pendingAcks, w.clock = 0, 0, nil, 0
	w.ackInFlight, w.ackConfirmed, w.resultsKnown = 0, 0, false
	w.quarantine = quarantine{lastFailedJob: w.lastFailedJob}
	d.markFreed(w)
	w.speed = speedMean{}
}

// sortedRuns returns the runs sorted by ID, so that decisions are reproducible.
func (d *Dispatcher) sortedRuns(runs map[fleet.RunID]*run) []*run {
	list := make([]*run, 0, len(runs))
	for _, r := range runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return list
}

// applyRunStatus applies the status of one run that the worker lists.
func (d *Dispatcher) applyRunStatus(now, sent time.Duration, w *worker, status fleet.RunStatus) {
	r := w.runs[status.RunID]
	if r == nil {
		r = d.adoptRun(now, w, status)
		if r == nil {
			return
		}
	}
	if r.confirmedAt == 0 {
		r.confirmedAt = now
		r.task.step.advice.rejectedRounds = 0
	}
	r.task.step.job.started = true
	if r.phase == runStarting || r.phase == runUncertain {
		r.phase = runRunning
	}
	if status.Checkpoint != "" {
		r.checkpoint = status.Checkpoint
	}
	if status.Percent != r.percent {
		r.percent, r.progressAt = status.Percent, now
	}
	r.load, r.endedIncarnation = status.Load, 0
	d.recordSurvival(sent, r)
	d.recordProbe(sent, r)
}

// adoptRun adds a run that an earlier owner started, or a run that started on its worker after this
// owner had removed it. A run that must not continue is stopped.
func (d *Dispatcher) adoptRun(now time.Duration, w *worker, status fleet.RunStatus) *run {
	t := d.findTask(status.Task)
	if t == nil {
		d.events.Record(event.UnknownRunFound, w.entry.ID, status.Task, status.Run)
		d.emit(StopCommand{To: w.target(), Run: status.RunID, Fence: w.nextCommandFence()})
		return nil
	}
	r := &run{id: status.RunID, task: t, worker: w, demand: reservedCapacity(t.step.def), phase: runRunning,
		startSentAt: now, confirmedAt: now, progressAt: now, checkpoint: status.Checkpoint, pace: fullPace, adopted: true}
	if t.step.def.Filler {
		r.pace = paceUnknown // the earlier owner may have changed it
	}
	d.addRun(r)
	job := t.step.job
	job.started, t.step.started = true, true
	switch {
	case job.closed() || t.state == taskDone:
		r.released = true
		d.requestStop(now, r, "its submission has finished or its task is done")
	case t.state == taskActive && !t.step.def.Speculative:
		r.released = true
		d.requestStop(now, r, "another run of the task is already active")
	default:
		if t.state == taskWaiting {
			t.state = taskActive
			t.step.waiting--
		}
		t.runs = append(t.runs, r)
	}
	d.events.Record(event.RunAdopted, w.entry.ID, status.Task, status.Run, r.phase == runStopping)
	return r
}

// resolveUnlistedRuns ends or stops the known runs that a report does not list. The report is
// proof only if it was requested after the response to the start or stop arrived, because
// responses can be reordered, and if it contains all results.
func (d *Dispatcher) resolveUnlistedRuns(now, sent time.Duration, w *worker, listed map[fleet.RunID]bool, moreEnded bool) {
	for _, r := range d.sortedRuns(w.runs) {
		if listed[r.id] {
			continue
		}
		if r.phase == runUncertain && r.uncertainSince < sent {
			d.requestStop(now, r, "unknown outcome of its start, and its worker does not report it")
			continue
		}
		started := r.confirmedAt != 0 && r.confirmedAt < sent
		stopped := r.stopConfirmedAt != 0 && r.stopConfirmedAt < sent
		if !moreEnded && (started || stopped) {
			if started && !stopped {
				d.events.Record(event.RunMissing, w.entry.ID, r.id.Task, r.id.Run)
				d.countUnnoticedCrash(now, r)
			}
			r.task.step.job.runLostAt = now
			d.endRun(r)
		}
	}
}

// applyRunResult applies the result of one run.
func (d *Dispatcher) applyRunResult(now time.Duration, w *worker, result fleet.RunResult) {
	if result.Number <= w.lastResult {
		return
	}
	w.lastResult = result.Number
	t := d.findTask(result.Task)
	r := w.runs[result.RunID]
	if r != nil {
		if result.Checkpoint != "" {
			r.checkpoint = result.Checkpoint
		}
		if result.Outcome == fleet.OutcomeDone && r.confirmedAt != 0 && r.task.checkpoint == "" {
			r.task.step.doneRunTime += now - r.confirmedAt
			r.task.step.timedTasks++
			r.task.step.recordDuration(r, now-r.confirmedAt)
		}
		d.endRun(r)
	} else if t != nil && t.state == taskWaiting && result.Checkpoint != "" {
		t.checkpoint = result.Checkpoint
	}
	if t == nil {
		w.pendingAcks = append(w.pendingAcks, pendingAck{number: result.Number})
		return
	}
	j := t.step.job
	d.events.Record(event.RunTerminated, w.entry.ID, result.Task, result.Run, result.Outcome)
	d.applyOutcome(now, w, t, r, result)
	if !j.state.Final() {
		d.markDirty(j)
	}
	w.pendingAcks = append(w.pendingAcks, pendingAck{number: result.Number, job: j, version: j.version})
	d.finishIfComplete(now, j)
}

// applyOutcome applies the outcome of a run to its task and worker; r is nil if this owner did not know the run.
func (d *Dispatcher) applyOutcome(now time.Duration, w *worker, t *task, r *run, result fleet.RunResult) {
	s := t.step
	s.started, s.job.started = true, true
	t.recordEndOfRun(result.Outcome)
	switch result.Outcome {
	case fleet.OutcomeDone:
		w.consecutiveStalls = 0
		d.endQuarantine(w)
		if s.def.LongRunning {
			t.notBefore = now + taskRetryDelay
			return
		}
		d.markDone(now, t)
		if s.def.Gang { // one completed member completes the gang
			for _, other := range s.tasks {
				d.markDone(now, other)
			}
		}
	case fleet.OutcomeFailed:
		d.recordFailure(now, w, t, result.Run, r)
	case fleet.OutcomeGangIncomplete, fleet.OutcomeGangMemberEnded:
		s.notBefore = max(s.notBefore, now+taskRetryDelay)
	}
}

// markDone completes a task and stops its other runs.
func (d *Dispatcher) markDone(now time.Duration, t *task) {
	if t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		t.step.waiting--
	}
	t.state = taskDone
	t.checkpoint = ""
	t.step.done++
	if t.step.complete() {
		d.learnSpeeds(t.step)
	}
	for _, r := range t.runs {
		if !t.step.def.Gang {
			d.requestStop(now, r, "another run of the task has completed")
		}
	}
}

// recordFailure counts a failed run. A run is counted once, however often its result is reported. failed is nil if this owner
// did not know the run.
func (d *Dispatcher) recordFailure(now time.Duration, w *worker, t *task, number int64, failed *run) {
	s, j := t.step, t.step.job
	runs := &t.failedRuns
	if s.def.Gang {
		runs = &s.gangFailedRuns
	}
	if slices.Contains(*runs, number) {
		return
	}
	d.recordWorkerFailure(now, w, t, failed)
	if !slices.Contains(t.failedOn, w.entry.ID) {
		t.failedOn = append(t.failedOn, w.entry.ID)
	}
	if s.def.LongRunning {
		t.notBefore = now + taskRetryDelay
		return
	}
	if t.state == taskDone {
		return // another run has completed it
	}
	*runs = append(*runs, number)
	if len(*runs) >= j.queue.MaxAttempts && !j.closed() {
		d.finishJob(now, j, fleet.StateFailed, "task "+t.id().String()+" reached the attempt limit of its queue")
	}
}

// advanceAck advances the number up to which the worker's results are durable.
func (d *Dispatcher) advanceAck(w *worker) {
	for len(w.pendingAcks) > 0 {
		head := w.pendingAcks[0]
		if head.job != nil && head.job.durableVersion < head.version {
			return
		}
		w.durableResult = head.number
		w.pendingAcks = w.pendingAcks[1:]
	}
}

// findTask returns the task with the ID, or nil. It creates its occurrence if needed.
func (d *Dispatcher) findTask(id fleet.TaskID) *task {
	j := d.jobs[id.Job]
	if j == nil || j.tooLarge || min(id.Occurrence, id.Step, id.Index) < 0 || id.Occurrence >= j.occurrenceCount() || id.Step >= len(j.sub.Steps) {
		return nil
	}
	s := j.occurrence(id.Occurrence).steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}
