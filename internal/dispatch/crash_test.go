package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Times of a crashFleet.
const (
	restartTime = 3200 * time.Millisecond
	startupTime = 200 * time.Millisecond
	// listInterval is the time between two lists of the workers.
	listInterval = 500 * time.Millisecond
)

// crashFleet answers the commands of a harness like workers that respond at once. A worker that starts
// a task in crashing closes its connections and is down for restartTime.
type crashFleet struct {
	*harness
	crashing    map[fleet.TaskID]bool
	crashes     map[fleet.TaskID]int
	starts      map[fleet.TaskID]int
	lost        map[fleet.TaskID]int // runs that ended with their worker
	downUntil   map[model.WorkerID]time.Duration
	silentUntil map[model.WorkerID]time.Duration // its responses are lost until then
	failing     map[model.WorkerID]bool          // every run that is started there fails
	failAfter   time.Duration                    // age at which these runs fail
	failsAlways map[fleet.TaskID]bool            // its runs fail everywhere
	willFail    map[fleet.RunID]bool
	crashDelay  time.Duration // from the start of a crashing task to the crash
	storeDown   bool
	relist      func()                   // lists the workers as they are now; called every listInterval; nil: never
	subs        []*fleet.Submission      // that a later owner restores
	fence       map[model.WorkerID]int64 // highest that the incarnation has seen
	loseStart   bool                     // the next start gets no response, and has not been executed yet
	lostStart   StartCommand
	// ticketValidity is that of the answers to advice calls, which allow every worker.
	ticketValidity time.Duration
	stored         map[fleet.JobID]*Progress
	recorded       []RecordedWorker
	incarnation    map[model.WorkerID]int64
	startedAt      map[fleet.RunID]time.Duration
	runs           map[model.WorkerID]map[fleet.RunID]bool
	results        map[model.WorkerID][]fleet.RunResult
}

func newCrashFleet(t *testing.T, workers int, crashing ...fleet.TaskID) *crashFleet {
	t.Helper()
	f := &crashFleet{
		harness: newHarness(t, workers), crashing: map[fleet.TaskID]bool{}, crashes: map[fleet.TaskID]int{}, starts: map[fleet.TaskID]int{},
		lost: map[fleet.TaskID]int{}, downUntil: map[model.WorkerID]time.Duration{}, silentUntil: map[model.WorkerID]time.Duration{}, stored: map[fleet.JobID]*Progress{}, incarnation: map[model.WorkerID]int64{},
		startedAt: map[fleet.RunID]time.Duration{}, runs: map[model.WorkerID]map[fleet.RunID]bool{}, fence: map[model.WorkerID]int64{}, failing: map[model.WorkerID]bool{}, failsAlways: map[fleet.TaskID]bool{}, willFail: map[fleet.RunID]bool{}, results: map[model.WorkerID][]fleet.RunResult{},
	}
	for i := range workers {
		f.incarnation[workerID(i)], f.runs[workerID(i)] = 1, map[fleet.RunID]bool{}
	}
	for _, id := range crashing {
		f.crashing[id] = true
	}
	return f
}

func taskID(job fleet.JobID, index int) fleet.TaskID {
	return fleet.TaskID{StepID: fleet.StepID{Job: job}, Index: index}
}

// crash ends a worker's incarnation.
func (f *crashFleet) crash(id model.WorkerID) {
	for r := range f.runs[id] {
		f.lost[r.Task]++
	}
	f.endGangs(id)
	f.downUntil[id] = f.now + restartTime
	f.incarnation[id]++
	f.runs[id], f.results[id], f.resultNumbers[id], f.fence[id] = map[fleet.RunID]bool{}, nil, 0, 0
}

// endGangs ends the members on other workers of the gangs that run on a worker.
func (f *crashFleet) endGangs(id model.WorkerID) {
	for r := range f.runs[id] {
		if !f.d.findTask(r.Task).step.def.Gang {
			continue
		}
		for other, runs := range f.runs {
			for member := range runs {
				if other != id && member.Run == r.Run && member.Task.StepID == r.Task.StepID {
					f.finish(other, member, fleet.OutcomeGangMemberEnded)
				}
			}
		}
	}
}

// pass lets time pass until the end of d or until the condition holds, and reports whether it does.
func (f *crashFleet) pass(d time.Duration, until func() bool) bool {
	for end := f.now + d; f.now < end; {
		if f.relist != nil && f.now >= f.d.listedAt+listInterval {
			f.relist()
		}
		f.decide()
		f.write()
		for _, c := range f.harness.starts {
			f.start(c)
		}
		for _, c := range f.stops {
			f.stop(c)
		}
		for _, c := range f.adviceCalls {
			tickets := map[model.WorkerID]string{}
			for _, id := range c.Workers {
				tickets[id] = "ticket"
			}
			f.d.HandleAdvice(f.now, c.Step, c.Workers, tickets, f.ticketValidity, nil)
		}
		f.advance(25 * time.Millisecond)
		f.crashDue()
		for _, c := range f.renewals {
			f.renew(c)
		}
		if until() {
			return true
		}
	}
	return false
}

// write writes all records, unless the store is down.
func (f *crashFleet) write() {
	for batch := f.d.NextBatch(f.now, 30); len(batch) > 0; batch = f.d.NextBatch(f.now, 30) {
		if f.storeDown {
			f.d.HandleBatchResult(f.now, batch, false)
			return
		}
		for _, rec := range batch {
			switch {
			case rec.IsWorkerList:
				f.recorded = rec.Workers
			case rec.Progress != nil:
				f.stored[rec.Job] = rec.Progress
			}
		}
		f.d.HandleBatchResult(f.now, batch, true)
		f.revision++
		f.d.ProveOwnership(testFence + f.revision)
	}
}

func (f *crashFleet) start(c StartCommand) {
	id := c.To.ID
	if f.now < f.downUntil[id] {
		f.d.HandleStartResponse(f.now, c.Start.RunID, id, 0, &fleet.CallError{Op: "start", Verdict: verdict.NotRun})
		return
	}
	if f.loseStart {
		f.loseStart, f.lostStart = false, c
		f.d.HandleStartResponse(f.now, c.Start.RunID, id, 0, errNoResponse)
		return
	}
	f.fence[id] = max(f.fence[id], c.Start.Fence)
	f.d.HandleStartResponse(f.now, c.Start.RunID, id, f.now.Milliseconds(), nil)
	f.starts[c.Start.Task]++
	f.runs[id][c.Start.RunID] = true
	f.startedAt[c.Start.RunID] = f.now
	f.willFail[c.Start.RunID] = f.failing[id] || f.failsAlways[c.Start.Task]
}

// crashDue crashes the workers on which a crashing task has run for crashDelay.
func (f *crashFleet) crashDue() {
	for id, runs := range f.runs {
		for r := range runs {
			if f.crashing[r.Task] && f.now-f.startedAt[r] >= f.crashDelay {
				f.crashes[r.Task]++
				f.crash(id)
				break
			}
		}
	}
}

func (f *crashFleet) stop(c StopCommand) {
	if id := c.To.ID; f.runs[id][c.Run] {
		f.finish(id, c.Run, fleet.OutcomeStopped)
	}
	f.d.HandleStopResponse(f.now, c.Run, c.To.ID, nil)
}

func (f *crashFleet) finish(id model.WorkerID, run fleet.RunID, outcome fleet.Outcome) {
	delete(f.runs[id], run)
	f.resultNumbers[id]++
	f.results[id] = append(f.results[id], fleet.RunResult{Number: f.resultNumbers[id], RunID: run, Outcome: outcome})
}

func (f *crashFleet) renew(c RenewCommand) {
	id := c.To.ID
	if c.StatusOnly && f.now < max(f.silentUntil[id], f.downUntil[id]) {
		f.d.HandleStatusQueryFailure(id)
		return
	}
	if f.now < f.silentUntil[id] {
		f.d.HandleRenewFailure(f.now, id, errNoResponse)
		return
	}
	if f.now < f.downUntil[id] {
		f.d.HandleRenewFailure(f.now, id, &fleet.CallError{Op: "hold", Verdict: verdict.MayHaveRun, Cause: fleet.ErrConnectionLost})
		return
	}
	f.fence[id] = max(f.fence[id], c.Renew.Fence)
	rep := fleet.Report{Incarnation: f.incarnation[id], Clock: f.now.Milliseconds()}
	for run := range f.runs[id] {
		age, estimate := f.now-f.startedAt[run], f.d.findTask(run.Task).step.def.Estimate
		def := f.d.findTask(run.Task).step.def
		if f.willFail[run] && age >= f.failAfter {
			f.finish(id, run, fleet.OutcomeFailed)
			continue
		}
		if def.LongRunning || def.Filler {
			rep.Running = append(rep.Running, fleet.RunStatus{RunID: run, Percent: int(min(100*age/startupTime, 100))})
			continue
		}
		if age >= estimate {
			f.finish(id, run, fleet.OutcomeDone)
			continue
		}
		rep.Running = append(rep.Running, fleet.RunStatus{RunID: run, Percent: int(100 * age / estimate)})
	}
	rep.Ended = f.results[id]
	f.d.HandleReport(f.now, f.now, id, c.StatusOnly, rep)
}

func (f *crashFleet) state(id fleet.JobID) fleet.State { return f.d.Status(id).State }

// A task crashes every worker that starts it, and was started again and again (incident BUDGET).
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	deadly := taskID("deadly", 0)
	f := newCrashFleet(t, 6, deadly)
	f.submit("quick", "deadly", tasks(2, 4))
	if !f.pass(20*time.Second, func() bool { return f.state("deadly").Final() }) {
		t.Fatalf("the submission is %v after its task has crashed %d workers", f.state("deadly"), f.crashes[deadly])
	}
	if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > 2 {
		t.Fatalf("the submission is %v after %d crashes, want it failed after 2", f.state("deadly"), f.crashes[deadly])
	}
	if cause := f.d.Status("deadly").Cause; cause != "task deadly.0.0.0 crashed 2 workers" {
		t.Errorf("the caller is told the cause %q", cause)
	}
}

// Work that ran beside crashing tasks was lost again with each of their starts (incident BUDGET). It must not be
// given up, and must be lost with the first crash of a task only.
func TestWorkBesideCrashingTasksCompletes(t *testing.T) {
	jobs := []fleet.JobID{"a", "b", "c", "d", "e", "f"}
	f := newCrashFleet(t, 8, taskID("deadly1", 0), taskID("deadly2", 0))
	for _, id := range jobs {
		s := tasks(6, 4)
		s.Estimate = 2 * time.Second
		f.submit("quick", id, s)
	}
	f.pass(300*time.Millisecond, func() bool { return false })
	f.submit("quick", "deadly1", tasks(1, 2))
	f.submit("quick", "deadly2", tasks(1, 2))
	lastOfAll := func() bool {
		for _, id := range append(jobs, "deadly1", "deadly2") {
			if !f.state(id).Final() {
				return false
			}
		}
		return true
	}
	f.pass(40*time.Second, lastOfAll)
	for _, id := range jobs {
		if f.state(id) != fleet.StateCompleted {
			t.Errorf("submission %s beside the crashing tasks is %v", id, f.state(id))
		}
	}
	for _, id := range []fleet.JobID{"deadly1", "deadly2"} {
		if f.state(id) != fleet.StateFailed {
			t.Errorf("submission %s is %v, want it failed", id, f.state(id))
		}
	}
	for task, n := range f.lost {
		if !f.crashing[task] && n > 1 {
			t.Errorf("task %v was lost with %d workers, want 1", task, n)
		}
	}
}
