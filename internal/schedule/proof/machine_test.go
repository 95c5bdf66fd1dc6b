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

// machine drives a Decider with random events and faults.
type machine struct {
	*Oracle
	now     time.Time
	listed  []model.WorkerID
	lost    []model.WorkerID // may come back under their names
	jobIDs  []model.JobID
	workers int // names given out
}

func TestBaselinesHoldTheRules(t *testing.T) {
	deciders := map[string]func(*rand.Rand) schedule.Decider{
		"first fit":  func(*rand.Rand) schedule.Decider { return baseline.NewFirstFit() },
		"random fit": func(rng *rand.Rand) schedule.Decider { return baseline.NewRandomFit(rng) },
	}
	for name, build := range deciders {
		t.Run(name, func(t *testing.T) {
			proptest.Check(t, func(t *rapid.T) { runMachine(t, build) })
		})
	}
}

func runMachine(t *rapid.T, build func(*rand.Rand) schedule.Decider) {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	report := func(v *Violation) { t.Fatal(v) }
	m := &machine{Oracle: NewOracle(build(rng), report), now: start}
	m.setBranches(t)
	m.addWorker(t)
	actions := map[string]func(*rapid.T){
		"":           m.check,
		"branches":   m.setBranches,
		"add worker": m.addWorker,
		"worker":     m.changeWorker,
		"lose":       m.loseWorker,
		"submit":     m.submit,
		"submit2":    m.submit,
		"adopt":      m.adopt,
		"cancel":     m.cancel,
		"wave":       m.cancelWave,
		"observe":    m.observe,
		"finish":     m.finish,
		"confirm":    m.confirm,
		"forget":     m.forget,
		"stale":      m.stale,
		"clock":      m.clock,
		"decide":     m.decide,
		"decide2":    m.decide,
	}
	for range rapid.IntRange(1, 5).Draw(t, "rounds") {
		t.Repeat(actions)
	}
	m.heal()
	m.Settle(m.now)
}

func (m *machine) check(*rapid.T) {
	proptest.CountStep()
	for _, id := range m.jobIDs {
		m.Explain(id)
	}
}

func amount(maxima model.Resources) *rapid.Generator[model.Resources] {
	return rapid.Custom(func(t *rapid.T) model.Resources {
		return model.Resources{
			MilliCPU:     500 * rapid.Int64Range(1, maxima.MilliCPU/500).Draw(t, "cpu"),
			MemoryMiB:    512 * rapid.Int64Range(1, maxima.MemoryMiB/512).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, maxima.Accelerators).Draw(t, "accelerators"),
		}
	})
}

func (m *machine) setBranches(t *rapid.T) {
	var out []model.Branch
	for _, id := range branchIDs {
		b := model.Branch{ID: id, Share: rapid.Int64Range(1, 4).Draw(t, "share")}
		if rapid.IntRange(0, 2).Draw(t, "bounded") == 0 {
			b.Quota.MilliCPU = 1000 * rapid.Int64Range(1, 10).Draw(t, "quota")
		}
		out = append(out, b)
	}
	m.SetBranches(m.now, out)
}

func (m *machine) addWorker(t *rapid.T) {
	id := m.newName()
	if len(m.lost) > 0 && rapid.Bool().Draw(t, "returns") {
		id = m.lost[0]
		m.lost = m.lost[1:]
	}
	m.listed = append(m.listed, id)
	m.UpsertWorker(m.now, drawWorker(t, id))
}

func (m *machine) newName() model.WorkerID {
	m.workers++
	return model.WorkerID(fmt.Sprintf("w%d", m.workers))
}

func drawWorker(t *rapid.T, id model.WorkerID) schedule.Worker {
	return schedule.Worker{
		ID:            id,
		FailureDomain: model.FailureDomain(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")),
		Rack:          rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
		Capacity:      amount(model.Resources{MilliCPU: 8000, MemoryMiB: 8192, Accelerators: 2}).Draw(t, "capacity"),
	}
}

func (m *machine) changeWorker(t *rapid.T) {
	w := drawWorker(t, pick(t, m.listed))
	w.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	w.Unreachable = rapid.IntRange(0, 3).Draw(t, "unreachable") == 0
	m.UpsertWorker(m.now, w)
}

// loseWorker ends what the worker held as the host does, then removes it.
func (m *machine) loseWorker(t *rapid.T) {
	at := rapid.IntRange(0, len(m.listed)-1).Draw(t, "worker")
	if len(m.listed) < 2 {
		t.Skip("the last worker")
	}
	id := m.listed[at]
	m.listed = append(m.listed[:at:at], m.listed[at+1:]...)
	m.lost = append(m.lost, id)
	for _, task := range m.order {
		if task.worker == id && task.phase == phaseAssumed {
			m.eachOfGroup(task, m.Forget)
		}
		if task.worker == id && task.phase == phaseRunning {
			m.Finish(m.now, task.id, model.OutcomeLost)
		}
	}
	m.RemoveWorker(m.now, id)
}

func (m *machine) submit(t *rapid.T) {
	id := model.JobID(fmt.Sprintf("p~%d", len(m.jobIDs)))
	j := model.Job{
		ID:          id,
		Branch:      rapid.SampledFrom(branchIDs).Draw(t, "branch"),
		Workload:    model.WorkloadID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workload")),
		Kind:        rapid.SampledFrom([]model.Kind{model.KindService, model.KindBatch, model.KindGang}).Draw(t, "kind"),
		Tier:        model.Tier(rapid.IntRange(0, int(model.TierCount)-1).Draw(t, "tier")),
		Tasks:       rapid.IntRange(1, 5).Draw(t, "tasks"),
		Size:        amount(model.Resources{MilliCPU: 5000, MemoryMiB: 5120, Accelerators: 1}).Draw(t, "size"),
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

// adopt recovers a new job that runs already, also on workers that report later.
func (m *machine) adopt(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "unlisted") == 0 {
		m.listed = append(m.listed, m.newName())
	}
	m.submit(t)
	j := m.jobs[m.jobIDs[len(m.jobIDs)-1]]
	if j == nil {
		return
	}
	for _, task := range j.tasks {
		if j.Kind == model.KindGang || rapid.Bool().Draw(t, "runs") {
			p := schedule.Placement{Task: task.id, Job: j.ID, Size: j.Size, Worker: pick(t, m.listed), Started: m.now}
			m.Adopt(m.now, p)
		}
	}
}

func (m *machine) cancel(t *rapid.T) { m.Cancel(m.now, pick(t, m.jobIDs)) }

func (m *machine) cancelWave(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "wave") > 0 {
		t.Skip("no wave")
	}
	for _, id := range m.jobIDs {
		m.Cancel(m.now, id)
	}
}

// pickPhase picks a task in the phase; it skips the action when there is none.
func (m *machine) pickPhase(t *rapid.T, p phase) *taskRecord {
	var out []*taskRecord
	for _, task := range m.order {
		if task.phase == p {
			out = append(out, task)
		}
	}
	return pick(t, out)
}

func pick[T any](t *rapid.T, from []T) T {
	if len(from) == 0 {
		t.Skip("none")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "index")]
}

func (m *machine) observe(t *rapid.T) {
	task := m.pickPhase(t, phaseRunning)
	used := amount(model.Resources{MilliCPU: 9000, MemoryMiB: 9216, Accelerators: 1}).Draw(t, "used")
	m.Observe(m.now, schedule.Usage{Task: task.id, Worker: task.worker, Used: used, RunTime: time.Minute})
}

func (m *machine) finish(t *rapid.T) {
	task := m.pickPhase(t, phaseRunning)
	outcome := rapid.SampledFrom([]model.Outcome{
		task.answer(), task.answer(), model.OutcomeDone,
		model.OutcomeFailed, model.OutcomeLost, model.OutcomeNotStarted,
	}).Draw(t, "outcome")
	m.Finish(m.now, task.id, outcome)
}

// eachOfGroup answers for a task, or for all assumed tasks of its gang.
func (m *machine) eachOfGroup(task *taskRecord, answer func(time.Time, model.TaskID)) {
	if task.job.Kind != model.KindGang {
		answer(m.now, task.id)
		return
	}
	for _, other := range task.job.tasks {
		if other.phase == phaseAssumed {
			answer(m.now, other.id)
		}
	}
}

func (m *machine) confirm(t *rapid.T) { m.eachOfGroup(m.pickPhase(t, phaseAssumed), m.Confirm) }

func (m *machine) forget(t *rapid.T) { m.eachOfGroup(m.pickPhase(t, phaseAssumed), m.Forget) }

// stale repeats answers for a task that holds nothing.
func (m *machine) stale(t *rapid.T) {
	task := m.pickPhase(t, rapid.SampledFrom([]phase{phaseWaiting, phaseEnded}).Draw(t, "phase"))
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

func (m *machine) clock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
}

func (m *machine) decide(t *rapid.T) { m.Decide(m.now, rapid.IntRange(1, 12).Draw(t, "limit")) }

// heal ends the faults: every listed worker is reachable and stays.
func (m *machine) heal() {
	for _, id := range m.listed {
		w := m.worker(id).Worker
		w.Leaving, w.Unreachable = false, false
		m.UpsertWorker(m.now, w)
	}
}
