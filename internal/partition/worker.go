package partition

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// worker is the owner's view of a worker.
type worker struct {
	id         model.WorkerID
	listed     bool // in the platform's list as last received
	leaving    bool
	pollFailed bool
	reconciled bool // accepted this epoch and runs only tasks granted by the log
	domain     model.FailureDomain
	rack       string

	boot              string // boot id in the newest report; empty: no report yet
	capacity          model.Resources
	reportClock       platform.WorkerTime // worker's clock in the newest report
	reportRequestedAt time.Time           // when the newest report was requested
	reportReceivedAt  time.Time           // when the newest report arrived
	polling           bool
	polledAt          time.Time

	attempts map[model.TaskID]*attempt // attempts that may be running on it
	granted  model.Resources           // sum of the attempts' sizes; no new grant raises it above capacity
}

// usable reports whether a task may be started on the worker now.
func (w *worker) usable() bool {
	return w.listed && w.reconciled && !w.leaving && !w.pollFailed
}

func (o *Owner) addWorker(id model.WorkerID) *worker {
	w := &worker{id: id, attempts: map[model.TaskID]*attempt{}}
	o.workers[id] = w
	o.updateDecider(w)
	return w
}

// updateDecider passes the worker's state to the decider.
func (o *Owner) updateDecider(w *worker) {
	o.decider.UpsertWorker(o.now, schedule.Worker{
		ID: w.id, FailureDomain: w.domain, Rack: w.rack, Capacity: w.capacity,
		Leaving: w.leaving, Unreachable: !w.listed || !w.reconciled || w.pollFailed,
	})
}

// WorkersListed reports the platform's list of the partition's workers. Lists must be
// passed in the order in which they were requested.
func (o *Owner) WorkersListed(now time.Time, vms []platform.VM) {
	if !o.beginInput(now) {
		return
	}
	seen := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		seen[id] = true
		o.markWorkerListed(id, vm)
	}
	for _, w := range o.sortedWorkers() {
		if w.listed && !seen[w.id] {
			o.markWorkerUnlisted(w)
		}
	}
	o.decideAndFlush()
}

func (o *Owner) markWorkerListed(id model.WorkerID, vm platform.VM) {
	w := o.workers[id]
	if w == nil {
		w = o.addWorker(id)
	}
	if w.listed && w.leaving == vm.Leaving {
		return
	}
	w.listed, w.leaving = true, vm.Leaving
	w.domain, w.rack = vm.FailureDomain, vm.Rack
	o.updateDecider(w)
}

// markWorkerUnlisted handles a worker that has disappeared from the platform's list: nothing
// runs on it any more.
func (o *Owner) markWorkerUnlisted(w *worker) {
	o.emit(Notice{Kind: NoticeWorkerRemoved, Partition: o.opts.Partition, Epoch: o.opts.Epoch, Worker: w.id})
	for _, a := range sortedAttempts(w.attempts) {
		if a.phase == attemptAssumed {
			a.withdrawn = true
			continue
		}
		o.endAttempt(a, a.lostOutcome(), "its worker is no longer in the platform's list")
	}
	w.listed, w.reconciled = false, false
	o.updateDecider(w)
	o.removeIfIdle(w)
}

// removeIfIdle removes an unlisted worker once it has no attempts.
func (o *Owner) removeIfIdle(w *worker) {
	if w.listed || len(w.attempts) > 0 || o.workers[w.id] != w {
		return
	}
	delete(o.workers, w.id)
	o.decider.RemoveWorker(o.now, w.id)
}

// pollWorkers requests reports from the listed workers and from those with attempts.
func (o *Owner) pollWorkers() {
	for _, w := range o.sortedWorkers() {
		o.removeIfIdle(w)
		if w.polling || o.now.Sub(w.polledAt) < o.opts.PollInterval && !w.polledAt.IsZero() {
			continue
		}
		w.polling, w.polledAt = true, o.now
		o.emit(PollWorker{Worker: w.id})
	}
}

// WorkerReported reports the result of a PollWorker. requested is when the poll was sent.
func (o *Owner) WorkerReported(now, requested time.Time, id model.WorkerID, r platform.WorkerReport, err error) {
	if !o.beginInput(now) {
		return
	}
	w := o.workers[id]
	if errors.Is(err, platform.ErrStaleEpoch) || err == nil && r.Epoch > o.opts.Epoch {
		o.endEpoch("a worker has accepted a newer epoch")
		return
	}
	if w == nil {
		return
	}
	w.polling = false
	switch {
	case err != nil:
		o.setPollFailed(w, true)
	case requested.After(w.reportRequestedAt):
		o.applyReport(w, requested, r)
	}
	o.decideAndFlush()
}

func (o *Owner) setPollFailed(w *worker, failed bool) {
	if w.pollFailed != failed {
		w.pollFailed = failed
		o.updateDecider(w)
	}
}

func (o *Owner) applyReport(w *worker, requested time.Time, r platform.WorkerReport) {
	if w.boot != "" && w.boot != r.Boot {
		o.emit(Notice{Kind: NoticeWorkerRestarted, Partition: o.opts.Partition, Epoch: o.opts.Epoch, Worker: w.id})
	}
	w.boot, w.reportClock, w.reportRequestedAt, w.reportReceivedAt = r.Boot, r.Clock, requested, o.now
	o.endAttemptsOfOtherBoots(w)
	unexpected := o.reconcileTasks(w, r)
	o.endAbsentAttempts(w, r)
	reconciled := r.Epoch == o.opts.Epoch && !unexpected
	changed := reconciled != w.reconciled || w.pollFailed || r.Capacity != w.capacity
	w.reconciled, w.pollFailed, w.capacity = reconciled, false, r.Capacity
	if changed {
		o.updateDecider(w)
	}
	o.renewLeases(w)
}

// endAttemptsOfOtherBoots ends the attempts bound to another boot of the worker: a restart
// ends the worker's tasks, and a start bound to an earlier boot is refused from now on.
func (o *Owner) endAttemptsOfOtherBoots(w *worker) {
	for _, a := range sortedAttempts(w.attempts) {
		if a.boot != w.boot && a.phase != attemptAssumed {
			o.endAttempt(a, a.lostOutcome(), "its worker restarted")
		}
	}
}

// reconcileTasks compares the report with the granted attempts. It returns whether the
// worker runs a task that the log does not grant.
func (o *Owner) reconcileTasks(w *worker, r platform.WorkerReport) bool {
	unexpected := false
	var ended []platform.TaskRef
	for _, t := range r.Tasks {
		a := w.attempts[t.Task]
		switch {
		case a != nil && a.ref == t.TaskRef && a.phase != attemptAssumed:
			o.applyTaskReport(a, t)
		case t.State == platform.TaskRunning:
			unexpected = true
			o.stopUnexpectedTask(w, t)
		case !o.unloggedEnds[t.TaskRef]:
			ended = append(ended, t.TaskRef)
		}
	}
	if len(ended) > 0 {
		o.emit(ForgetAttempts{Worker: w.id, Refs: ended})
	}
	return unexpected
}

func (o *Owner) stopUnexpectedTask(w *worker, t platform.TaskReport) {
	if t.Partition != o.opts.Partition {
		return // belongs to another partition's owner; the worker is not usable until it ends
	}
	o.emit(Notice{Kind: NoticeUnexpectedTask, Partition: o.opts.Partition, Epoch: o.opts.Epoch,
		Task: t.Task, Attempt: t.Attempt, Worker: w.id})
	o.emit(StopTask{Worker: w.id, Ref: t.TaskRef})
}

// applyTaskReport applies a worker's report on a granted attempt.
func (o *Owner) applyTaskReport(a *attempt, t platform.TaskReport) {
	if t.Checkpoint != "" {
		a.checkpoint = t.Checkpoint
	}
	switch t.State {
	case platform.TaskRunning:
		if a.startUnresolved {
			o.startConfirmed(a)
		}
		o.decider.Observe(o.now, schedule.Usage{Task: t.Task, Worker: a.worker, Used: t.Used, RunTime: t.Ran})
	case platform.TaskDone:
		o.endAttempt(a, model.OutcomeDone, "")
	case platform.TaskFailed:
		o.endAttempt(a, model.OutcomeFailed, "it exited with an error")
	default:
		o.endAttempt(a, a.lostOutcome(), "its worker reports the state "+string(t.State))
	}
}

// endAbsentAttempts ends the attempts that the report would contain if they were running.
func (o *Owner) endAbsentAttempts(w *worker, r platform.WorkerReport) {
	reported := make(map[platform.TaskRef]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		reported[t.TaskRef] = true
	}
	for _, a := range sortedAttempts(w.attempts) {
		if !reported[a.ref] && o.absenceProvesNotRunning(a, w, r) {
			o.endAttempt(a, a.lostOutcome(), "its worker's report does not list it")
		}
	}
}

// absenceProvesNotRunning reports whether the attempt's absence from the report proves
// that it is not running and never will. A start of this epoch whose result is unknown may
// still take effect; a start of an earlier epoch is refused once the worker has accepted
// this epoch.
func (o *Owner) absenceProvesNotRunning(a *attempt, w *worker, r platform.WorkerReport) bool {
	switch {
	case a.phase == attemptRecovered:
		return r.Epoch == o.opts.Epoch
	case !a.startSent() || a.startUnresolved:
		return false
	}
	return w.reportRequestedAt.After(a.startConfirmedAt)
}

// sortedWorkers lists the workers ordered by id.
func (o *Owner) sortedWorkers() []*worker {
	list := slices.Collect(maps.Values(o.workers))
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}
