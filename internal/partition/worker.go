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

// worker is what the owner knows of a worker.
type worker struct {
	id         model.WorkerID
	listed     bool // the platform's list showed it to this owner
	leaving    bool
	silent     bool // the last poll failed
	reconciled bool // it accepted this epoch and runs nothing that the log does not grant
	domain     model.FailureDomain
	rack       string

	boot     string // of the newest report; empty: none yet
	capacity model.Resources
	clock    platform.WorkerClock // in the newest report
	asked    time.Time            // when the newest report was asked for
	arrived  time.Time            // when it arrived
	polling  bool
	polledAt time.Time

	attempts map[model.TaskID]*attempt // that may be running on it
	granted  model.Resources           // the sum of their sizes; never above capacity by a new grant
}

// usable reports whether a task may be started on the worker now.
func (w *worker) usable() bool {
	return w.listed && w.reconciled && !w.leaving && !w.silent
}

func (o *Owner) addWorker(id model.WorkerID) *worker {
	w := &worker{id: id, attempts: map[model.TaskID]*attempt{}}
	o.workers[id] = w
	o.upsert(w)
	return w
}

// upsert tells the decision of a worker's state.
func (o *Owner) upsert(w *worker) {
	o.decider.UpsertWorker(o.now, schedule.Worker{
		ID: w.id, FailureDomain: w.domain, Rack: w.rack, Capacity: w.capacity,
		Leaving: w.leaving, Unreachable: !w.listed || !w.reconciled || w.silent,
	})
}

// Listed takes the platform's list of the partition's workers. Lists are passed in
// the order in which they were asked for.
func (o *Owner) Listed(now time.Time, vms []platform.VM) {
	if !o.begin(now) {
		return
	}
	seen := make(map[model.WorkerID]bool, len(vms))
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		seen[id] = true
		o.list(id, vm)
	}
	for _, w := range o.sortedWorkers() {
		if w.listed && !seen[w.id] {
			o.dropWorker(w)
		}
	}
	o.advance()
}

func (o *Owner) list(id model.WorkerID, vm platform.VM) {
	w := o.workers[id]
	if w == nil {
		w = o.addWorker(id)
	}
	if w.listed && w.leaving == vm.Leaving {
		return
	}
	w.listed, w.leaving = true, vm.Leaving
	w.domain, w.rack = vm.FailureDomain, vm.Rack
	o.upsert(w)
}

// dropWorker forgets a worker that the list showed and does not show any more:
// nothing runs on it.
func (o *Owner) dropWorker(w *worker) {
	o.emit(Notice{Kind: NoticeWorkerGone, Partition: o.opts.Partition, Epoch: o.opts.Epoch, Worker: w.id})
	for _, a := range sorted(w.attempts) {
		if a.phase == attemptAssumed {
			a.withdrawn = true
			continue
		}
		o.end(a, a.lostOutcome(), "its worker is gone from the platform's list")
	}
	w.listed, w.reconciled = false, false
	o.upsert(w)
	o.removeIfIdle(w)
}

// removeIfIdle forgets an unlisted worker once nothing holds its capacity.
func (o *Owner) removeIfIdle(w *worker) {
	if w.listed || len(w.attempts) > 0 || o.workers[w.id] != w {
		return
	}
	delete(o.workers, w.id)
	o.decider.RemoveWorker(o.now, w.id)
}

// pollWorkers asks the listed workers, and those with attempts, for reports.
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

// Reported answers a PollWorker. asked is when the poll was sent.
func (o *Owner) Reported(now, asked time.Time, id model.WorkerID, r platform.Report, err error) {
	if !o.begin(now) {
		return
	}
	w := o.workers[id]
	if errors.Is(err, platform.ErrStaleEpoch) || err == nil && r.Epoch > o.opts.Epoch {
		o.depose("a worker has accepted a newer epoch")
		return
	}
	if w == nil {
		return
	}
	w.polling = false
	switch {
	case err != nil:
		o.setSilent(w, true)
	case asked.After(w.asked):
		o.takeReport(w, asked, r)
	}
	o.advance()
}

func (o *Owner) setSilent(w *worker, silent bool) {
	if w.silent != silent {
		w.silent = silent
		o.upsert(w)
	}
}

func (o *Owner) takeReport(w *worker, asked time.Time, r platform.Report) {
	if w.boot != "" && w.boot != r.Boot {
		o.emit(Notice{Kind: NoticeWorkerRestarted, Partition: o.opts.Partition, Epoch: o.opts.Epoch, Worker: w.id})
	}
	w.boot, w.clock, w.asked, w.arrived = r.Boot, r.Clock, asked, o.now
	o.endOtherBoots(w)
	foreign := o.matchTasks(w, r)
	o.endAbsent(w, r)
	reconciled := r.Epoch == o.opts.Epoch && !foreign
	changed := reconciled != w.reconciled || w.silent || r.Capacity != w.capacity
	w.reconciled, w.silent, w.capacity = reconciled, false, r.Capacity
	if changed {
		o.upsert(w)
	}
	o.renewLeases(w)
}

// endOtherBoots ends the attempts bound to another boot of the worker: a restart
// ends its tasks, and a start bound to that boot is refused from now on.
func (o *Owner) endOtherBoots(w *worker) {
	for _, a := range sorted(w.attempts) {
		if a.boot != w.boot && a.phase != attemptAssumed {
			o.end(a, a.lostOutcome(), "its worker restarted")
		}
	}
}

// matchTasks compares the report with the grants and reports whether the worker
// runs what the log does not grant.
func (o *Owner) matchTasks(w *worker, r platform.Report) bool {
	foreign := false
	var ended []platform.TaskRef
	for _, t := range r.Tasks {
		a := w.attempts[t.Task]
		switch {
		case a != nil && a.ref == t.TaskRef && a.phase != attemptAssumed:
			o.observe(a, t)
		case t.State == platform.TaskRunning:
			foreign = true
			o.stopForeign(w, t)
		case !o.ending[t.TaskRef]:
			ended = append(ended, t.TaskRef)
		}
	}
	if len(ended) > 0 {
		o.emit(ForgetAttempts{Worker: w.id, Refs: ended})
	}
	return foreign
}

func (o *Owner) stopForeign(w *worker, t platform.TaskReport) {
	if t.Partition != o.opts.Partition {
		return // its own owner's; counted as taken until it is gone
	}
	o.emit(Notice{Kind: NoticeForeignTask, Partition: o.opts.Partition, Epoch: o.opts.Epoch,
		Task: t.Task, Attempt: t.Attempt, Worker: w.id})
	o.emit(StopTask{Worker: w.id, Ref: t.TaskRef})
}

// observe takes a worker's word on a granted attempt.
func (o *Owner) observe(a *attempt, t platform.TaskReport) {
	if t.Checkpoint != "" {
		a.checkpoint = t.Checkpoint
	}
	switch t.State {
	case platform.TaskRunning:
		if a.unresolved {
			o.started(a)
		}
		o.decider.Observe(o.now, schedule.Usage{Task: t.Task, Worker: a.worker, Used: t.Used, RunTime: t.Ran})
	case platform.TaskDone:
		o.end(a, model.OutcomeDone, "")
	case platform.TaskFailed:
		o.end(a, model.OutcomeFailed, "it exited with an error")
	default:
		o.end(a, a.lostOutcome(), "its worker reports it "+string(t.State))
	}
}

// endAbsent ends the attempts that the worker must have reported if it ran them.
func (o *Owner) endAbsent(w *worker, r platform.Report) {
	reported := make(map[platform.TaskRef]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		reported[t.TaskRef] = true
	}
	for _, a := range sorted(w.attempts) {
		if !reported[a.ref] && o.absenceProves(a, w, r) {
			o.end(a, a.lostOutcome(), "its worker reports that it is not there")
		}
	}
}

// absenceProves reports whether the attempt is not running and never will, given
// that the report lacks it. A start of this epoch whose result is open may still
// land; one of an earlier epoch is refused from the report on.
func (o *Owner) absenceProves(a *attempt, w *worker, r platform.Report) bool {
	switch {
	case a.phase == attemptRecovered:
		return r.Epoch == o.opts.Epoch
	case !a.sent() || a.unresolved:
		return false
	}
	return w.asked.After(a.knownAt)
}

// sortedWorkers lists the workers in a fixed order.
func (o *Owner) sortedWorkers() []*worker {
	list := slices.Collect(maps.Values(o.workers))
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}
