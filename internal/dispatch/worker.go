package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// worker is what is known of one worker. Invariant: used is the sum of the demands in runs.
type worker struct {
	entry              fleet.WorkerEntry
	listed             bool // in the platform's list
	recorded           bool // in the durable record; no run is started on one that a successor would not know
	recordedByPrevious bool // recorded by an earlier owner: what that owner started may run there

	incarnation   int64
	reported      bool          // a report of this incarnation has told what runs there
	clock         int64         // ms on the worker's clock, read at clockAt
	clockAt       time.Duration // when the answer with the reading arrived
	leaseDeadline int64         // latest deadline ever sent, on the worker's clock; 0: none

	renewInFlight          bool // a hold is out
	renewDue               time.Duration
	renewAddress           string        // address of the last hold
	renewSentAt            time.Duration // when it was sent
	statusQueryInFlight    bool          // a look is out
	statusQueryDue         time.Duration
	failedRenewals         int // holds failed in a row
	lastReportAt           time.Duration
	incarnationConfirmedAt time.Duration // when the last answered hold was sent: the incarnation lived then

	runs           map[fleet.RunID]*run
	used           model.Resources
	stoppingDemand model.Resources // part of used whose runs are being stopped

	lastResult     int64 // highest end processed
	durableResult  int64 // ends up to here are durable
	pendingAcks    []pendingAck
	ackInFlight    int64         // in the hold that is out
	ackConfirmed   int64         // highest number in a hold that was answered
	ackUncertainAt time.Duration // when the last hold with a number was given up, while the worker is silent; 0: none
	ackLostAt      time.Duration // when a hold with a number was lost by a worker that lived on; 0: never

	consecutiveFailures int // in a row
	lastFailedJob       fleet.JobID
	avoidUntil          time.Duration
	probing             bool
	servingRuns         int // runs with a latency target
	fillerRuns          int
	inFreedList         bool          // in Dispatcher.gained
	inBackoff           bool          // avoidUntil lay ahead at the last scan
	drainEnd            time.Duration // until when a draining worker surely stays
	consecutiveStalls   int           // runs in a row that made no progress

	vacating           bool  // its machine is to be maintained
	retired            bool  // its machine was ordered down, which ends this incarnation
	retiredIncarnation int64 // that incarnation, as its entry says
}

// pendingAck is an end that may be forgotten once the job's version is durable.
type pendingAck struct {
	number  int64
	job     *job
	version int64
}

// runPhase is how sure the dispatcher is of a run.
type runPhase uint8

const (
	runStarting  runPhase = iota // the start is out
	runUncertain                 // its answer was lost: it may run, now or later
	runRunning
	runStopping // a stop was decided; room is held until the end is listed
)

// run is one run of a task, assumed, confirmed or on its way out.
type run struct {
	id              fleet.RunID
	task            *task
	worker          *worker
	demand          model.Resources
	phase           runPhase
	startSentAt     time.Duration // of the start
	confirmedAt     time.Duration // of the start's answer, or of the first report with it; 0: none
	checkpoint      string
	percent         int
	progressAt      time.Duration // when percent last rose
	load            int
	pace            int // percent; paceUnknown after a lost answer
	paceInFlight    bool
	paceDue         time.Duration
	uncertainSince  time.Duration // when its start was given up without an answer
	stopInFlight    bool          // a stop is on its way
	stopDue         time.Duration // when to send the next one
	stopConfirmedAt time.Duration // of the first answered stop; 0: none
	released        bool          // the task no longer waits for this run
	reason          string        // of the stop
	removed         bool          // not booked any more
	preempted       bool          // stopped to make room
	copied          bool          // a copy was started because this one may be lost
}

func (w *worker) target() fleet.Target {
	return fleet.Target{ID: w.entry.ID, Address: w.entry.Address}
}

func (w *worker) free() model.Resources { return w.entry.Capacity.Sub(w.used) }

// placeable reports whether the worker takes new runs.
func (w *worker) placeable(now time.Duration) bool {
	return w.listed && w.recorded && w.reported && w.failedRenewals == 0 && !w.entry.Draining && !w.vacating && !w.retired && now >= w.avoidUntil
}

// clockNow estimates the worker's clock.
func (w *worker) estimatedClock(now time.Duration) int64 {
	return w.clock + (now - w.clockAt).Milliseconds()
}

// unsentAck is the number to acknowledge, 0 if the worker has heard it. Numbers begin again
// with each incarnation: one that is carried out late by the next would forget ends that
// nobody has seen, so each is sent only until it is answered.
func (w *worker) nextAck() int64 {
	if w.durableResult <= w.ackConfirmed {
		return 0
	}
	return w.durableResult
}

// lapse is when everything that ran there has surely been killed for want of a hold. The
// worker's clock may run slow, which makes the lease longer on ours.
func (w *worker) leaseExpiry(d *Dispatcher) time.Duration {
	if !w.reported {
		return d.inheritedLeaseEnd
	}
	left := time.Duration(max(w.leaseDeadline-w.clock, 0)) * time.Millisecond
	end := leaseEnd(w.clockAt, left)
	if w.leaseDeadline == 0 { // only an earlier owner's lease
		end = max(end, d.inheritedLeaseEnd)
	}
	return end
}

// leaseEnd is when a lease that was granted at most that long before the given time has run out.
func leaseEnd(at, lease time.Duration) time.Duration {
	return at + time.Duration(float64(lease)/minClockRate) + leaseExpiryMargin
}

// departing reports whether nothing runs on a worker, nothing will be started there, and all
// its ends are durable: a successor need not hear it.
func (w *worker) drained() bool {
	return w.entry.Draining && w.reported && len(w.runs) == 0 && len(w.pendingAcks) == 0
}

// attach books a run on its worker.
func (d *Dispatcher) addRun(r *run) {
	w, s := r.worker, r.task.step
	w.runs[r.id] = r
	w.used = w.used.Add(r.demand)
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.entry.ID]++
	}
	if s.def.LatencyTarget > 0 {
		w.servingRuns++
	}
	if s.def.Filler {
		w.fillerRuns++
	}
	d.runs[r.id] = r
	d.runList = append(d.runList, r)
}

// detach frees the room of a run.
func (d *Dispatcher) removeRun(r *run) {
	w, s := r.worker, r.task.step
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	delete(d.runs, r.id)
	w.used = w.used.Sub(r.demand)
	d.markFreed(w)
	if r.phase == runStopping {
		w.stoppingDemand = w.stoppingDemand.Sub(r.demand)
	}
	r.removed = true
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

// release makes the task independent of the run, which is known not to run any more.
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
	}
}

// end is release and detach: the run is gone from its worker.
func (d *Dispatcher) endRun(r *run) {
	d.releaseTask(r)
	d.removeRun(r)
}

// reserve is what a step's task takes of a worker. A filler takes the processor time that
// others leave, so its CPU is not counted.
func reservedCapacity(s *fleet.Step) model.Resources {
	size := s.Demand
	if s.Filler {
		size.MilliCPU = 0
	}
	return size
}
