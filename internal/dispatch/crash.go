package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Attribution of worker crashes to tasks. A task that crashes its workers does so soon after its start, so a
// crash is attributed to the runs that had begun shortly before it. Their tasks are started again in isolation
// (isolation.go); a task that crashes a worker there is given up.
const (
	// startupWindow is the age below which a run is suspected in a crash of its worker at once.
	startupWindow = 500 * time.Millisecond
	// crashWindow is the age below which a crash is counted at all. Tasks with several such crashes are suspected, too.
	crashWindow = 10 * time.Second
	// suspectCrashes is the number of counted crashes that makes a task suspected whatever the ages of its runs.
	suspectCrashes = 2
	// crashesToFail is the number of crashes with which a crash in isolation fails the submission, if it is known to have
	// followed the start within decisiveCrash. Otherwise, or if workers crash repeatedly at the address, it has another
	// cause more easily, and crashesToFailLate are needed.
	crashesToFail     = 2
	crashesToFailLate = 3
	decisiveCrash     = 60 * time.Millisecond
	// promptCrash is the age below which a run is suspected alone, if the time of the crash is known.
	promptCrash = 150 * time.Millisecond
	// maxCrashes is the number of crashes in a row, with possible ones, that fails the submission in any case.
	maxCrashes = 5
	// maxEarlyCrashes is the same without possible ones, if all of them came soon after a start, so that the task was suspected in each.
	maxEarlyCrashes = 4
	// maxGangCrashes is the same for a gang, as runs shortly after whose start a worker of a member crashed. A gang is not
	// isolated, so crashes under it may well be caused by others, and one may not have been counted.
	maxGangCrashes = 4
	// gangApartTime is how long a gang waits for workers on which nothing has just begun.
	gangApartTime = 5 * time.Second
	// settleWait is how long a task that has crashed a worker waits to learn whether the next one crashed, too.
	settleWait = 6 * time.Second
	// exposureTimeout is how long an unresponsive worker may still prove to have crashed.
	exposureTimeout = 20 * time.Second
	// repeatedCrashTime is the time within which a second crash at one address is attributed to the worker.
	repeatedCrashTime = 20 * time.Second
)

// crashHistory is what is known of crashes of workers under a task.
type crashHistory struct {
	crashes   int  // under runs whose start was confirmed, since a run last lived for crashWindow
	doubtful  int  // of crashes, under runs that may have ended before
	possible  int  // under runs that may not have been there, as the start got no response
	lateCrash bool // a counted crash came later than startupWindow after the start, or its age is not known
	suspect   bool // until a run in isolation outlives its probation
	exposed   []*exposure
	version   int64 // of the job's progress that contains the counted crashes
	// suspects is the number of runs that are suspected in the last crash, this task's included; 0: none yet.
	suspects      int
	waitingSince  time.Duration // when a worker was first sought that is not without runs; 0: none is sought
	planned       *worker       // for the next start in isolation, and while that run is on probation; nil: none
	heldBack      *worker       // kept free of other new runs for the task; nil: none
	heldBackSince time.Duration
	groupLimit    int // size of a group that the task may be in, at the last attempt to start it
}

// exposure is a run on a worker that may have crashed: it stopped responding, and it is not known yet whether it
// restarts or continues. Exposures of early runs are durable, so that a new owner can attribute the crash.
type exposure struct {
	task        *task
	worker      *worker
	incarnation int64 // of the worker when the run was started
	run         int64
	origin      *run // nil: it was started by an earlier owner
	early       bool // the run is suspected, as it was among the youngest
	decisive    bool // the connection was lost within decisiveCrash after the start, and it is no repeated crash at its address
	isolated    bool
	confirmed   bool // the run had started
	// connectionLost is set if the connection was lost when the worker stopped responding. A worker that responds lists an end
	// at once, so the run had not ended by then.
	connectionLost bool
	together       int // runs that are exposed by the same event
	since          time.Duration
}

// needsIsolation reports whether the task's next run is started in isolation.
func (t *task) needsIsolation() bool {
	return t.history.suspect || slices.ContainsFunc(t.history.exposed, func(e *exposure) bool { return e.early })
}

// mayStartIsolated reports whether a suspected task may be started: its counted crashes are in the store, so that no
// owner starts it without knowing of them, and it does not wait to learn of another one.
func (t *task) mayStartIsolated(now time.Duration) bool {
	h := &t.history
	unsettled := slices.ContainsFunc(h.exposed, func(e *exposure) bool { return e.early && now-e.since < settleWait })
	return t.step.job.durableVersion >= h.version && (h.crashes+h.possible == 0 || !unsettled)
}

// probation is the age up to which a run in isolation is watched.
func (t *task) probation() time.Duration {
	if t.history.crashes >= suspectCrashes && t.history.lateCrash {
		return crashWindow
	}
	return startupWindow
}

// noIncarnation is the incarnation of a worker that does not exist any more.
const noIncarnation = -1

// exposeRuns records that a worker may have crashed under the given runs of it, at the time connectionLostAt or, if that
// is 0, at any time since its last report. A worker that announced that it leaves, or whose machine was taken down,
// does not crash.
func (d *Dispatcher) exposeRuns(now, connectionLostAt time.Duration, w *worker, runs []*run) {
	if w.leaving() || w.crashExplained {
		return
	}
	crashedAt := max(connectionLostAt, w.lastReportAt)
	early := func(limit time.Duration) func(*run) bool {
		return func(r *run) bool { return !r.adopted && crashedAt-r.startSentAt < limit }
	}
	isEarly, isPrompt := early(startupWindow), early(promptCrash)
	prompt := connectionLostAt != 0 && slices.ContainsFunc(runs, isPrompt)
	watched := !prompt && w.group.closed() && slices.ContainsFunc(runs, (*run).onProbation)
	switch {
	case prompt:
		isEarly = isPrompt
	case watched:
		isEarly = (*run).onProbation
	}
	signs := crashSigns{at: crashedAt, connectionLost: connectionLostAt != 0, prompt: prompt}
	for _, r := range runs {
		if isEarly(r) {
			signs.suspects++
		}
	}
	if w.crashExplained = prompt || watched; w.crashExplained {
		runs = slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return !isEarly(r) })
	}
	signs.together = len(runs)
	for _, r := range runs {
		d.exposeRun(now, r, isEarly(r), signs)
	}
}

// leaving reports whether the worker is expected to end.
func (w *worker) leaving() bool { return w.entry.Draining || w.retired || w.vacating }

// crashSigns is what is known of a possible crash of a worker.
type crashSigns struct {
	at             time.Duration // the earliest time of the crash; the time itself if the connection was lost
	connectionLost bool
	prompt         bool // the connection was lost, and runs had begun less than promptCrash before
	suspects       int  // runs that are suspected
	together       int  // runs that are counted
}

// exposeRun records that a run's worker may have crashed. Older runs than crashWindow, and gangs that did not just begin,
// are not counted.
func (d *Dispatcher) exposeRun(now time.Duration, r *run, early bool, signs crashSigns) {
	j := r.task.step.job
	age := signs.at - r.startSentAt
	if r.exposed || r.released || j.closed() || age >= crashWindow || r.task.step.def.Gang && !early {
		return
	}
	r.exposed = true
	e := &exposure{
		task: r.task, worker: r.worker, incarnation: r.worker.incarnation, run: r.id.Run, origin: r, since: now,
		early: early, confirmed: r.confirmedAt != 0, connectionLost: signs.connectionLost, together: signs.together,
		isolated: signs.suspects <= 1 && (r.isolated && signs.prompt || r.watchedAlone()),
		decisive: signs.prompt && age < decisiveCrash && !d.crashesRepeatedly(now, r.worker),
	}
	d.addExposure(e)
	if e.early {
		r.task.history.suspects = signs.suspects
		d.markDirty(j)
	}
}

func (d *Dispatcher) addExposure(e *exposure) {
	e.task.history.exposed = append(e.task.history.exposed, e)
	e.task.step.hasSuspects = true
	e.worker.exposures = append(e.worker.exposures, e)
}

// dropExposure removes an exposure from its task; the caller removes it from the worker.
func (d *Dispatcher) dropExposure(e *exposure) {
	h := &e.task.history
	h.exposed = slices.DeleteFunc(h.exposed, func(other *exposure) bool { return other == e })
	e.task.step.tryAllWorkers = true
}

// settleExposures decides the exposures of a worker that responds with an incarnation: it has crashed under
// those of other incarnations.
func (d *Dispatcher) settleExposures(now time.Duration, w *worker, incarnation int64) {
	exposures := w.exposures
	w.exposures, w.crashExplained = nil, false
	for _, e := range exposures {
		d.dropExposure(e)
		switch {
		case e.incarnation == incarnation && e.origin != nil:
			e.origin.exposed = false
		case e.incarnation != incarnation && !w.leaving():
			d.countCrash(now, e)
		}
	}
}

// takeDoubtfulExposures removes and returns the exposures of runs that may have been started by the incarnation that responds now.
func (w *worker) takeDoubtfulExposures() []*exposure {
	var doubtful []*exposure
	w.exposures = slices.DeleteFunc(w.exposures, func(e *exposure) bool {
		taken := e.origin != nil && e.origin.endedIncarnation != 0
		if taken {
			doubtful = append(doubtful, e)
		}
		return taken
	})
	return doubtful
}

// settleDoubtfulExposures decides the exposures of runs that may have been started by the incarnation whose report has been applied:
// its worker has crashed under those that the report does not list.
func (d *Dispatcher) settleDoubtfulExposures(now time.Duration, doubtful []*exposure) {
	for _, e := range doubtful {
		d.dropExposure(e)
		if !e.origin.removed && e.origin.endedIncarnation == 0 {
			e.origin.exposed = false
		} else if !e.worker.leaving() {
			d.countCrash(now, e)
		}
	}
}

// dropOldExposures drops the exposures of workers about which nothing became known.
func (d *Dispatcher) dropOldExposures(now time.Duration) {
	for _, w := range d.workerList {
		w.exposures = slices.DeleteFunc(w.exposures, func(e *exposure) bool {
			old := now-e.since > exposureTimeout
			if old {
				d.dropExposure(e)
			}
			return old
		})
	}
}

// mayHaveEnded reports whether the run may have ended before the crash, which is counted now.
func (e *exposure) mayHaveEnded(now time.Duration) bool {
	return !e.connectionLost && (e.origin == nil || now-e.origin.startSentAt >= e.task.step.def.Estimate/2)
}

// countCrash counts a crash of the worker of a run against its task, and fails the submission if the task has
// crashed a worker in isolation.
func (d *Dispatcher) countCrash(now time.Duration, e *exposure) {
	t := e.task
	j, h := t.step.job, &t.history
	if j.closed() || t.state == taskDone {
		return
	}
	if t.step.def.Gang {
		d.countGangCrash(now, e)
		return
	}
	if e.confirmed {
		h.crashes++
		if e.mayHaveEnded(now) {
			h.doubtful++
		}
	} else {
		h.possible++
	}
	h.suspect = h.suspect || e.early || h.crashes >= suspectCrashes
	h.lateCrash = h.lateCrash || !e.early
	if !e.early {
		h.suspects = e.together
	}
	t.step.hasSuspects = true
	d.markDirty(j)
	h.version = j.version
	d.events.Record(event.CrashCounted, e.worker.entry.ID, t.id(), e.run, h.crashes, h.possible, e.early, e.isolated)
	limit := crashesToFailLate
	if e.decisive && h.crashes-h.doubtful >= crashesToFail {
		limit = crashesToFail
	}
	tooMany := h.crashes+h.possible >= maxCrashes || !h.lateCrash && h.crashes >= maxEarlyCrashes
	if e.isolated && e.confirmed && h.crashes >= limit || tooMany {
		d.finishJob(now, j, fleet.StateFailed, fmt.Sprintf("task %v crashed %d workers", t.id(), h.crashes+h.possible))
	}
}

// countUnnoticedCrash counts the crash of a run's worker that no failed renewal has shown: the worker restarted after the
// run's start was confirmed, and does not list it. The age of the run at that time is not known, so it is not suspected at once.
func (d *Dispatcher) countUnnoticedCrash(now time.Duration, r *run) {
	if r.endedIncarnation == 0 || r.exposed || r.released || r.worker.leaving() {
		return
	}
	d.countCrash(now, &exposure{
		task: r.task, worker: r.worker, incarnation: r.endedIncarnation, run: r.id.Run, origin: r, since: now,
		isolated: r.watchedAlone(), confirmed: true,
	})
}

// countGangCrash counts a crash against a gang, once for each run of it.
func (d *Dispatcher) countGangCrash(now time.Duration, e *exposure) {
	s := e.task.step
	if slices.Contains(s.gangCrashedRuns, e.run) {
		return
	}
	s.gangCrashedRuns = append(s.gangCrashedRuns, e.run)
	s.apartUntil = now + gangApartTime
	d.markDirty(s.job)
	d.events.Record(event.CrashCounted, e.worker.entry.ID, e.task.id(), e.run, len(s.gangCrashedRuns), 0, e.early, e.isolated)
	if len(s.gangCrashedRuns) >= maxGangCrashes {
		d.finishJob(now, s.job, fleet.StateFailed, fmt.Sprintf("gang %v crashed %d workers", s.id, len(s.gangCrashedRuns)))
	}
}

// recordSurvival updates the crash history of a run that its worker lists in a report requested at sent.
func (d *Dispatcher) recordSurvival(sent time.Duration, r *run) {
	t := r.task
	age := sent - r.startSentAt
	if r.isolated && age >= t.probation() {
		d.endIsolation(r)
		t.history.suspect = false
		d.markDirty(t.step.job)
	}
	if age < crashWindow {
		return
	}
	t.history.crashes, t.history.doubtful, t.history.possible, t.history.lateCrash = 0, 0, 0, false
	t.step.gangCrashedRuns = nil
}

// noteCrash records the crash of a worker, and that workers crash at its address repeatedly.
func (d *Dispatcher) noteCrash(now time.Duration, w *worker, proof lossProof) {
	if w.leaving() || len(w.runs) == 0 && len(w.exposures) == 0 {
		return
	}
	suspected, isolated := 0, false
	for _, e := range w.exposures {
		if e.early {
			suspected++
		}
		isolated = isolated || e.isolated
	}
	d.events.Record(event.WorkerCrashed, w.entry.ID, proof, len(w.runs), suspected)
	if isolated {
		return // the crash is attributed to the task
	}
	maps.DeleteFunc(d.crashesByAddress, func(_ string, c addressCrashes) bool { return now-c.last > repeatedCrashTime })
	count := d.crashesByAddress[w.entry.Address].count + 1
	d.crashesByAddress[w.entry.Address] = addressCrashes{count: count, last: now}
}

// addressCrashes counts the crashes at one address.
type addressCrashes struct {
	count int
	last  time.Duration
}

// crashesRepeatedly reports whether workers have crashed repeatedly at the worker's address.
func (d *Dispatcher) crashesRepeatedly(now time.Duration, w *worker) bool {
	c := d.crashesByAddress[w.entry.Address]
	return c.count > 1 && now-c.last < repeatedCrashTime
}
