package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var branchIDs = []model.BranchID{"a", "b", "c"}

// stateMachine drives a Decider with random events and faults.
type stateMachine struct {
	*Oracle
	now            time.Time
	listedWorkers  []model.WorkerID
	removedWorkers []model.WorkerID // may be added again under their IDs
	jobIDs         []model.JobID
	workerCount    int // worker IDs allocated
}

// TestBaselinesFollowRules checks the baseline Deciders against the oracle with random events
// and faults.
func TestBaselinesFollowRules(t *testing.T) {
	deciders := map[string]func(*rand.Rand) schedule.Decider{
		"first fit":  func(*rand.Rand) schedule.Decider { return baseline.NewFirstFit() },
		"random fit": func(rng *rand.Rand) schedule.Decider { return baseline.NewRandomFit(rng) },
	}
	for name, newDecider := range deciders {
		t.Run(name, func(t *testing.T) {
			proptest.Check(t, func(t *rapid.T) { runStateMachine(t, newDecider) })
		})
	}
}

// runStateMachine runs random actions on a new Decider, then clears all faults and checks that
// every task that can run or was canceled ends.
func runStateMachine(t *rapid.T, newDecider func(*rand.Rand) schedule.Decider) {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	report := func(v *Violation) { t.Fatal(v) }
	m := &stateMachine{Oracle: NewOracle(newDecider(rng), report), now: start}
	m.setBranches(t)
	m.addWorker(t)
	actions := map[string]func(*rapid.T){
		"":           m.checkExplanations,
		"branches":   m.setBranches,
		"add worker": m.addWorker,
		"worker":     m.updateWorker,
		"lose":       m.loseWorker,
		"submit":     m.submit,
		"submit2":    m.submit,
		"adopt":      m.adopt,
		"cancel":     m.cancel,
		"wave":       m.cancelAll,
		"observe":    m.observe,
		"finish":     m.finish,
		"confirm":    m.confirm,
		"forget":     m.forget,
		"stale":      m.sendStaleEvent,
		"clock":      m.advanceClock,
		"decide":     m.decide,
		"decide2":    m.decide,
	}
	for range rapid.IntRange(1, 5).Draw(t, "rounds") {
		t.Repeat(actions)
	}
	m.clearFaults()
	m.RunToCompletion(m.now)
}

// checkExplanations calls Explain for each job, whose counts the oracle checks. rapid runs it
// after each action.
func (m *stateMachine) checkExplanations(*rapid.T) {
	proptest.CountStep()
	for _, id := range m.jobIDs {
		m.Explain(id)
	}
}

func resourcesUpTo(maximum model.Resources) *rapid.Generator[model.Resources] {
	return rapid.Custom(func(t *rapid.T) model.Resources {
		return model.Resources{
			MilliCPU:     500 * rapid.Int64Range(1, maximum.MilliCPU/500).Draw(t, "cpu"),
			MemoryMiB:    512 * rapid.Int64Range(1, maximum.MemoryMiB/512).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, maximum.Accelerators).Draw(t, "accelerators"),
		}
	})
}

func (m *stateMachine) setBranches(t *rapid.T) {
	var branches []model.Branch
	for _, id := range branchIDs {
		b := model.Branch{ID: id, Share: rapid.Int64Range(1, 4).Draw(t, "share")}
		if rapid.IntRange(0, 2).Draw(t, "bounded") == 0 {
			b.Quota.MilliCPU = 1000 * rapid.Int64Range(1, 10).Draw(t, "quota")
		}
		branches = append(branches, b)
	}
	m.SetBranches(m.now, branches)
}

func (m *stateMachine) addWorker(t *rapid.T) {
	id := m.newWorkerID()
	if len(m.removedWorkers) > 0 && rapid.Bool().Draw(t, "returns") {
		id = m.removedWorkers[0]
		m.removedWorkers = m.removedWorkers[1:]
	}
	m.listedWorkers = append(m.listedWorkers, id)
	m.UpsertWorker(m.now, drawWorker(t, id))
}

func (m *stateMachine) newWorkerID() model.WorkerID {
	m.workerCount++
	return model.WorkerID(fmt.Sprintf("w%d", m.workerCount))
}

func drawWorker(t *rapid.T, id model.WorkerID) schedule.Worker {
	return schedule.Worker{
		ID:            id,
		FailureDomain: model.FailureDomain(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")),
		Rack:          rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
		Capacity:      resourcesUpTo(model.Resources{MilliCPU: 8000, MemoryMiB: 8192, Accelerators: 2}).Draw(t, "capacity"),
	}
}

func (m *stateMachine) updateWorker(t *rapid.T) {
	w := drawWorker(t, drawElement(t, m.listedWorkers))
	w.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	w.Unreachable = rapid.IntRange(0, 3).Draw(t, "unreachable") == 0
	m.UpsertWorker(m.now, w)
}

// loseWorker reports the worker's placements as the scheduler's caller does, then removes the
// worker: it forgets assumed placements and finishes running tasks as lost.
func (m *stateMachine) loseWorker(t *rapid.T) {
	index := rapid.IntRange(0, len(m.listedWorkers)-1).Draw(t, "worker")
	if len(m.listedWorkers) < 2 {
		t.Skip("only one worker is listed")
	}
	id := m.listedWorkers[index]
	m.listedWorkers = append(m.listedWorkers[:index:index], m.listedWorkers[index+1:]...)
	m.removedWorkers = append(m.removedWorkers, id)
	for _, task := range m.tasksInOrder {
		if task.worker == id && task.phase == phaseAssumed {
			m.applyToGang(task, m.Forget)
		}
		if task.worker == id && task.phase == phaseRunning {
			m.Finish(m.now, task.id, model.OutcomeLost)
		}
	}
	m.RemoveWorker(m.now, id)
}

func (m *stateMachine) submit(t *rapid.T) {
	id := model.JobID(fmt.Sprintf("p~%d", len(m.jobIDs)))
	j := model.Job{
		ID:          id,
		Branch:      rapid.SampledFrom(branchIDs).Draw(t, "branch"),
		Workload:    model.WorkloadID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workload")),
		Kind:        rapid.SampledFrom([]model.Kind{model.KindService, model.KindBatch, model.KindGang}).Draw(t, "kind"),
		Tier:        model.Tier(rapid.IntRange(0, int(model.TierCount)-1).Draw(t, "tier")),
		Tasks:       rapid.IntRange(1, 5).Draw(t, "tasks"),
		Size:        resourcesUpTo(model.Resources{MilliCPU: 5000, MemoryMiB: 5120, Accelerators: 1}).Draw(t, "size"),
		Runtime:     time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute,
		Submitted:   m.now,
		Restartable: rapid.IntRange(0, 4).Draw(t, "restartable") > 0,
	}
	if rapid.Bool().Draw(t, "late") {
		j.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Minute)
	}
	m.jobIDs = append(m.jobIDs, id)
	m.Submit(m.now, j)
}

// adopt submits a new job and adopts a random part of its tasks, or its whole gang, as running,
// as after a recovery. Their workers may include one that the Decider doesn't know yet.
func (m *stateMachine) adopt(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "unlisted") == 0 {
		m.listedWorkers = append(m.listedWorkers, m.newWorkerID())
	}
	m.submit(t)
	j := m.jobs[m.jobIDs[len(m.jobIDs)-1]]
	if j == nil {
		return
	}
	for _, task := range j.tasks {
		if j.Kind == model.KindGang || rapid.Bool().Draw(t, "runs") {
			p := schedule.Placement{Task: task.id, Job: j.ID, Size: j.Size, Worker: drawElement(t, m.listedWorkers), Started: m.now}
			m.Adopt(m.now, p)
		}
	}
}

func (m *stateMachine) cancel(t *rapid.T) { m.Cancel(m.now, drawElement(t, m.jobIDs)) }

func (m *stateMachine) cancelAll(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "wave") > 0 {
		t.Skip("cancels all jobs in one of five draws only")
	}
	for _, id := range m.jobIDs {
		m.Cancel(m.now, id)
	}
}

// drawTask draws a task in the phase. It skips the action if there is none.
func (m *stateMachine) drawTask(t *rapid.T, p phase) *taskRecord {
	var tasks []*taskRecord
	for _, task := range m.tasksInOrder {
		if task.phase == p {
			tasks = append(tasks, task)
		}
	}
	return drawElement(t, tasks)
}

// drawElement draws an element of the slice. It skips the action if the slice is empty.
func drawElement[T any](t *rapid.T, from []T) T {
	if len(from) == 0 {
		t.Skip("nothing to draw from")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "index")]
}

func (m *stateMachine) observe(t *rapid.T) {
	task := m.drawTask(t, phaseRunning)
	used := resourcesUpTo(model.Resources{MilliCPU: 9000, MemoryMiB: 9216, Accelerators: 1}).Draw(t, "used")
	m.Observe(m.now, schedule.Usage{Task: task.id, Worker: task.worker, Used: used, RunTime: time.Minute})
}

func (m *stateMachine) finish(t *rapid.T) {
	task := m.drawTask(t, phaseRunning)
	outcome := rapid.SampledFrom([]model.Outcome{
		task.expectedOutcome(), task.expectedOutcome(), model.OutcomeDone,
		model.OutcomeFailed, model.OutcomeLost, model.OutcomeNotStarted,
	}).Draw(t, "outcome")
	m.Finish(m.now, task.id, outcome)
}

// applyToGang applies Confirm or Forget to a task, or to all assumed tasks of its gang.
func (m *stateMachine) applyToGang(task *taskRecord, apply func(time.Time, model.TaskID)) {
	if task.job.Kind != model.KindGang {
		apply(m.now, task.id)
		return
	}
	for _, other := range task.job.tasks {
		if other.phase == phaseAssumed {
			apply(m.now, other.id)
		}
	}
}

func (m *stateMachine) confirm(t *rapid.T) { m.applyToGang(m.drawTask(t, phaseAssumed), m.Confirm) }

func (m *stateMachine) forget(t *rapid.T) { m.applyToGang(m.drawTask(t, phaseAssumed), m.Forget) }

// sendStaleEvent sends a confirmation, forget, finish or usage event for a task that holds no
// capacity.
func (m *stateMachine) sendStaleEvent(t *rapid.T) {
	task := m.drawTask(t, rapid.SampledFrom([]phase{phaseWaiting, phaseEnded}).Draw(t, "phase"))
	switch rapid.IntRange(0, 3).Draw(t, "call") {
	case 0:
		m.Confirm(m.now, task.id)
	case 1:
		m.Forget(m.now, task.id)
	case 2:
		m.Finish(m.now, task.id, model.Outcome(rapid.IntRange(0, int(model.OutcomeNotStarted)).Draw(t, "outcome")))
	case 3:
		m.Observe(m.now, schedule.Usage{Task: task.id, Used: task.job.Size, RunTime: time.Second})
	}
}

func (m *stateMachine) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
}

func (m *stateMachine) decide(t *rapid.T) { m.Decide(m.now, rapid.IntRange(1, 12).Draw(t, "limit")) }

// clearFaults makes every listed worker reachable and not leaving.
func (m *stateMachine) clearFaults() {
	for _, id := range m.listedWorkers {
		w := m.getOrAddWorker(id).Worker
		w.Leaving, w.Unreachable = false, false
		m.UpsertWorker(m.now, w)
	}
}
