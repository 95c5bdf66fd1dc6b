package main

import (
	"fmt"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/proof"
)

// Times of the fakes.
const (
	tickInterval     = 200 * time.Millisecond // between two calls of Decide; a commit takes one
	decideLimit      = 1000
	firstReportDelay = 15 * time.Second // age at which a run's first usage report arrives
	reportInterval   = time.Minute
	checkpointTime   = 2 * time.Second  // from the command to the end of the run; this work is lost
	failTime         = time.Second      // a run on a bad worker
	leaseHorizon     = 15 * time.Second // from a worker's silence to the proof that its tasks ended
)

// run is a task's copy on a worker.
type run struct {
	task           *simTask
	worker         *simWorker
	granted        model.Resources
	limit          model.Resources // zero: not throttled
	startedAt      time.Time
	workSeconds    float64   // seconds of work at full speed in this run
	usesActualSize bool      // past reportLag: uses its true size
	lastReport     time.Time // last usage report
	stopAt         time.Time // end after a command; zero: none
	stopOutcome    model.Outcome
	confirmed      bool
}

// use is what the run takes from its worker.
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

func minResources(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// host is a fake worker.
type simWorker struct {
	schedule.Worker
	faulty bool
	down   bool
	runs   []*run
}

// jobFacts is the truth about a submitted job.
type simJob struct {
	arrival   *arrival
	tasks     map[model.TaskID]*simTask
	doneTasks int
	failed    bool
	doneAt    time.Time
}

// taskFacts is the truth about a task.
type simTask struct {
	*simJob
	id                  model.TaskID
	checkpointedSeconds float64 // seconds of work kept by checkpoints
	started             bool    // once
	run                 *run
}

// cluster plays one scenario against one Decider, with a clock of its own.
type simulation struct {
	*scenario
	decider        *proof.Oracle
	now            time.Time
	workersByID    map[model.WorkerID]*simWorker
	simWorkers     []*simWorker
	jobs           []*simJob
	unfinishedJobs []*simJob // not ended at the last sample
	jobsByID       map[model.JobID]*simJob
	pendingCancels []*simJob // in order of time
	nextArrival    int       // arrival not yet submitted
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
		j.doneTasks = len(j.tasks)
		sim.decider.Cancel(sim.now, j.arrival.job.ID)
	}
}

// at reports whether the clock passes the time in this tick.
func (sim *simulation) isDue(t time.Time) bool {
	return !t.After(sim.now) && t.After(sim.now.Add(-tickInterval))
}

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

// bury reports the runs of a lost worker.
func (sim *simulation) removeLostWorker(w *simWorker) {
	for len(w.runs) > 0 {
		sim.finishRun(w.runs[0], model.OutcomeLost)
	}
	sim.decider.RemoveWorker(sim.now, w.ID)
}

// advance moves the runs of a worker on by a tick: one that is short of processors slows all
// its runs alike, one that is short of memory fails the run furthest above its grant.
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

// endRun takes the run off its worker and reports how it ended.
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
		t.doneTasks++
		if t.doneTasks == len(t.tasks) && t.doneAt.IsZero() {
			t.doneAt = sim.now
		}
	case model.OutcomePreempted:
		t.checkpointedSeconds += max(0, r.workSeconds-checkpointTime.Seconds())
	case model.OutcomeFailed:
		t.failed = true
	}
	sim.decider.Finish(sim.now, t.id, outcome)
}

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
