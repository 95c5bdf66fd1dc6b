package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filbertcross/internal/model"
)

// harness hosts a Scheduler with a driven clock: it confirms what is placed, ends runs after
// their true run time and obeys stops after checkpointTime.
type harness struct {
	t         testing.TB
	s         *Scheduler
	now       time.Time
	runtime   func(Decision) time.Duration // a run's true length; 0: it never ends
	fails     func(Decision) bool          // it fails after failTime
	usage     func(Decision) model.Resources
	runs      map[model.TaskID]*harnessRun
	started   map[model.JobID]time.Time // first start
	ended     map[model.JobID]time.Time // last end by itself
	decisions []Decision
}

type harnessRun struct {
	decision Decision
	since    time.Time
	end      time.Time
	outcome  model.Outcome
}

const (
	checkpointTime = 2 * time.Second
	failTime       = time.Second
)

func newHarness(t testing.TB, branches ...model.Branch) *harness {
	r := &harness{
		t: t, s: New(DefaultOptions(), rand.New(rand.NewPCG(1, 2))), now: epoch,
		runtime: func(Decision) time.Duration { return time.Minute },
		fails:   func(Decision) bool { return false },
		runs:    map[model.TaskID]*harnessRun{}, started: map[model.JobID]time.Time{}, ended: map[model.JobID]time.Time{},
	}
	r.s.SetBranches(r.now, branches)
	return r
}

// addWorkers adds workers of 8 cores and 32 GiB, two a rack, in three failure domains.
func (r *harness) addWorkers(count int) *harness {
	for n := range count {
		r.s.UpsertWorker(r.now, testWorker(n))
	}
	return r
}

func testWorker(n int) Worker {
	return Worker{
		ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/2),
		FailureDomain: model.FailureDomain(fmt.Sprint("d", n%3)),
		Capacity:      model.Resources{MilliCPU: 8000, MemoryMiB: 32_000},
	}
}

// submit returns a restartable batch job of one-core tasks; change makes it another.
func (r *harness) submit(id string, branch model.BranchID, tasks int, change func(*model.Job)) Status {
	j := model.Job{
		ID: model.JobID(id), Branch: branch, Workload: model.WorkloadID(branch), Kind: model.KindBatch,
		Tier: model.TierNormal, Tasks: tasks, Size: model.Resources{MilliCPU: 1000, MemoryMiB: 1000},
		Runtime: time.Minute, Submitted: r.now, Restartable: true,
	}
	if change != nil {
		change(&j)
	}
	return r.s.Submit(r.now, j)
}

// advance advances the clock in steps of a second.
func (r *harness) advance(length time.Duration) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(time.Second) {
		r.finishDue()
		r.reportUsage()
		for _, d := range r.s.Decide(r.now, 1000) {
			r.execute(d)
		}
		if err := r.s.CheckInvariants(); err != nil {
			r.t.Fatalf("invariant: %v", err)
		}
	}
}

func (r *harness) execute(d Decision) {
	r.decisions = append(r.decisions, d)
	switch d.Action {
	case ActionPlace, ActionProbe:
		r.s.Confirm(r.now, d.Task)
		r.start(d)
	case ActionPreempt, ActionMove:
		r.stop(d.Task, model.OutcomePreempted)
	case ActionStop:
		r.stop(d.Task, model.OutcomeCanceled)
	}
}

func (r *harness) start(d Decision) {
	run := &harnessRun{decision: d, since: r.now, outcome: model.OutcomeDone}
	if length := r.runtime(d); length > 0 {
		run.end = r.now.Add(length)
	}
	if r.fails(d) {
		run.end, run.outcome = r.now.Add(failTime), model.OutcomeFailed
	}
	r.runs[d.Task] = run
	if _, ok := r.started[d.Job]; !ok {
		r.started[d.Job] = r.now
	}
}

func (r *harness) stop(id model.TaskID, outcome model.Outcome) {
	run := r.runs[id]
	run.end, run.outcome = r.now.Add(checkpointTime), outcome
}

func (r *harness) finishDue() {
	for _, id := range sortedKeys(r.runs) {
		run := r.runs[id]
		if run.end.IsZero() || r.now.Before(run.end) {
			continue
		}
		delete(r.runs, id)
		if run.outcome == model.OutcomeDone {
			r.ended[run.decision.Job] = r.now
		}
		r.s.Finish(r.now, id, run.outcome)
	}
}

func (r *harness) reportUsage() {
	if r.usage == nil {
		return
	}
	for _, id := range sortedKeys(r.runs) {
		run := r.runs[id]
		r.s.Observe(r.now, Usage{
			Task: id, Worker: run.decision.Worker, Used: r.usage(run.decision), RunTime: r.now.Sub(run.since),
		})
	}
}

// countDecisions counts the decisions with the action and for which match holds.
func (r *harness) countDecisions(action Action, match func(Decision) bool) int {
	n := 0
	for _, d := range r.decisions {
		if d.Action == action && (match == nil || match(d)) {
			n++
		}
	}
	return n
}

// runningTasks returns how many tasks of the branch hold capacity.
func (r *harness) runningTasks(branch model.BranchID) int {
	n := 0
	for _, run := range r.runs {
		if run.decision.Branch == branch {
			n++
		}
	}
	return n
}
