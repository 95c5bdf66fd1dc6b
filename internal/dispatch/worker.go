package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// worker is the known state of one worker. Invariant: used is the sum of the demands in runs.
type worker struct {
	entry              fleet.WorkerEntry
	listed             bool // in the platform's list
	recorded           bool // in the durable worker list, with its address; runs start only on workers that a new owner would know
	recordedByPrevious bool // an earlier owner may have started runs there that are not known yet

	incarnation int64
	reported    bool // this incarnation has reported its runs
	// incarnationSince is when this incarnation first reported.
	incarnationSince time.Duration
	unproven         bool          // the owner is suspended, and the incarnation is not known from before; see suspension.go
	clock            int64         // ms on the worker's clock at clockAt
	clockAt          time.Duration // when the report with the clock reading arrived
	leaseDeadline    int64         // latest end of the lease there that this owner knows of, in ms on the worker's clock; 0: none
	// renewalsSinceReport and startsSinceReport count the commands with a deadline that were sent after the last answered
	// renewal. Another incarnation may have executed them.
	renewalsSinceReport, startsSinceReport int

	// Fencing tokens, see fencing.go. Invariant: seenFence and commandFence are not above fence.
	fence        int64 // of the next command
	seenFence    int64 // that this incarnation has answered
	commandFence int64 // highest of a command that has an effect
	staleFence   int64 // highest of the commands to earlier incarnations, which may be executed until staleUntil
	staleUntil   time.Duration
	// staleDeadline is the latest deadline of the commands to earlier incarnations, on their clocks; lateLeaseEnd is when a lease has
	// ended that the current incarnation grants by one of those that were in flight at its last report, 0 once it rejects them.
	staleDeadline int64
	lateLeaseEnd  time.Duration
	// startLeaseEnd is when a lease has ended that the incarnation grants which answered the last starts, at startAnsweredAt at
	// the latest; 0 once a later report shows which one that is.
	startLeaseEnd, startAnsweredAt time.Duration

	// settled is the incarnation whose leases all have the ordinary length, 0 if there is none that is known. The incarnation that
	// responds settles at settlesAt, once a lease of that length outlasts any other that it may have granted.
	settled           int64
	settlesAt         time.Duration
	recordedUnsettled bool // the durable worker list names no settled incarnation

	renewInFlight          bool
	renewDue               time.Duration
	renewAddress           string        // destination of the last renewal
	renewSentAt            time.Duration // when the last renewal was sent
	statusQueryInFlight    bool
	statusQueryDue         time.Duration
	failedRenewals         int // consecutive failed renewals
	lastReportAt           time.Duration
	incarnationConfirmedAt time.Duration // when the last answered renewal was sent; what was confirmed before that is not of a later incarnation

	claimedMilliCPU         int64 // by advice calls in flight that name the worker
	freeClass, freePosition int   // see freeIndex

	runs           map[fleet.RunID]*run
	used           model.Resources
	stoppingDemand model.Resources // part of used that belongs to runs being stopped

	lastResult    int64        // highest result number processed
	durableResult int64        // results up to this number are durable
	resultsKnown  bool         // a report of this incarnation contained all results that were not acknowledged
	pendingAcks   []pendingAck // processed results that are not durable yet
	ackInFlight   int64        // number acknowledged by the renewal in flight; 0: none
	ackConfirmed  int64        // highest number acknowledged by an answered renewal

	quarantine
	backoffUntil      time.Duration
	lastStartAt       time.Duration // when a run was last started there
	servingRuns       int           // runs with a latency target
	fillerRuns        int
	inFreedList       bool          // in Dispatcher.freedWorkers
	inBackoff         bool          // backoffUntil was in the future at the last sweep
	drainEnd          time.Duration // a draining worker remains at least until then
	consecutiveStalls int           // stalled runs since the last completed one

	speed    speedMean // of its runs
	slowdown float64   // expected duration of a run relative to other workers; 1: no known difference

	reservedFor *reservation // of the most urgent gang that chose the worker; nil: none

	listedSince time.Duration // when the list that first had this incarnation was requested
	vacating    bool          // its machine is about to be maintained
	retired     bool          // its machine was taken down, which ends this incarnation

	// peakCapacity is the largest capacity of this incarnation, and of the one that an earlier owner recorded. Runs on
	// the worker may hold that much, whatever its capacity is now.
	peakCapacity model.Resources

	exposures []*exposure // of runs, if it may have crashed
	// crashExplained is set if the cause of the crash is among the exposed runs, as others had begun long before.
	crashExplained bool
	group          isolationGroup // of suspected tasks
}

// pendingAck is a result that may be acknowledged once the job's version is durable.
type pendingAck struct {
	number  int64
	job     *job
	version int64
}

// runPhase is the dispatcher's knowledge of a run.
type runPhase uint8

const (
	runStarting  runPhase = iota // the start command is in flight
	runUncertain                 // the response to the start was lost: it may run now or later
	runRunning
	runStopping // a stop was requested; capacity stays reserved until the run is known to have ended
)

// run is one run of a task, from its start command until it is known to have ended.
type run struct {
	id              fleet.RunID
	task            *task
	worker          *worker
	demand          model.Resources
	phase           runPhase
	startSentAt     time.Duration
	startFence      int64         // fencing token of the start; 0: an earlier owner sent it
	stopFence       int64         // fencing token of the last stop
	confirmedAt     time.Duration // when the start was confirmed by its response or by a report; 0: not yet
	checkpoint      string
	percent         int
	progressAt      time.Duration // when percent last changed
	load            int
	pace            int // percent of CPU time; paceUnknown after a lost response
	paceInFlight    bool
	paceDue         time.Duration
	uncertainSince  time.Duration // when the start failed with an unknown outcome
	stopInFlight    bool
	stopDue         time.Duration // when to send the next stop command
	stopSentAt      time.Duration // when the last stop command was sent
	stopConfirmedAt time.Duration // when the first stop was confirmed; 0: not yet
	released        bool          // the task no longer depends on this run
	stopReason      string
	removed         bool // it no longer holds capacity
	preempted       bool // stopped for a more urgent step
	backfilled      bool // started on a worker that is reserved for a gang
	copied          bool // a speculative copy was started
	isolated        bool // started in isolation, and on probation
	adopted         bool // started by an earlier owner; its age is not known
	// endedIncarnation is the incarnation of its worker that has ended, if the start may have been confirmed by that one
	// or by the next; 0: no doubt.
	endedIncarnation int64
	exposed          bool // its worker may have crashed; an exposure was recorded
}

func (w *worker) target() fleet.Target {
	return fleet.Target{ID: w.entry.ID, Address: w.entry.Address}
}

func (w *worker) free() model.Resources { return w.entry.Capacity.Sub(w.used) }

// unclaimed returns the free capacity that no advice call in flight claims.
func (w *worker) unclaimed() model.Resources {
	free := w.free()
	free.MilliCPU -= w.claimedMilliCPU
	return free
}

// placeable reports whether new runs may be started on the worker, except those of its group.
func (w *worker) placeable(now time.Duration) bool {
	return !w.group.closed() && w.acceptsRuns(now)
}

// acceptsRuns reports whether the state of the worker itself allows new runs.
func (w *worker) acceptsRuns(now time.Duration) bool {
	known := w.listed && w.recorded && w.leaseRecorded() && !w.unproven && w.capacityKnown() && w.reported
	return known && w.failedRenewals == 0 && !w.leaving() && w.fenced(now) && now >= w.backoffUntil
}

// estimatedClock estimates the worker's clock in ms.
func (w *worker) estimatedClock(now time.Duration) int64 {
	return w.clock + (now - w.clockAt).Milliseconds()
}

// nextAck returns the number to acknowledge, or 0 if the worker has already received it.
// Numbers restart with each incarnation, so each is sent only until a renewal with it is answered.
func (w *worker) nextAck() int64 {
	if w.durableResult <= w.ackConfirmed {
		return 0
	}
	return w.durableResult
}

// leaseExpiry returns when all runs on the worker have been terminated for lack of a renewal.
// The worker's clock may be slow, which lengthens the lease on this owner's clock.
func (w *worker) leaseExpiry(d *Dispatcher) time.Duration {
	if !w.reported {
		return d.inheritedEnd(w)
	}
	left := time.Duration(max(w.leaseDeadline-w.clock, 0)) * time.Millisecond
	end := leaseEnd(w.clockAt, left)
	if w.leaseDeadline == 0 { // only an earlier owner's lease
		end = max(end, d.inheritedEnd(w))
	}
	return max(end, w.lateLeaseEnd, w.startLeaseEnd)
}

// inheritedEnd returns when all leases on the worker that were granted under earlier owners have expired.
func (d *Dispatcher) inheritedEnd(w *worker) time.Duration {
	if w.settled == 0 || w.entry.Incarnation != 0 && w.entry.Incarnation != w.settled {
		return d.inheritedLongestEnd
	}
	return d.inheritedLeaseEnd
}

// unansweredLeaseEnd returns when a run has ended whose start got no answer: an incarnation that the owner does not know may have executed
// it. It is 0 if the start was confirmed, or a report that was requested later shows which incarnation responds.
func (r *run) unansweredLeaseEnd(maxLease time.Duration) time.Duration {
	if r.uncertainSince == 0 || r.confirmedAt != 0 || r.worker.incarnationConfirmedAt > r.uncertainSince {
		return 0
	}
	return leaseEnd(r.uncertainSince, maxLease)
}

// leaseEnd returns when a lease granted no later than at has expired on any worker's clock.
func leaseEnd(at, lease time.Duration) time.Duration {
	return at + time.Duration(float64(lease)/minClockRate) + leaseExpiryMargin
}

// drained reports whether a draining worker has no runs and all its results are durable. A new
// owner does not need a report from it.
func (w *worker) drained() bool {
	return w.entry.Draining && w.vacant() && len(w.pendingAcks) == 0
}

// vacant reports whether neither a run nor an unknown result is on the worker according to its reports to this owner.
func (w *worker) vacant() bool { return w.reported && w.resultsKnown && len(w.runs) == 0 }

// needsRecord reports whether the worker belongs in the durable list. One that has never reported to this owner has no run
// of it; if it does not answer either, its entry may be of another writer, and every new owner would wait for it.
func (w *worker) needsRecord() bool {
	unknown := !w.reported && w.failedRenewals >= unknownAfterFailedRenewals
	return (w.listed && !unknown || w.recordedByPrevious || len(w.runs) > 0 || len(w.pendingAcks) > 0) && !w.drained()
}

// addRun reserves the capacity of a run on its worker.
func (d *Dispatcher) addRun(r *run) {
	w, s := r.worker, r.task.step
	w.runs[r.id] = r
	w.used = w.used.Add(r.demand)
	d.freeWorkers.update(w)
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.entry.ID]++
	}
	if s.def.LatencyTarget > 0 {
		w.servingRuns++
	}
	if s.def.Filler {
		w.fillerRuns++
	}
	if a := s.job.account; a != nil {
		a.usage = a.usage.Add(s.def.Demand)
	}
	d.runs[r.id] = r
	d.runList = append(d.runList, r)
}

// removeRun frees the capacity of a run.
func (d *Dispatcher) removeRun(r *run) {
	w, s := r.worker, r.task.step
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	delete(d.runs, r.id)
	w.used = w.used.Sub(r.demand)
	d.freeWorkers.update(w)
	d.markFreed(w)
	if r.phase == runStopping {
		w.stoppingDemand = w.stoppingDemand.Sub(r.demand)
	}
	r.removed = true
	d.endIsolation(r)
	if w.probe == r {
		d.endProbe(w)
	}
	if a := s.job.account; a != nil {
		a.usage = a.usage.Sub(s.def.Demand)
		if r.phase == runStopping {
			a.stopping = a.stopping.Sub(s.def.Demand)
		}
	}
	if s.runsPerWorker != nil {
		if s.runsPerWorker[w.entry.ID]--; s.runsPerWorker[w.entry.ID] <= 0 {
			delete(s.runsPerWorker, w.entry.ID)
		}
	}
	if s.def.LatencyTarget > 0 {
		w.servingRuns--
	}
	if s.def.Filler {
		w.fillerRuns--
	}
}

// releaseTask detaches the task from a run that is known to have ended.
func (d *Dispatcher) releaseTask(r *run) {
	if r.released {
		return
	}
	r.released = true
	t := r.task
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	t.step.tryAllWorkers = true
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	if t.state == taskActive && len(t.runs) == 0 {
		t.state = taskWaiting
		t.step.waiting++
		t.step.firstWaiting = min(t.step.firstWaiting, t.index)
	}
}

// endRun releases the task and frees the capacity of a run that is known to have ended.
func (d *Dispatcher) endRun(r *run) {
	d.releaseTask(r)
	d.removeRun(r)
}

// lossProof is what proved that a run has ended with its worker, as events name it.
type lossProof string

const (
	lostByRestart     lossProof = "restart"       // a new incarnation responds
	lostByReplacement lossProof = "replacement"   // another worker responds at the address
	lostByExpiry      lossProof = "lease-expired" // no proof that the worker crashed
)

// loseRun ends a run that was lost with its worker.
func (d *Dispatcher) loseRun(now time.Duration, r *run, proof lossProof) {
	w := r.worker
	r.task.step.job.runLostAt = now
	d.events.Record(event.RunLost, w.entry.ID, r.id.Task, r.id.Run, proof, max(w.lastReportAt-r.startSentAt, 0), now-w.lastReportAt)
	d.endRun(r)
}

// reservedCapacity returns the capacity that a task of the step reserves. A filler task uses
// only idle CPU time, so it reserves no CPU.
func reservedCapacity(s *fleet.Step) model.Resources {
	size := s.Demand
	if s.Filler {
		size.MilliCPU = 0
	}
	return size
}
