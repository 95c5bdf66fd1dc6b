package dispatch

import (
	"cmp"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// A task that may crash its worker is started on a worker without other runs if possible, and no run is started
// beside it while it is on probation. So its crash ends nothing else, and shows which task is the cause.
const (
	// isolationWait is how long a task waits for a worker without runs, which is kept free of new ones meanwhile; one of 2n
	// suspects in a crash waits an n-th of that. Afterwards it is started beside older runs: a suspected task that
	// crashes nothing must not wait for long.
	isolationWait = 2 * time.Second
	// workersPerHeldBack is the number of workers for each that may be held back at a time.
	workersPerHeldBack = 8
	minHeldBack        = 2
)

// isolatedWorker returns the worker on which to start a task in isolation, or nil if it has to wait. The run of a task with
// counted crashes is recorded before it is started: the next owner would not know of a crash that follows at once.
func (d *Dispatcher) isolatedWorker(now time.Duration, s *step, t *task) *worker {
	h := &t.history
	w := d.chooseIsolatedWorker(now, s, t)
	if w == nil || h.crashes+h.possible == 0 || w == h.planned && s.job.durableVersion >= h.version {
		return w
	}
	if w != h.planned {
		h.planned = w
		if w.heldBackFor == nil {
			d.holdBack(now, t, w)
		}
		d.markDirty(s.job)
		h.version = s.job.version
	}
	return nil
}

// chooseIsolatedWorker chooses the worker for a start in isolation, or holds one back for the task and returns nil.
func (d *Dispatcher) chooseIsolatedWorker(now time.Duration, s *step, t *task) *worker {
	h, demand := &t.history, reservedCapacity(s.def)
	overdue := h.waitingSince != 0 && now-h.waitingSince >= t.isolationWait()
	if w := h.heldBack; w != nil {
		switch {
		case !d.canIsolate(now, s, w):
			d.endHoldBack(w)
		case !demand.FitsIn(w.free()):
			return nil
		case len(w.runs) == 0 || overdue:
			return w
		default:
			return nil
		}
	}
	best := d.bestForIsolation(now, s, overdue)
	if best == nil {
		return nil
	}
	if demand.FitsIn(best.free()) && (len(best.runs) == 0 || overdue) {
		return best
	}
	if h.waitingSince == 0 {
		h.waitingSince = now
	}
	if len(d.heldBack) < max(minHeldBack, len(d.workerList)/workersPerHeldBack) {
		d.holdBack(now, t, best)
	}
	return nil
}

// holdBack keeps other new runs off a worker.
func (d *Dispatcher) holdBack(now time.Duration, t *task, w *worker) {
	w.heldBackFor, w.heldBackSince, t.history.heldBack = t, now, w
	d.heldBack = append(d.heldBack, w)
}

// bestForIsolation returns the worker on which a task of the step ends the fewest runs if it crashes, or nil. A task that is
// overdue gets one that it fits on at once, if there is any.
func (d *Dispatcher) bestForIsolation(now time.Duration, s *step, overdue bool) *worker {
	var best *worker
	var bestCost isolationCost
	candidates := d.startCandidates(s)
	d.load.Examined += int64(len(candidates))
	for _, w := range candidates {
		if w.heldBackFor != nil || !d.canIsolate(now, s, w) {
			continue
		}
		cost := d.isolationCost(now, w)
		if overdue && !reservedCapacity(s.def).FitsIn(w.free()) {
			cost.full = 1
		}
		if best == nil || cost.compare(bestCost) < 0 {
			best, bestCost = w, cost
		}
	}
	return best
}

// isolationWait is how long the task waits for a worker without runs.
func (t *task) isolationWait() time.Duration {
	if t.history.crashes >= suspectCrashes {
		return isolationWait
	}
	return isolationWait / time.Duration(max(t.history.suspects/2, 1))
}

// canIsolate reports whether a task of the step may be started on the worker in isolation, at once or when its
// runs have ended.
func (d *Dispatcher) canIsolate(now time.Duration, s *step, w *worker) bool {
	return w.acceptsRuns(now) && w.isolated == nil && w.mayProbe(s) && d.satisfiesConstraints(s, w) &&
		reservedCapacity(s.def).FitsIn(w.entry.Capacity) && (w.reservedFor == nil || w.reservedFor.step == s) &&
		(s.job.queue.Advice == nil || s.advice.hasTicket(now, w.entry.ID))
}

// isolationCost rates a worker for a task in isolation, lower being better.
type isolationCost struct {
	full      int           // 1: an overdue task does not fit now
	probing   int           // 1: its runs have failed, and it is probed
	crashes   int           // 1: workers crash at its address repeatedly
	remaining int           // runs that are likely to continue after isolationWait
	vacant    time.Duration // until the others have ended
}

func (c isolationCost) compare(other isolationCost) int {
	return cmp.Or(cmp.Compare(c.full, other.full), cmp.Compare(c.probing, other.probing), cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.remaining, other.remaining), cmp.Compare(c.vacant, other.vacant))
}

func (d *Dispatcher) isolationCost(now time.Duration, w *worker) isolationCost {
	var c isolationCost
	if d.crashesRepeatedly(now, w) {
		c.crashes = 1
	}
	if w.probing {
		c.probing = 1
	}
	for _, r := range w.runs {
		left := time.Duration(float64(r.task.step.def.Estimate)*float64(fullPace-r.percent)/fullPace) - (now - r.progressAt)
		if r.task.step.def.LongRunning || left > isolationWait {
			c.remaining++
			continue
		}
		c.vacant = max(c.vacant, left, time.Millisecond)
	}
	return c
}

// endHoldBack lets other runs start on the worker.
func (d *Dispatcher) endHoldBack(w *worker) {
	t := w.heldBackFor
	if t == nil {
		return
	}
	w.heldBackFor, t.history.heldBack = nil, nil
	for i, other := range d.heldBack {
		if other == w {
			d.heldBack = append(d.heldBack[:i], d.heldBack[i+1:]...)
			break
		}
	}
	d.markFreed(w)
}

// endUnusedHoldBacks releases the workers that are held back for tasks that do not wait any more.
func (d *Dispatcher) endUnusedHoldBacks(now time.Duration) {
	for i := len(d.heldBack) - 1; i >= 0; i-- {
		w := d.heldBack[i]
		if t := w.heldBackFor; t.step.job.closed() || !t.needsIsolation() || now-w.heldBackSince > 2*isolationWait {
			d.endHoldBack(w)
		}
	}
}

// beginIsolation starts the probation of a run.
func (d *Dispatcher) beginIsolation(r *run) {
	w := r.worker
	d.endHoldBack(w)
	if held := r.task.history.heldBack; held != nil {
		d.endHoldBack(held)
	}
	r.task.history.waitingSince = 0
	r.isolated, w.isolated = true, r
	d.events.Record(event.RunIsolated, w.entry.ID, r.id.Task, r.id.Run, r.task.history.crashes, len(w.runs)-1)
}

// endIsolation lets other runs start beside a run.
func (d *Dispatcher) endIsolation(r *run) {
	if r.worker.isolated == r {
		r.worker.isolated = nil
		d.markFreed(r.worker)
	}
	if r.isolated && r.task.history.planned == r.worker {
		r.task.history.planned = nil
	}
	r.isolated = false
}

// recordEndOfRun clears the suspicion of a task whose run has ended without a crash.
func (t *task) recordEndOfRun(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeDone || outcome == fleet.OutcomeFailed {
		t.history.suspect = false
	}
}
