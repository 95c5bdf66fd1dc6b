package main

import (
	"fmt"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/proof"
)

// Parameters of the simulated cluster.
const (
	tickInterval     = 200 * time.Millisecond // between two calls of Decide; a commit takes one tick
	decideLimit      = 1000
	firstReportDelay = 15 * time.Second // age at which a run's first usage report arrives
	reportInterval   = time.Minute
	checkpointTime   = 2 * time.Second  // from the command to the end of the run; work in it is lost
	failTime         = time.Second      // age at which a run on a faulty worker fails
	leaseHorizon     = 15 * time.Second // from a worker's failure until its tasks are known to have ended
)

// run is one execution of a task on a worker.
type run struct {
	task           *simTask
	worker         *simWorker
	granted        model.Resources
	limit          model.Resources // zero: not throttled
	startedAt      time.Time
	workSeconds    float64   // work done in this run, in seconds at full speed
	usesActualSize bool      // older than firstReportDelay; before, usage is limited to the grant
	lastReport     time.Time // time of the last usage report
	stopAt         time.Time // end of the run after a command; zero: no command
	stopOutcome    model.Outcome
	confirmed      bool
}

// usage returns the resources that the run currently uses, within its throttle limit.
func (r *run) usage() model.Resources {
	usage := r.task.arrival.actualSize
	if !r.usesActualSize && !usage.FitsIn(r.granted) {
		usage = minResources(usage, r.granted)
	}
	if !r.limit.IsZero() {
		usage = minResources(usage, r.limit)
	}
	return usage
}

// minResources returns the minimum of each resource.
func minResources(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// simWorker is a simulated worker.
type simWorker struct {
	schedule.Worker
	faulty bool
	down   bool
	runs   []*run
}

// simJob is the simulated state of a submitted job.
type simJob struct {
	arrival       *arrival
	tasks         map[model.TaskID]*simTask
	finishedTasks int // tasks that are done, or all tasks if the job was canceled
	failed        bool
	doneAt        time.Time
}

// simTask is the simulated state of a task.
type simTask struct {
	*simJob
	id                  model.TaskID
	checkpointedSeconds float64 // work saved by checkpoints, in seconds at full speed
	started             bool    // has started at least once
	run                 *run
}

// simulation runs one scenario with one Decider in simulated time.
type simulation struct {
	*scenario
	decider        *proof.Oracle
	now            time.Time
	workersByID    map[model.WorkerID]*simWorker
	simWorkers     []*simWorker // in the order of scenario.workers
	jobs           []*simJob
	unfinishedJobs []*simJob // not finished at the last sample
	jobsByID       map[model.JobID]*simJob
	pendingCancels []*simJob // sorted by time
	nextArrival    int       // index of the next arrival to submit
	result         *result
}

func newSimulation(s *scenario, d schedule.Decider, r *result) *simulation {
	sim := &simulation{
		scenario:    s,
		decider:     proof.NewOracle(d, r.recordViolation),
		now:         scenarioStart,
		workersByID: make(map[model.WorkerID]*simWorker),
		jobsByID:    make(map[model.JobID]*simJob),
		result:      r,
	}
	sim.decider.SetBranches(sim.now, s.branches)
	for _, w := range s.workers {
		worker := &simWorker{Worker: w, faulty: s.faulty[w.ID]}
		sim.workersByID[w.ID] = worker
		sim.simWorkers = append(sim.simWorkers, worker)
		sim.decider.UpsertWorker(sim.now, w)
	}
	return sim
}

func (sim *simulation) run() {
	for ticks := 0; sim.now.Before(sim.end); ticks++ {
		sim.submitArrivals()
		sim.cancelJobs()
		sim.applyOutages()
		for _, w := range sim.simWorkers {
			sim.advanceWorker(w)
		}
		sim.carryOutDecisions()
		if ticks%sampleIntervalTicks == 0 {
			sim.result.samplePacking(sim)
		}
		sim.now = sim.now.Add(tickInterval)
	}
	sim.result.recordRemaining(sim)
}

func (sim *simulation) submitArrivals() {
	for sim.nextArrival < len(sim.arrivals) && !sim.arrivals[sim.nextArrival].job.Submitted.After(sim.now) {
		a := sim.arrivals[sim.nextArrival]
		sim.nextArrival++
		j := &simJob{arrival: a, tasks: make(map[model.TaskID]*simTask)}
		for i := range a.job.Tasks {
			id := model.TaskID(fmt.Sprintf("%s/%d", a.job.ID, i))
			j.tasks[id] = &simTask{simJob: j, id: id}
		}
		sim.jobs = append(sim.jobs, j)
		sim.unfinishedJobs = append(sim.unfinishedJobs, j)
		sim.jobsByID[a.job.ID] = j
		if !a.cancelAt.IsZero() {
			sim.pendingCancels = append(sim.pendingCancels, j)
		}
		sim.decider.Submit(sim.now, a.job)
	}
}

func (sim *simulation) cancelJobs() {
	for len(sim.pendingCancels) > 0 && !sim.pendingCancels[0].arrival.cancelAt.After(sim.now) {
		j := sim.pendingCancels[0]
		sim.pendingCancels = sim.pendingCancels[1:]
		j.finishedTasks = len(j.tasks)
		sim.decider.Cancel(sim.now, j.arrival.job.ID)
	}
}

// isDue reports whether the time falls within the tick that ends now.
func (sim *simulation) isDue(t time.Time) bool {
	return !t.After(sim.now) && t.After(sim.now.Add(-tickInterval))
}

// applyOutages applies the notices, starts, lease expiries and ends of outages that are due in
// this tick.
func (sim *simulation) applyOutages() {
	for _, o := range sim.outages {
		for _, i := range o.workers {
			w := sim.simWorkers[i]
			switch {
			case o.notice > 0 && sim.isDue(o.at.Add(-o.notice)):
				w.Leaving = true
				sim.decider.UpsertWorker(sim.now, w.Worker)
			case sim.isDue(o.at):
				w.down = true
				w.Unreachable = true
				sim.decider.UpsertWorker(sim.now, w.Worker)
			case sim.isDue(o.at.Add(leaseHorizon)):
				sim.removeLostWorker(w)
			case sim.isDue(o.until):
				w.down, w.Leaving, w.Unreachable = false, false, false
				sim.decider.UpsertWorker(sim.now, w.Worker)
			}
		}
	}
}

// removeLostWorker reports the runs of a worker as lost and removes the worker.
func (sim *simulation) removeLostWorker(w *simWorker) {
	for len(w.runs) > 0 {
		sim.finishRun(w.runs[0], model.OutcomeLost)
	}
	sim.decider.RemoveWorker(sim.now, w.ID)
}

// advanceWorker advances the runs of a worker by one tick. If the worker lacks CPU, all its runs
// slow down alike. If it lacks memory, the run with the largest excess over its grant fails.
func (sim *simulation) advanceWorker(w *simWorker) {
	if w.down {
		return
	}
	var used model.Resources
	for _, r := range w.runs {
		used = used.Add(r.usage())
	}
	for used.MemoryMiB > w.Capacity.MemoryMiB {
		victim := w.runs[0]
		for _, r := range w.runs {
			if r.usage().MemoryMiB-r.granted.MemoryMiB > victim.usage().MemoryMiB-victim.granted.MemoryMiB {
				victim = r
			}
		}
		used = used.Sub(victim.usage())
		sim.finishRun(victim, model.OutcomeFailed)
	}
	speed := min(1, float64(w.Capacity.MilliCPU)/float64(max(used.MilliCPU, 1)))
	for i := len(w.runs) - 1; i >= 0; i-- {
		sim.advanceRun(w.runs[i], speed)
	}
}

// advanceRun advances a run by one tick, confirms it in its first tick and reports its usage or
// its end if due. The speed is 1 on a worker with enough CPU.
func (sim *simulation) advanceRun(r *run, speed float64) {
	if !r.confirmed {
		r.confirmed = true
		r.startedAt = sim.now
		sim.decider.Confirm(sim.now, r.task.id)
		sim.result.recordStart(sim, r)
	}
	arrival := r.task.arrival
	usage := r.usage()
	r.workSeconds += tickInterval.Seconds() * speed * float64(usage.MilliCPU) / float64(arrival.actualSize.MilliCPU)
	age := sim.now.Sub(r.startedAt)
	r.usesActualSize = age >= firstReportDelay
	switch {
	case !r.stopAt.IsZero() && !sim.now.Before(r.stopAt):
		sim.finishRun(r, r.stopOutcome)
	case r.worker.faulty && age >= failTime:
		sim.finishRun(r, model.OutcomeFailed)
	case arrival.actualRuntime > 0 && r.task.checkpointedSeconds+r.workSeconds >= arrival.actualRuntime.Seconds():
		sim.finishRun(r, model.OutcomeDone)
	case r.usesActualSize && sim.now.Sub(r.lastReport) >= reportInterval:
		r.lastReport = sim.now
		sim.decider.Observe(sim.now, schedule.Usage{Task: r.task.id, Worker: r.worker.ID, Used: usage, RunTime: age})
	}
}

// finishRun removes the run from its worker and reports its outcome. A run that ends before its
// first tick is confirmed first.
func (sim *simulation) finishRun(r *run, outcome model.Outcome) {
	w := r.worker
	for i := range w.runs {
		if w.runs[i] == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			break
		}
	}
	if !r.confirmed {
		sim.decider.Confirm(sim.now, r.task.id)
	}
	t := r.task
	t.run = nil
	sim.result.recordEnd(sim, r, outcome)
	switch outcome {
	case model.OutcomeDone:
		t.finishedTasks++
		if t.finishedTasks == len(t.tasks) && t.doneAt.IsZero() {
			t.doneAt = sim.now
		}
	case model.OutcomePreempted:
		t.checkpointedSeconds += max(0, r.workSeconds-checkpointTime.Seconds())
	case model.OutcomeFailed:
		t.failed = true
	}
	sim.decider.Finish(sim.now, t.id, outcome)
}

// carryOutDecisions calls Decide and applies the decisions. A stop takes effect in the next tick,
// a preemption or move after checkpointTime.
func (sim *simulation) carryOutDecisions() {
	for _, d := range sim.decider.Decide(sim.now, decideLimit) {
		t := sim.jobsByID[d.Job].tasks[d.Task]
		switch d.Action {
		case schedule.ActionPlace, schedule.ActionProbe:
			w := sim.workersByID[d.Worker]
			t.run = &run{task: t, worker: w, granted: d.Size}
			w.runs = append(w.runs, t.run)
		case schedule.ActionThrottle:
			t.run.limit = d.Limit
		case schedule.ActionStop:
			t.run.stopAt, t.run.stopOutcome = sim.now, model.OutcomeCanceled
		default:
			t.run.stopAt, t.run.stopOutcome = sim.now.Add(checkpointTime), model.OutcomePreempted
		}
		sim.result.recordDecision(d)
	}
}
