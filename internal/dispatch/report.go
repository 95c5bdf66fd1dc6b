package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// HandleRenewFailure takes the failure of a hold.
func (d *Dispatcher) HandleRenewFailure(now time.Duration, id model.WorkerID, err error) {
	w := d.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if w.ackOut != 0 {
		w.ackDoubt, w.ackOut = now, 0
	}
	w.holdDue = now
	if w.failing > 0 {
		w.holdDue = now + holdRetry
	}
	switch fleet.RejectReasonOf(err) {
	case fleet.RejectedStaleFence:
		d.deposed = true
	case fleet.RejectedIncarnation:
		d.replaced(w)
	}
	if w.failing++; w.failing == 1 {
		d.events.Record(event.WorkerSilent, id, now-w.lastHeard, len(w.runs), err)
	}
}

// replaced ends the runs of a worker whose address answered a hold for another one, which proves
// that it was dead then.
func (d *Dispatcher) replaced(w *worker) {
	if w.holdTo != w.entry.Address {
		return // it may live at its new address
	}
	if w.wasSeen || len(w.runs) > 0 {
		d.events.Record(event.WorkerReplaced, w.entry.ID, w.entry.Address, len(w.runs))
	}
	for _, r := range d.sorted(w.runs) {
		if max(r.sent, r.answered) < w.holdSent {
			d.end(r)
		}
	}
	w.wasSeen = false
}

// HandleStatusQueryFailure takes the failure of a look, which says nothing: the long poll judges the worker.
func (d *Dispatcher) HandleStatusQueryFailure(id model.WorkerID) {
	if w := d.workers[id]; w != nil {
		w.looking, w.lookDue = false, 0
	}
}

// HandleReport takes a worker's answer to a hold or look that was sent at the given time.
func (d *Dispatcher) HandleReport(now, sent time.Duration, id model.WorkerID, look bool, rep fleet.Report) {
	w := d.workers[id]
	if w == nil {
		return
	}
	if look {
		w.looking = false
		if w.heard && rep.Incarnation == w.born {
			d.takeReport(now, sent, w, rep)
		}
		return
	}
	if w.failing > 0 {
		d.events.Record(event.WorkerHeard, id, now-w.lastHeard, w.failing)
	}
	if w.failing > 0 || !w.heard {
		d.gain(w)
	}
	silence := w.failing
	w.holding, w.failing, w.lastHeard = false, 0, now
	if w.heard && w.born != rep.Incarnation {
		d.reborn(now, w, rep.Incarnation, silence)
	} else if w.ackDoubt != 0 {
		w.ackLost, w.ackDoubt = w.ackDoubt, 0
	}
	w.provenAt = max(w.provenAt, sent)
	w.born, w.heard, w.ackSent = rep.Incarnation, true, max(w.ackSent, w.ackOut)
	d.takeReport(now, sent, w, rep)
	w.holdDue = d.nextHold(now, w)
}

// takeReport takes the lists of a report. Answers overtake each other: of one that was made
// before the last, only the ends are news.
func (d *Dispatcher) takeReport(now, sent time.Duration, w *worker, rep fleet.Report) {
	for _, e := range rep.Ended {
		d.endRow(now, w, e)
	}
	d.acknowledge(w)
	if rep.Clock < w.clock {
		return
	}
	w.clock, w.clockAt, w.lastHeard = rep.Clock, now, now
	listed := make(map[fleet.RunID]bool, len(rep.Running))
	for _, row := range rep.Running {
		listed[row.RunID] = true
		d.runningRow(now, w, row)
	}
	d.missing(now, sent, w, listed)
}

// reborn ends all runs of the worker's earlier incarnation. A start whose answer is still
// missing could reach the new one, so it is stopped there first.
func (d *Dispatcher) reborn(now time.Duration, w *worker, born int64, silence int) {
	d.events.Record(event.WorkerReborn, w.entry.ID, w.born, born, len(w.runs))
	for _, r := range d.sorted(w.runs) {
		if r.answered > w.provenAt {
			continue // it may have begun in this incarnation; its lists will tell
		}
		if r.answered == 0 {
			r.stopAnswer = 0
			d.stop(now, r, "the worker was restarted before it answered")
			continue
		}
		d.end(r)
	}
	w.seen, w.acked, w.ackQueue, w.granted, w.clock = 0, 0, nil, 0, 0
	w.ackOut, w.ackSent = 0, 0
	// A hold that a dead worker never received cannot be carried out late.
	if w.ackDoubt != 0 && silence < deadSilence {
		w.ackLost = w.ackDoubt
	}
	w.ackDoubt = 0
	if w.ackLost != 0 {
		w.avoidUntil = max(w.avoidUntil, w.ackLost+lateOrders)
	}
	w.failures, w.probing = 0, false
}

// sorted lists runs by id, so that decisions repeat.
func (d *Dispatcher) sorted(runs map[fleet.RunID]*run) []*run {
	list := make([]*run, 0, len(runs))
	for _, r := range runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return list
}

// runningRow takes one run that the worker lists.
func (d *Dispatcher) runningRow(now time.Duration, w *worker, row fleet.RunStatus) {
	r := w.runs[row.RunID]
	if r == nil {
		r = d.adopt(now, w, row)
		if r == nil {
			return
		}
	}
	if r.answered == 0 {
		r.answered = now
	}
	r.task.step.job.began = true
	if r.phase == runStarting || r.phase == runUncertain {
		r.phase = runRunning
	}
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if row.Percent != r.percent {
		r.percent, r.progressAt = row.Percent, now
	}
	r.load = row.Load
}

// adopt books a run that an earlier owner started, or that began after it was given up.
func (d *Dispatcher) adopt(now time.Duration, w *worker, row fleet.RunStatus) *run {
	t := d.task(row.Task)
	if t == nil {
		d.events.Record(event.RunUnknown, w.entry.ID, row.Task, row.Run)
		d.emit(StopCommand{To: w.target(), Run: row.RunID, Fence: d.opts.Fence})
		return nil
	}
	r := &run{id: row.RunID, task: t, worker: w, demand: reserve(t.step.def), phase: runRunning,
		sent: now, answered: now, progressAt: now, checkpoint: row.Checkpoint, pace: 100}
	d.attach(r)
	job := t.step.job
	job.began, t.step.started = true, true
	switch {
	case job.closed() || t.state == taskDone:
		r.released = true
		d.stop(now, r, "nothing of its submission is to run")
	case t.state == taskActive && !t.step.def.Speculative:
		r.released = true
		d.stop(now, r, "another run of the task is known")
	default:
		if t.state == taskWaiting {
			t.state = taskActive
			t.step.waiting--
		}
		t.runs = append(t.runs, r)
	}
	d.events.Record(event.RunAdopted, w.entry.ID, row.Task, row.Run, r.phase == runStopping)
	return r
}

// missing judges the booked runs that a report does not list. Only a hold that was sent
// after the start's answer proves anything, as answers overtake each other.
func (d *Dispatcher) missing(now, sent time.Duration, w *worker, listed map[fleet.RunID]bool) {
	for _, r := range d.sorted(w.runs) {
		if listed[r.id] {
			continue
		}
		if r.phase == runUncertain && r.unsure < sent {
			d.stop(now, r, "the answer to its start was lost, and it is not there")
			continue
		}
		started := r.answered != 0 && r.answered < sent
		stopped := r.stopAnswer != 0 && r.stopAnswer < sent
		if started || stopped {
			if started && !stopped {
				d.events.Record(event.RunVanished, w.entry.ID, r.id.Task, r.id.Run)
			}
			d.end(r)
		}
	}
}

// endRow takes one end.
func (d *Dispatcher) endRow(now time.Duration, w *worker, e fleet.RunResult) {
	if e.Number <= w.seen {
		return
	}
	w.seen = e.Number
	t := d.task(e.Task)
	if r := w.runs[e.RunID]; r != nil {
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		if e.Outcome == fleet.OutcomeDone && r.answered != 0 && r.task.checkpoint == "" {
			r.task.step.runTime += now - r.answered
			r.task.step.timed++
		}
		d.end(r)
	} else if t != nil && t.state == taskWaiting && e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if t == nil {
		w.ackQueue = append(w.ackQueue, pendingAck{number: e.Number})
		return
	}
	j := t.step.job
	d.events.Record(event.RunEnded, w.entry.ID, e.Task, e.Run, e.Outcome)
	d.judge(now, w, t, e)
	if !j.state.Final() {
		d.changed(j)
	}
	w.ackQueue = append(w.ackQueue, pendingAck{number: e.Number, job: j, version: j.version})
	d.settle(now, j)
}

// judge applies an outcome to the task.
func (d *Dispatcher) judge(now time.Duration, w *worker, t *task, e fleet.RunResult) {
	s := t.step
	s.started, s.job.began = true, true
	switch e.Outcome {
	case fleet.OutcomeDone:
		w.failures, w.probing, w.stalls = 0, false, 0
		if s.def.LongRunning {
			t.notBefore = now + retryDelay
			return
		}
		d.markDone(now, t)
		if s.def.Gang { // one end done stands for all
			for _, other := range s.tasks {
				d.markDone(now, other)
			}
		}
	case fleet.OutcomeFailed:
		d.failed(now, w, t, e.Run)
	case fleet.OutcomeGangIncomplete, fleet.OutcomeGangMemberEnded:
		s.notBefore = max(s.notBefore, now+retryDelay)
	}
}

// markDone ends a task for good and stops other copies of it.
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
	for _, r := range t.runs {
		if !t.step.def.Gang {
			d.stop(now, r, "another copy is done")
		}
	}
}

// failed counts a failed run; a run is counted once, however often its end is listed.
func (d *Dispatcher) failed(now time.Duration, w *worker, t *task, number int64) {
	s, j := t.step, t.step.job
	runs := &t.failedRuns
	if s.def.Gang {
		runs = &s.failures
	}
	if slices.Contains(*runs, number) {
		return
	}
	if w.lastFailed != j.sub.ID {
		w.failures++
	}
	w.lastFailed = j.sub.ID
	if w.probing || w.failures >= quarantineFailures {
		w.avoidUntil, w.probing = now+quarantineTime, true
		d.events.Record(event.WorkerQuarantined, w.entry.ID, w.failures, quarantineTime)
	}
	if !slices.Contains(t.failedOn, w.entry.ID) {
		t.failedOn = append(t.failedOn, w.entry.ID)
	}
	if s.def.LongRunning {
		t.notBefore = now + retryDelay
		return
	}
	*runs = append(*runs, number)
	if len(*runs) >= j.queue.MaxAttempts && !j.closed() {
		d.finish(now, j, fleet.StateFailed, "task "+t.id().String()+" failed as often as the queue allows")
	}
}

// acknowledge moves the number up to which ends are durable.
func (d *Dispatcher) acknowledge(w *worker) {
	for len(w.ackQueue) > 0 {
		head := w.ackQueue[0]
		if head.job != nil && head.job.durable < head.version {
			return
		}
		w.acked = head.number
		w.ackQueue = w.ackQueue[1:]
	}
}

// task finds a task by its name.
func (d *Dispatcher) task(id fleet.TaskID) *task {
	j := d.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.steps) || id.Step >= len(j.sub.Steps) {
		return nil
	}
	j.build(id.Occurrence)
	s := j.steps[id.Occurrence][id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}
