package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
)

// Suspects of one crash that no worker of their own can take are watched together on one, as in group testing: a crash leaves
// those of one group suspected, who are then divided again. So a task that crashes its workers is found with few crashes, and the time
// until all suspects are started does not grow with their number.
const (
	// suspectGroups is the number of groups for each worker into which the suspects of one crash are divided. On one worker, with three divisions, one in
	// 216 suspects is found.
	suspectGroups = 6
	// groupJoinTime is how long after its first start a group takes more tasks.
	groupJoinTime = 50 * time.Millisecond
	// maxClosedTime is how long the runs of a group keep others away from their worker. Longer probations go on beside others.
	maxClosedTime = 2 * time.Second
	// maxIsolationWait is how long a suspected task waits while other groups are watched. Then it is started beside one, apart from those before it.
	maxIsolationWait = 3 * time.Second
)

// isolationGroup are the suspected tasks on one worker, to which no other run is started there.
type isolationGroup struct {
	waiting   []*task       // for which the worker is held back; they have not been started
	runs      []*run        // on probation
	startedAt time.Duration // of the first of runs
	open      bool          // others may be started beside runs
	waveAt    time.Duration // when the last of runs that were started together began
	waveSize  int
	waveLimit int // the least groupLimit of them
}

func (g *isolationGroup) empty() bool { return len(g.waiting)+len(g.runs) == 0 }

// closed reports whether no run of another task may be started on the worker.
func (g *isolationGroup) closed() bool { return !g.empty() && !g.open }

// admits reports whether the task may join the group.
func (g *isolationGroup) admits(now time.Duration, t *task) bool {
	size := len(g.waiting) + len(g.runs)
	if size == 0 {
		return true
	}
	if len(g.runs) > 0 && now-g.startedAt > groupJoinTime {
		return false
	}
	limit := t.history.groupLimit
	for _, other := range g.waiting {
		limit = min(limit, other.history.groupLimit)
	}
	for _, r := range g.runs {
		limit = min(limit, r.task.history.groupLimit)
	}
	return size < limit
}

// admitsLate reports whether a task that has waited for long may be started beside the group: together with others up to the
// size of its group, and apart from those before, so that a crash that follows at once shows in which of them its cause is.
func (w *worker) admitsLate(now time.Duration, t *task) bool {
	g := &w.group
	return now-w.lastStartAt >= promptCrash || now-g.waveAt <= groupJoinTime && g.waveSize < min(g.waveLimit, t.history.groupLimit)
}

// groupLimit returns the size of the groups into which suspects are divided that the given number of workers may run.
func groupLimit(suspects, workers int) int {
	groups := suspectGroups * max(workers, 1)
	return max((suspects+groups-1)/groups, 1)
}

// holdBack keeps runs of other tasks off a worker until the task is started there.
func (d *Dispatcher) holdBack(now time.Duration, t *task, w *worker) {
	if t.history.heldBack == w {
		return
	}
	d.endHoldBack(t)
	if len(w.group.waiting) == 0 {
		d.heldBack = append(d.heldBack, w)
	}
	w.group.waiting = append(w.group.waiting, t)
	t.history.heldBack, t.history.heldBackSince = w, now
}

// endHoldBack holds no worker back for the task.
func (d *Dispatcher) endHoldBack(t *task) {
	w := t.history.heldBack
	if w == nil {
		return
	}
	t.history.heldBack = nil
	w.group.waiting = slices.DeleteFunc(w.group.waiting, func(other *task) bool { return other == t })
	if len(w.group.waiting) == 0 {
		d.heldBack = slices.DeleteFunc(d.heldBack, func(other *worker) bool { return other == w })
	}
	d.reopen(w)
}

// reopen lets other runs start on the worker if its group is empty.
func (d *Dispatcher) reopen(w *worker) {
	if w.group.empty() {
		w.group = isolationGroup{}
		d.markFreed(w)
	}
}

// beginIsolation starts the probation of a run.
func (d *Dispatcher) beginIsolation(now time.Duration, r *run) {
	w, g := r.worker, &r.worker.group
	if len(g.runs) == 0 {
		g.startedAt = now
	}
	if len(g.runs) == 0 || now-g.waveAt > groupJoinTime {
		g.waveAt, g.waveSize, g.waveLimit = now, 0, r.task.history.groupLimit
	}
	g.waveSize++
	g.waveLimit = min(g.waveLimit, r.task.history.groupLimit)
	r.isolated = true
	g.runs = append(g.runs, r)
	d.endHoldBack(r.task)
	r.task.history.waitingSince = 0
	d.events.Record(event.RunIsolated, w.entry.ID, r.id.Task, r.id.Run, r.task.history.crashes, len(w.runs)-1)
}

// endIsolation ends the probation of a run.
func (d *Dispatcher) endIsolation(r *run) {
	if !r.isolated {
		return
	}
	r.isolated = false
	w := r.worker
	w.group.runs = slices.DeleteFunc(w.group.runs, func(other *run) bool { return other == r })
	if r.task.history.planned == w {
		r.task.history.planned = nil
	}
	d.reopen(w)
}

// onProbation reports whether the run is on probation.
func (r *run) onProbation() bool { return r.isolated }

// watchedAlone reports whether nothing else was started on its worker since the start of a run on probation.
func (r *run) watchedAlone() bool {
	return r.isolated && len(r.worker.group.runs) == 1 && !r.worker.group.open
}

// advanceGroups ends hold-backs that are not needed any more, opens workers that were closed for long, and requests
// the reports that end probations.
func (d *Dispatcher) advanceGroups(now time.Duration) {
	for _, w := range slices.Clone(d.heldBack) {
		for _, t := range slices.Clone(w.group.waiting) {
			if t.step.job.closed() || !t.needsIsolation() || now-t.history.heldBackSince > 2*isolationWait {
				d.endHoldBack(t)
			}
		}
	}
	for _, w := range d.workerList {
		g := &w.group
		if len(g.runs) == 0 {
			continue
		}
		if !g.open && now-g.startedAt >= maxClosedTime {
			g.open = true
			d.markFreed(w)
		}
		if slices.ContainsFunc(g.runs, func(r *run) bool { return now-r.startSentAt >= r.task.probation() }) {
			d.queryStatus(now, w)
		}
	}
}
