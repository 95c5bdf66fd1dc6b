package dispatch

import (
	"cmp"
	"time"

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
		d.holdBack(now, t, w)
		d.markDirty(s.job)
		h.version = s.job.version
	}
	return nil
}

// chooseIsolatedWorker chooses the worker for a start in isolation, or holds one back for the task and returns nil.
func (d *Dispatcher) chooseIsolatedWorker(now time.Duration, s *step, t *task) *worker {
	h, demand := &t.history, reservedCapacity(s.def)
	waited := time.Duration(0)
	if h.waitingSince != 0 {
		waited = now - h.waitingSince
	}
	overdue, late := waited >= t.isolationWait(), waited >= maxIsolationWait
	if w := h.heldBack; w != nil {
		begun := len(w.group.runs) > 0 // those of its group are started with it
		switch {
		case !d.canIsolate(now, s, w):
			d.endHoldBack(t)
		case !demand.FitsIn(w.free()):
			return nil
		case late:
			if w.admitsLate(now, t) {
				return w
			}
			return nil
		case w.onlyGroupRuns(), overdue && (begun || now-w.lastStartAt >= startupWindow):
			return w
		default:
			return nil
		}
	}
	best, blocked := d.bestForIsolation(now, s, t, overdue, late)
	if h.waitingSince == 0 && (blocked || best != nil && !best.onlyGroupRuns()) {
		h.waitingSince = now
	}
	if best == nil {
		return nil
	}
	if demand.FitsIn(best.free()) && (best.onlyGroupRuns() || overdue) {
		return best
	}
	if !best.group.empty() || len(d.heldBack) < max(minHeldBack, len(d.workerList)/workersPerHeldBack) {
		d.holdBack(now, t, best)
	}
	return nil
}

// onlyGroupRuns reports whether nothing but suspected tasks on probation is on the worker.
func (w *worker) onlyGroupRuns() bool { return len(w.runs) == len(w.group.runs) }

// bestForIsolation returns the worker on which a task of the step ends the fewest runs if it crashes, or nil. A task that is
// overdue gets one that it fits on at once, if there is any, and a late one may join any group. blocked reports whether a worker is left
// out for its group.
func (d *Dispatcher) bestForIsolation(now time.Duration, s *step, t *task, overdue, late bool) (best *worker, blocked bool) {
	var bestCost isolationCost
	candidates := d.startCandidates(s)
	d.load.Examined += int64(len(candidates))
	d.feasibleBuffer = d.feasibleBuffer[:0]
	for _, w := range candidates {
		if d.canIsolate(now, s, w) {
			d.feasibleBuffer = append(d.feasibleBuffer, w)
		}
	}
	t.history.groupLimit = groupLimit(t.history.suspects, len(d.feasibleBuffer))
	for _, w := range d.feasibleBuffer {
		if !w.group.admits(now, t) && !(late && w.admitsLate(now, t)) {
			blocked = true
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
	return best, blocked
}

// isolationWait is how long the task waits for a worker without runs.
func (t *task) isolationWait() time.Duration {
	if t.history.crashes >= suspectCrashes && t.history.lateCrash {
		return isolationWait
	}
	return isolationWait / time.Duration(max(t.history.suspects/2, 1))
}

// canIsolate reports whether a task of the step may be started on the worker in isolation, at once or when its
// runs have ended.
func (d *Dispatcher) canIsolate(now time.Duration, s *step, w *worker) bool {
	return w.acceptsRuns(now) && w.mayProbe(s) && d.satisfiesConstraints(s, w) &&
		reservedCapacity(s.def).FitsIn(w.entry.Capacity) && (w.reservedFor == nil || w.reservedFor.step == s) &&
		(s.job.queue.Advice == nil || s.advice.hasTicket(now, w.entry.ID))
}

// isolationCost rates a worker for a task in isolation, lower being better.
type isolationCost struct {
	full      int           // 1: an overdue task does not fit now
	group     int           // suspected tasks that are or will be watched there
	probing   int           // 1: its runs have failed, and it is probed
	crashes   int           // 1: workers crash at its address repeatedly
	remaining int           // runs that are likely to continue after isolationWait
	vacant    time.Duration // until the others have ended
}

func (c isolationCost) compare(other isolationCost) int {
	return cmp.Or(cmp.Compare(c.full, other.full), cmp.Compare(c.group, other.group), cmp.Compare(c.probing, other.probing), cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.remaining, other.remaining), cmp.Compare(c.vacant, other.vacant))
}

func (d *Dispatcher) isolationCost(now time.Duration, w *worker) isolationCost {
	c := isolationCost{group: len(w.group.waiting) + len(w.group.runs)}
	if d.crashesRepeatedly(now, w) {
		c.crashes = 1
	}
	if w.probing {
		c.probing = 1
	}
	for _, r := range w.runs {
		if r.isolated {
			continue
		}
		left := time.Duration(float64(r.task.step.def.Estimate)*float64(fullPace-r.percent)/fullPace) - (now - r.progressAt)
		if r.task.step.def.LongRunning || left > isolationWait {
			c.remaining++
			continue
		}
		c.vacant = max(c.vacant, left, time.Millisecond)
	}
	return c
}

// recordEndOfRun clears the suspicion of a task whose run has ended without a crash.
func (t *task) recordEndOfRun(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeDone || outcome == fleet.OutcomeFailed {
		t.history.suspect = false
	}
}
