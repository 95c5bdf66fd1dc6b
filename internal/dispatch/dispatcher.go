package dispatch

import (
	"slices"
	"strings"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Dispatcher holds the scheduling state of one owner. All times are readings of one
// monotonic clock that continues while the machine is suspended.
type Dispatcher struct {
	opts      Options
	events    event.Recorder
	startedAt time.Duration
	// inheritedLeaseEnd is when all leases granted by earlier owners have expired, inheritedLongestEnd the same for workers that may
	// have granted the longest lease.
	inheritedLeaseEnd, inheritedLongestEnd time.Duration
	config                                 *fleet.Configuration

	workers     map[model.WorkerID]*worker
	workerList  []*worker // in order of first appearance, so that decisions are reproducible
	departures  map[model.WorkerID]departure
	freeWorkers freeIndex           // all workers
	accounts    map[string]*account // with submissions, by name
	settings    retainedSettings
	// unknownUsage bounds what runs of an earlier owner hold that this owner does not know of.
	unknownUsage model.Resources
	capacity     model.Resources // of the cluster at the last pass
	listedAt     time.Duration   // when the last list of workers was requested
	listFailing  bool            // the list has not been read since
	heldBack     []*worker       // for tasks that are started in isolation
	// crashesByAddress counts the crashes of the workers at each address.
	crashesByAddress map[string]addressCrashes
	jobs             map[fleet.JobID]*job
	activeJobs       []*job // jobs without a final state, in order of arrival
	finalJobs        []*job // jobs with a final state, in order of completion
	deferredJobs     []*job // large jobs whose tasks are not held yet, in order of arrival
	runs             map[fleet.RunID]*run
	runList          []*run         // in order of start; the sweep drops removed runs
	unsettledRuns    []*run         // runs whose start or stop has an unknown outcome
	freedWorkers     []*worker      // workers with freed capacity since the last placement pass
	reservations     []*reservation // of the last placement pass
	noVictims        failedDemands  // of steps that found no runs to preempt
	passDue          time.Duration
	stepsUnplaced    bool // steps found no worker in the last placement pass
	load             DecisionLoad
	// examinedBeforePass is load.Examined at the start of the placement pass.
	examinedBeforePass int64
	sweepDue           time.Duration
	earlyCancels       map[earlyCancel]bool // cancellations of submissions that have not arrived yet

	dirtyJobs         []*job
	finishedJobs      []finishedJob // to be compacted in the store
	removals          []removal
	waves             []*wave
	dirtyWaves        []*wave
	workerListDirty   bool
	settledSince      time.Duration // when the first worker settled that the list does not show; 0: none
	workerListWriting bool          // the worker list is in a batch in flight
	// ownerRecorded is set once the durable worker list names this owner. Before that it grants
	// no leases, because the next owner would query another owner about them.
	ownerRecorded bool
	recovered     bool
	lostOwnership bool
	authorizedAt  time.Duration // time of the last Decide call with authority
	suspended     bool          // during a Decide call without authority
	passedOver    bool          // there was a pass without authority since authorizedAt
	// provenRevision is the highest revision of the store at which this owner is known to have held the
	// owner key. Every successor's fencing token is higher.
	provenRevision int64

	kindSpeeds     map[string]*speedMean // by kind of worker
	recordedSpeeds map[string]float64    // slowdowns in events, by kind of worker
	speedsRecorded time.Duration

	adviceSlots    int // maximum number of advice calls in flight
	adviceInFlight int
	claimingCalls  int // advice calls in flight that claim room, see claimRoom

	commands       []Command
	feasibleBuffer []*worker
}

// New returns a dispatcher without workers and jobs.
func New(now time.Duration, opts Options, events event.Recorder) *Dispatcher {
	return &Dispatcher{
		opts: opts, events: events, startedAt: now, provenRevision: opts.Fence, inheritedLeaseEnd: leaseEnd(now, opts.MaxInheritedLease),
		inheritedLongestEnd: leaseEnd(now, max(opts.MaxInheritedLease, opts.MaxLease)),
		workers:             map[model.WorkerID]*worker{}, departures: map[model.WorkerID]departure{}, accounts: map[string]*account{}, settings: newRetainedSettings(), kindSpeeds: map[string]*speedMean{}, recordedSpeeds: map[string]float64{}, noVictims: failedDemands{}, jobs: map[fleet.JobID]*job{},
		crashesByAddress: map[string]addressCrashes{}, runs: map[fleet.RunID]*run{}, earlyCancels: map[earlyCancel]bool{}, adviceSlots: 1,
		workerListDirty: true,
	}
}

// SetConfiguration applies c if it is newer than the current configuration.
func (d *Dispatcher) SetConfiguration(c *fleet.Configuration) {
	if d.config != nil && c.Version <= d.config.Version {
		return
	}
	d.config = c
	d.retainSettings(c)
	for _, a := range d.accounts {
		d.applyAccountConfiguration(a)
	}
	for _, j := range d.activeJobs {
		d.setQueue(j)
		d.noteQueueSettings(j)
		j.retryOnAllWorkers()
	}
}

// SetAdviceSlots sets the number of VMs that can call the advice service; each makes one
// call at a time.
func (d *Dispatcher) SetAdviceSlots(n int) { d.adviceSlots = max(n, 1) }

// LostOwnership reports whether a worker or a machine has seen a higher fencing token.
func (d *Dispatcher) LostOwnership() bool { return d.lostOwnership }

// SetRecordedWorkers sets the workers on which an earlier owner may have started runs. Tasks
// accepted before this owner was elected are not started until each of these workers has
// reported or its lease has expired.
func (d *Dispatcher) SetRecordedWorkers(recorded []RecordedWorker) {
	for _, r := range recorded {
		w := d.ensureWorker(model.WorkerID(r.ID))
		w.recordedByPrevious = true
		w.peakCapacity, w.settled = r.Capacity, r.Settled
		if w.entry.Address == "" {
			w.entry.Address = r.Address
		}
	}
}

// PreviousOwnerStopped states that the previous owner has granted no leases since at. What a worker granted by commands to its
// earlier incarnations, it had granted before it became usable for that owner.
func (d *Dispatcher) PreviousOwnerStopped(at time.Duration) {
	d.inheritedLeaseEnd = min(d.inheritedLeaseEnd, leaseEnd(at, d.opts.Lease))
	d.inheritedLongestEnd = min(d.inheritedLongestEnd, leaseEnd(at, d.opts.MaxLease))
}

// ensureWorker returns the worker with the ID and adds it if it is new.
func (d *Dispatcher) ensureWorker(id model.WorkerID) *worker {
	w := d.workers[id]
	if w == nil {
		w = &worker{slowdown: 1, entry: fleet.WorkerEntry{ID: id}, runs: map[fleet.RunID]*run{}, lastReportAt: d.startedAt}
		d.returnOf(id, w)
		d.workers[id] = w
		d.workerList = append(d.workerList, w)
		d.freeWorkers.add(w)
	}
	return w
}

// SetWorkers applies the platform's complete list of workers, which was requested at readAt.
func (d *Dispatcher) SetWorkers(now, readAt time.Duration, entries []fleet.WorkerEntry) {
	d.listedAt, d.listFailing = max(d.listedAt, readAt), false
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
			d.events.Record(event.WorkerListed, e.ID, e.Service, e.Address, e.Domain, strings.Join(e.Labels, ","))
		}
		if !w.listed || w.entry.Draining && !e.Draining {
			d.markFreed(w)
		}
		if !w.listed || w.entry.Incarnation != e.Incarnation {
			w.listedSince = readAt
		}
		d.setEntry(w, e)
		if w.recorded != w.needsRecord() {
			d.workerListDirty = true
		}
	}
	for _, w := range d.workerList {
		if w.listed && !listed[w.entry.ID] {
			w.listed = false
			d.events.Record(event.WorkerUnlisted, w.entry.ID, len(w.runs))
		}
	}
	d.markRetired()
	d.markVacating()
}

// AddJob adds an accepted submission and reports whether it was unknown before. The store
// accepted it at revision, age ago; p is its stored progress, or nil if there is none. A compacted
// submission requires a final state in p.
func (d *Dispatcher) AddJob(now time.Duration, sub *fleet.Submission, revision int64, age time.Duration, p *Progress) bool {
	if d.jobs[sub.ID] != nil {
		return false
	}
	j := &job{revision: revision, state: fleet.StatePending, durableState: fleet.StatePending, arrivedAt: now - age}
	j.setSubmission(sub)
	d.jobs[sub.ID] = j
	d.setQueue(j)
	if j.account = d.accountOf(sub); j.account != nil {
		j.beyondRate = !j.account.rate.Take(j.arrivedAt)
	}
	j.tooLarge = tasksPerOccurrence(sub) > maxTasksPerOccurrence
	if !sub.HasSchedule() && !j.tooLarge {
		d.createFirst(j)
	}
	if p != nil {
		d.restoreProgress(j, p)
	}
	if j.state.Final() {
		j.finishedAt = now
		d.finalJobs = append(d.finalJobs, j)
		d.queueCompaction(now, j)
		return true
	}
	d.activeJobs = append(d.activeJobs, j)
	d.noteQueueSettings(j)
	if d.earlyCancels[earlyCancel{sub.ID, sub.Account}] {
		d.Cancel(now, sub.ID, sub.Account)
	}
	if j.tooLarge && !j.closed() {
		d.finishJob(now, j, fleet.StateFailed, "one occurrence has more tasks than an owner can hold")
	}
	d.finishIfComplete(now, j)
	return true
}

// earlyCancel is a cancellation by an account of a submission that has not arrived yet.
type earlyCancel struct {
	id      fleet.JobID
	account string
}

// Cancel cancels a submission of the account, empty for none, and reports whether this changes
// anything. A submission that is not known yet is canceled when it is added. The cancellation of
// another account's submission has no effect.
func (d *Dispatcher) Cancel(now time.Duration, id fleet.JobID, account string) bool {
	key := earlyCancel{id, account}
	j := d.jobs[id]
	if j == nil {
		isNew := !d.earlyCancels[key]
		d.earlyCancels[key] = true
		return isNew
	}
	delete(d.earlyCancels, key)
	if j.sub.Account != "" && j.sub.Account != account {
		return false
	}
	if j.closed() {
		return false
	}
	j.canceled = true
	d.finishJob(now, j, fleet.StateCanceled, "canceled by the caller")
	return true
}

// finishJob sets a job's final state and stops its runs.
func (d *Dispatcher) finishJob(now time.Duration, j *job, state fleet.State, reason string) {
	j.state = state
	j.finishedAt = now
	if state == fleet.StateFailed {
		j.failureCause = reason
	}
	d.markDirty(j)
	d.events.Record(event.SubmissionFinished, j.sub.ID, state, reason, now-j.arrivedAt, j.objective)
	d.activeJobs = slices.DeleteFunc(d.activeJobs, func(other *job) bool { return other == j })
	d.finalJobs = append(d.finalJobs, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					d.requestStop(now, r, reason)
				}
			}
		}
	}
}

// finishIfComplete finishes a job whose tasks are all done.
func (d *Dispatcher) finishIfComplete(now time.Duration, j *job) {
	if j.closed() {
		return
	}
	if j.sub.HasSchedule() {
		j.dropComplete()
	}
	if j.complete() {
		d.finishJob(now, j, fleet.StateCompleted, "all tasks are done")
	}
}

// Status returns the status of a submission as reported to callers. A final state is reported
// only once it is durable: until then a new owner could learn it only from the workers'
// results, and the workers may have left.
func (d *Dispatcher) Status(id fleet.JobID) fleet.Status {
	j := d.jobs[id]
	if j == nil {
		return fleet.Status{}
	}
	status := fleet.Status{State: fleet.StatePending, Account: j.sub.Account}
	switch {
	case j.durableState.Final():
		status.State, status.Cause = j.durableState, j.failureCause
	case j.started || j.state.Final():
		status.State = fleet.StateRunning
	}
	return status
}

// QueueLengths returns, for each queue, the number of accepted submissions without a
// started task.
func (d *Dispatcher) QueueLengths() map[string]int {
	counts := map[string]int{}
	for _, j := range d.activeJobs {
		if !j.started {
			counts[j.sub.Queue]++
		}
	}
	return counts
}

// requestStop marks a run to be stopped. Its capacity stays reserved until its worker
// reports the result or no longer lists it.
func (d *Dispatcher) requestStop(now time.Duration, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	d.addUnsettled(r)
	r.phase, r.stopReason = runStopping, reason
	r.stopDue = now
	r.worker.stoppingDemand = r.worker.stoppingDemand.Add(r.demand)
	if a := r.task.step.job.account; a != nil {
		a.stopping = a.stopping.Add(r.task.step.def.Demand)
	}
}

// addUnsettled adds a run to those that sendStops processes.
func (d *Dispatcher) addUnsettled(r *run) {
	if r.phase != runUncertain && r.phase != runStopping {
		d.unsettledRuns = append(d.unsettledRuns, r)
	}
}

// RunsAt returns the runs that hold capacity on a worker, for tests.
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
