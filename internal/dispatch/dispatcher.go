package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Dispatcher is the state of one owner. Times are readings of one steady clock that also
// counts suspended time.
type Dispatcher struct {
	opts      Options
	events    event.Recorder
	startedAt time.Duration
	// inherited is when all that earlier owners granted has surely run out.
	inheritedLeaseEnd time.Duration
	config            *fleet.Configuration

	workers       map[model.WorkerID]*worker
	workerList    []*worker // in the order of their appearance, so that decisions repeat
	jobs          map[fleet.JobID]*job
	activeJobs    []*job // not final, by arrival
	finalJobs     []*job // final, by the time of their end
	runs          map[fleet.RunID]*run
	runList       []*run    // in the order of their start; those that are gone are dropped by compact
	unsettledRuns []*run    // whose start or stop is not settled
	freedWorkers  []*worker // since the last pass
	passDue       time.Duration
	stepsUnplaced bool // steps found no room at the last pass
	sweepDue      time.Duration
	earlyCancels  map[fleet.JobID]bool // of submissions that are not known yet

	dirtyJobs         []*job
	removals          []fleet.JobID
	waves             []*wave
	dirtyWaves        []*wave
	workerListDirty   bool
	workerListWriting bool // the record of workers is in a batch that is out
	ownerRecorded     bool // the record names this owner; before that nothing is granted, as a successor would ask another
	recovered         bool
	lostOwnership     bool
	authorizedAt      time.Duration // of the last decision with authority

	adviceSlots    int // calls for advice that may be out at once
	adviceInFlight int

	commands []Command
}

// New returns a dispatcher that knows nothing yet.
func New(now time.Duration, opts Options, events event.Recorder) *Dispatcher {
	return &Dispatcher{
		opts: opts, events: events, startedAt: now, inheritedLeaseEnd: leaseEnd(now, opts.MaxInheritedLease),
		workers: map[model.WorkerID]*worker{}, jobs: map[fleet.JobID]*job{},
		runs: map[fleet.RunID]*run{}, earlyCancels: map[fleet.JobID]bool{}, adviceSlots: 1,
		workerListDirty: true,
	}
}

// SetConfiguration takes a newer configuration.
func (d *Dispatcher) SetConfiguration(c *fleet.Configuration) {
	if d.config != nil && c.Version <= d.config.Version {
		return
	}
	d.config = c
	for _, j := range d.activeJobs {
		d.setQueue(j)
		j.retryOnAllWorkers()
	}
}

// SetAdviceSlots says how many VMs can ask for advice, each one call at a time.
func (d *Dispatcher) SetAdviceSlots(n int) { d.adviceSlots = max(n, 1) }

// LostOwnership reports whether a worker has seen a higher fencing token.
func (d *Dispatcher) LostOwnership() bool { return d.lostOwnership }

// SetRecordedWorkers names the workers on which an earlier owner may have started runs. Until each
// has reported or its lease has run out, tasks accepted before this owner are not started.
func (d *Dispatcher) SetRecordedWorkers(recorded []RecordedWorker) {
	for _, r := range recorded {
		w := d.ensureWorker(model.WorkerID(r.ID))
		w.recordedByPrevious = true
		if w.entry.Address == "" {
			w.entry.Address = r.Address
		}
	}
}

// PreviousOwnerEnded says that the owner before has granted nothing since the given time.
func (d *Dispatcher) PreviousOwnerEnded(at time.Duration) {
	if end := leaseEnd(at, d.opts.Lease); end < d.inheritedLeaseEnd {
		d.inheritedLeaseEnd = end
	}
}

// worker finds or adds a worker.
func (d *Dispatcher) ensureWorker(id model.WorkerID) *worker {
	w := d.workers[id]
	if w == nil {
		w = &worker{entry: fleet.WorkerEntry{ID: id}, runs: map[fleet.RunID]*run{}, lastReportAt: d.startedAt}
		d.workers[id] = w
		d.workerList = append(d.workerList, w)
	}
	return w
}

// SetWorkers takes the platform's whole list.
func (d *Dispatcher) SetWorkers(now time.Duration, entries []fleet.WorkerEntry) {
	listed := make(map[model.WorkerID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		w := d.ensureWorker(e.ID)
		if w.entry.Address != e.Address {
			w.renewDue = now
		}
		if e.Draining {
			w.drainEnd = now + e.DrainRemaining
		}
		if e.Draining && !w.entry.Draining {
			d.events.Record(event.WorkerDraining, e.ID, e.DrainRemaining)
		}
		if !w.listed {
			d.events.Record(event.WorkerListed, e.ID, e.Service, e.Address, e.Domain)
		}
		if !w.listed || w.entry.Draining && !e.Draining {
			d.markFreed(w)
		}
		w.retired = w.retired && e.Incarnation == w.retiredIncarnation
		w.entry, w.listed = e, true
		if w.recorded == w.drained() {
			d.workerListDirty = true
		}
	}
	for _, w := range d.workerList {
		if w.listed && !listed[w.entry.ID] {
			w.listed = false
			d.events.Record(event.WorkerUnlisted, w.entry.ID, len(w.runs))
		}
	}
	d.markVacating()
}

// AddJob takes an accepted submission, and reports whether it is new here; progress is nil
// for one that was just accepted.
func (d *Dispatcher) AddJob(now time.Duration, sub *fleet.Submission, revision int64, age time.Duration, p *Progress) bool {
	if d.jobs[sub.ID] != nil {
		return false
	}
	j := &job{sub: sub, revision: revision, state: fleet.StatePending, durableState: fleet.StatePending, arrivedAt: now - age}
	j.steps = make([][]*step, max(sub.Occurrences, 1))
	d.jobs[sub.ID] = j
	d.setQueue(j)
	if !sub.HasSchedule() {
		j.createSteps(0)
	}
	if p != nil {
		d.restoreProgress(j, p)
	}
	if j.state.Final() {
		j.finishedAt = now
		d.finalJobs = append(d.finalJobs, j)
		return true
	}
	d.activeJobs = append(d.activeJobs, j)
	if d.earlyCancels[sub.ID] {
		d.Cancel(now, sub.ID)
	}
	d.finishIfComplete(now, j)
	return true
}

// Cancel ends a submission, and reports whether that is news; one that is not known yet is
// cancelled when it comes.
func (d *Dispatcher) Cancel(now time.Duration, id fleet.JobID) bool {
	j := d.jobs[id]
	if j == nil {
		news := !d.earlyCancels[id]
		d.earlyCancels[id] = true
		return news
	}
	delete(d.earlyCancels, id)
	if j.closed() {
		return false
	}
	j.canceled = true
	d.finishJob(now, j, fleet.StateCanceled, "the caller cancelled it")
	return true
}

// finish gives a job its final state and stops what runs of it.
func (d *Dispatcher) finishJob(now time.Duration, j *job, state fleet.State, reason string) {
	j.state = state
	j.finishedAt = now
	d.markDirty(j)
	d.events.Record(event.SubmissionEnded, j.sub.ID, state, reason, now-j.arrivedAt, j.objective)
	d.activeJobs = slices.DeleteFunc(d.activeJobs, func(other *job) bool { return other == j })
	d.finalJobs = append(d.finalJobs, j)
	for _, steps := range j.steps {
		for _, s := range steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					d.requestStop(now, r, reason)
				}
			}
		}
	}
}

// settle ends a job whose tasks have all ended.
func (d *Dispatcher) finishIfComplete(now time.Duration, j *job) {
	if !j.closed() && j.complete() {
		d.finishJob(now, j, fleet.StateCompleted, "all tasks are done")
	}
}

// State is what callers are told. A final state is told once it is durable: until then a
// successor would have to find the ends at their workers, which may have left.
func (d *Dispatcher) State(id fleet.JobID) fleet.State {
	j := d.jobs[id]
	switch {
	case j == nil:
		return fleet.StateUnknown
	case j.durableState.Final():
		return j.durableState
	case j.started || j.state.Final():
		return fleet.StateRunning
	}
	return fleet.StatePending
}

// WaitingByQueue counts by queue the accepted submissions of which no task has started.
func (d *Dispatcher) WaitingByQueue() map[string]int {
	counts := map[string]int{}
	for _, j := range d.activeJobs {
		if !j.started {
			counts[j.sub.Queue]++
		}
	}
	return counts
}

// stop decides that a run has to end. Its room is held until its end is listed.
func (d *Dispatcher) requestStop(now time.Duration, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	d.addUnsettled(r)
	r.phase, r.reason = runStopping, reason
	r.stopDue = now
	r.worker.stoppingDemand = r.worker.stoppingDemand.Add(r.demand)
}

// unsettled adds a run to those that stops looks at.
func (d *Dispatcher) addUnsettled(r *run) {
	if r.phase != runUncertain && r.phase != runStopping {
		d.unsettledRuns = append(d.unsettledRuns, r)
	}
}

// RunsAt lists the runs booked on a worker, for tests.
func (d *Dispatcher) RunsAt(id model.WorkerID) []fleet.RunID {
	w := d.workers[id]
	if w == nil {
		return nil
	}
	out := make([]fleet.RunID, 0, len(w.runs))
	for id := range w.runs {
		out = append(out, id)
	}
	return out
}
