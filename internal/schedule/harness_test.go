package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filbertcross/internal/model"
)

// harness runs a Scheduler with a simulated clock. It confirms placements, finishes runs after
// their actual runtime and carries out stops after checkpointTime.
type harness struct {
	t              testing.TB
	s              *Scheduler
	now            time.Time
	runtime        func(Decision) time.Duration // actual runtime of a run; 0: it never ends
	fails          func(Decision) bool          // whether a run fails after failTime
	usage          func(Decision) model.Resources
	runs           map[model.TaskID]*harnessRun
	firstStart     map[model.JobID]time.Time
	lastCompletion map[model.JobID]time.Time // last run that finished by itself
	decisions      []Decision
}

type harnessRun struct {
	decision  Decision
	startedAt time.Time
	end       time.Time
	outcome   model.Outcome
}

const (
	checkpointTime = 2 * time.Second
	failTime       = time.Second
)

func newHarness(t testing.TB, branches ...model.Branch) *harness {
	h := &harness{
		t: t, s: New(DefaultOptions(), rand.New(rand.NewPCG(1, 2))), now: epoch,
		runtime: func(Decision) time.Duration { return time.Minute },
		fails:   func(Decision) bool { return false },
		runs:    map[model.TaskID]*harnessRun{}, firstStart: map[model.JobID]time.Time{}, lastCompletion: map[model.JobID]time.Time{},
	}
	h.s.SetBranches(h.now, branches)
	return h
}

// addWorkers adds workers of 8 cores and 32,000 MiB, two to a rack name, in three failure
// domains.
func (h *harness) addWorkers(count int) *harness {
	for n := range count {
		h.s.UpsertWorker(h.now, testWorker(n))
	}
	return h
}

func testWorker(n int) Worker {
	return Worker{
		ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/2),
		FailureDomain: model.FailureDomain(fmt.Sprint("d", n%3)),
		Capacity:      model.Resources{MilliCPU: 8000, MemoryMiB: 32_000},
	}
}

// submit submits a restartable batch job of one-core tasks; change, if any, modifies the job
// first.
func (h *harness) submit(id string, branch model.BranchID, tasks int, change func(*model.Job)) Status {
	j := model.Job{
		ID: model.JobID(id), Branch: branch, Workload: model.WorkloadID(branch), Kind: model.KindBatch,
		Tier: model.TierNormal, Tasks: tasks, Size: model.Resources{MilliCPU: 1000, MemoryMiB: 1000},
		Runtime: time.Minute, Submitted: h.now, Restartable: true,
	}
	if change != nil {
		change(&j)
	}
	return h.s.Submit(h.now, j)
}

// advance advances the clock in steps of one second. In each step it finishes due runs, reports
// usage, carries out decisions and checks the invariants.
func (h *harness) advance(length time.Duration) {
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(time.Second) {
		h.finishDueRuns()
		h.reportUsage()
		for _, d := range h.s.Decide(h.now, 1000) {
			h.execute(d)
		}
		if err := h.s.CheckInvariants(); err != nil {
			h.t.Fatalf("invariant: %v", err)
		}
	}
}

func (h *harness) execute(d Decision) {
	h.decisions = append(h.decisions, d)
	switch d.Action {
	case ActionPlace, ActionProbe:
		h.s.Confirm(h.now, d.Task)
		h.startRun(d)
	case ActionPreempt, ActionMove:
		h.scheduleStop(d.Task, model.OutcomePreempted)
	case ActionStop:
		h.scheduleStop(d.Task, model.OutcomeCanceled)
	}
}

func (h *harness) startRun(d Decision) {
	run := &harnessRun{decision: d, startedAt: h.now, outcome: model.OutcomeDone}
	if length := h.runtime(d); length > 0 {
		run.end = h.now.Add(length)
	}
	if h.fails(d) {
		run.end, run.outcome = h.now.Add(failTime), model.OutcomeFailed
	}
	h.runs[d.Task] = run
	if _, ok := h.firstStart[d.Job]; !ok {
		h.firstStart[d.Job] = h.now
	}
}

func (h *harness) scheduleStop(id model.TaskID, outcome model.Outcome) {
	run := h.runs[id]
	run.end, run.outcome = h.now.Add(checkpointTime), outcome
}

func (h *harness) finishDueRuns() {
	for _, id := range sortedKeys(h.runs) {
		run := h.runs[id]
		if run.end.IsZero() || h.now.Before(run.end) {
			continue
		}
		delete(h.runs, id)
		if run.outcome == model.OutcomeDone {
			h.lastCompletion[run.decision.Job] = h.now
		}
		h.s.Finish(h.now, id, run.outcome)
	}
}

func (h *harness) reportUsage() {
	if h.usage == nil {
		return
	}
	for _, id := range sortedKeys(h.runs) {
		run := h.runs[id]
		h.s.Observe(h.now, Usage{
			Task: id, Worker: run.decision.Worker, Used: h.usage(run.decision), RunTime: h.now.Sub(run.startedAt),
		})
	}
}

// countDecisions counts the decisions with the action that match accepts; a nil match accepts
// all.
func (h *harness) countDecisions(action Action, match func(Decision) bool) int {
	n := 0
	for _, d := range h.decisions {
		if d.Action == action && (match == nil || match(d)) {
			n++
		}
	}
	return n
}

// runningTasks returns how many tasks of the branch hold capacity.
func (h *harness) runningTasks(branch model.BranchID) int {
	n := 0
	for _, run := range h.runs {
		if run.decision.Branch == branch {
			n++
		}
	}
	return n
}
