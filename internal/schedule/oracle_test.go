package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// quotaC bounds what branch c may hold in the machine.
var quotaC = model.Resources{MilliCPU: 9000}

// epoch is the driven clock's start.
var epoch = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

// oracleHarness drives a Scheduler with random events and keeps a simple oracle of its own: the
// place of each task, the capacity of each worker and the tasks still to be done.
type oracleHarness struct {
	s             *Scheduler
	now           time.Time
	workers       map[model.WorkerID]Worker
	placed        map[model.TaskID]Decision // what holds capacity, with its worker and size
	started       map[model.TaskID]bool     // confirmed
	stopRequested map[model.TaskID]Action   // told to stop, with how
	jobs          map[model.JobID]model.Job
	closed        map[model.JobID]bool // cancelled, or given up as its own fault
	ended         map[model.TaskID]bool
	lastJobNumber int
}

func newOracleHarness() *oracleHarness {
	m := &oracleHarness{
		s: New(DefaultOptions(), rand.New(rand.NewPCG(1, 2))), now: epoch,
		workers: map[model.WorkerID]Worker{}, placed: map[model.TaskID]Decision{},
		started: map[model.TaskID]bool{}, stopRequested: map[model.TaskID]Action{},
		jobs: map[model.JobID]model.Job{}, closed: map[model.JobID]bool{}, ended: map[model.TaskID]bool{},
	}
	m.s.SetBranches(m.now, []model.Branch{{ID: "a", Share: 1}, {ID: "b", Share: 2}, {ID: "c", Share: 1, Quota: quotaC}})
	return m
}

// upsertWorker adds or changes a worker; its shape follows from its number.
func (m *oracleHarness) upsertWorker(n int, leaving, unreachable bool) {
	w := Worker{
		ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/2),
		FailureDomain: model.FailureDomain(fmt.Sprint("d", n%3)), Leaving: leaving, Unreachable: unreachable,
		Capacity: model.Resources{MilliCPU: 4000, MemoryMiB: 8000, Accelerators: int64(n % 2)},
	}
	m.workers[w.ID] = w
	m.s.UpsertWorker(m.now, w)
}

func (m *oracleHarness) submit(t *rapid.T) {
	m.lastJobNumber++
	j := model.Job{
		ID:        model.JobID(fmt.Sprint("j", m.lastJobNumber)),
		Branch:    rapid.SampledFrom([]model.BranchID{"a", "b", "c"}).Draw(t, "branch"),
		Kind:      rapid.SampledFrom([]model.Kind{model.KindBatch, model.KindService, model.KindGang}).Draw(t, "kind"),
		Tier:      model.Tier(rapid.IntRange(0, int(model.TierCount)-1).Draw(t, "tier")),
		Tasks:     rapid.IntRange(1, 6).Draw(t, "tasks"),
		Size:      model.Resources{MilliCPU: 1000 * rapid.Int64Range(1, 5).Draw(t, "cpu"), MemoryMiB: 1000},
		Runtime:   time.Minute,
		Workload:  model.WorkloadID(fmt.Sprint("wl", rapid.IntRange(0, 3).Draw(t, "workload"))),
		Submitted: m.now, Restartable: rapid.IntRange(0, 9).Draw(t, "restartable") > 0,
	}
	if rapid.Bool().Draw(t, "deadline") {
		j.Deadline = m.now.Add(10 * time.Minute)
	}
	if status := m.s.Submit(m.now, j); status.Code == Invalid {
		t.Fatalf("submit: %+v", status)
	}
	m.jobs[j.ID] = j
}

// grantedOn sums what the oracle knows to hold capacity on a worker.
func (m *oracleHarness) grantedOn(id model.WorkerID) model.Resources {
	return m.sumGrants(func(d Decision) bool { return d.Worker == id })
}

func (m *oracleHarness) sumGrants(match func(Decision) bool) model.Resources {
	var sum model.Resources
	for _, d := range m.placed {
		if match(d) {
			sum = sum.Add(d.Size)
		}
	}
	return sum
}

// decide takes decisions and checks each against the oracle.
func (m *oracleHarness) decide(t *rapid.T, limit int) []Decision {
	out := m.s.Decide(m.now, limit)
	if len(out) > limit {
		t.Fatalf("%d decisions, limit %d", len(out), limit)
	}
	for _, d := range out {
		switch d.Action {
		case ActionPlace, ActionProbe:
			m.checkPlace(t, d)
		case ActionPreempt, ActionStop, ActionMove:
			m.checkStop(t, d)
		case ActionThrottle:
			if !m.started[d.Task] {
				t.Fatalf("throttles %s, which does not run", d.Task)
			}
		}
	}
	if len(out) < limit {
		m.checkGangs(t, out)
	}
	return out
}

// checkGangs checks that the tasks of each gang that was placed hold capacity together.
func (m *oracleHarness) checkGangs(t *rapid.T, out []Decision) {
	for _, d := range out {
		if d.Action != ActionPlace || m.jobs[d.Job].Kind != model.KindGang {
			continue
		}
		for n := range m.jobs[d.Job].Tasks {
			id := model.TaskID(fmt.Sprint(d.Job, "/", n))
			at, placed := m.placed[id]
			if !m.ended[id] && (!placed || at.Group != d.Group || d.Group == 0) {
				t.Fatalf("%s placed without %s", d.Task, id)
			}
		}
	}
}

func (m *oracleHarness) checkPlace(t *rapid.T, d Decision) {
	if at, ok := m.placed[d.Task]; ok {
		t.Fatalf("%s placed on %s while on %s", d.Task, d.Worker, at.Worker)
	}
	if m.ended[d.Task] || m.closed[d.Job] {
		t.Fatalf("%s placed after its end", d.Task)
	}
	w := m.workers[d.Worker]
	if w.Leaving || w.Unreachable {
		t.Fatalf("%s placed on %s, which takes nothing", d.Task, d.Worker)
	}
	if quarantined := slices.Contains(m.s.Quarantined(), d.Worker); quarantined != (d.Action == ActionProbe) {
		t.Fatalf("action %d on %s, quarantined: %t", d.Action, d.Worker, quarantined)
	}
	m.placed[d.Task] = d
	if sum := m.sumGrants(func(o Decision) bool { return o.Branch == "c" }); sum.MilliCPU > quotaC.MilliCPU {
		t.Fatalf("c holds %s, quota %s", sum, quotaC)
	}
	if sum := m.grantedOn(d.Worker); !sum.Fits(w.Capacity) {
		t.Fatalf("%s grants %s of %s", d.Worker, sum, w.Capacity)
	}
}

func (m *oracleHarness) checkStop(t *rapid.T, d Decision) {
	if !m.started[d.Task] {
		t.Fatalf("action %d for %s, which does not run", d.Action, d.Task)
	}
	if before, ok := m.stopRequested[d.Task]; ok && (before == ActionStop || d.Action != ActionStop) {
		t.Fatalf("action %d for %s after action %d", d.Action, d.Task, before)
	}
	j := m.jobs[d.Job]
	if d.Action != ActionStop && !j.Restartable && j.Kind != model.KindGang {
		t.Fatalf("stops %s, which cannot be run again", d.Task)
	}
	restart := j.Kind == model.KindGang && d.Beneficiary == d.Branch // it lost a task
	if d.Action == ActionPreempt && (d.Beneficiary == "" || j.Tier == model.TierUrgent && !restart) {
		t.Fatalf("preempts %s of tier %d for %q", d.Task, j.Tier, d.Beneficiary)
	}
	m.stopRequested[d.Task] = d.Action
}

// confirmOrForget confirms or forgets what was placed; a gang's tasks go together.
func (m *oracleHarness) confirmOrForget(t *rapid.T, out []Decision) {
	forget := map[int64]bool{}
	for _, d := range out {
		if d.Action != ActionPlace && d.Action != ActionProbe {
			continue
		}
		drop, known := forget[d.Group]
		if d.Group == 0 || !known {
			drop = rapid.IntRange(0, 4).Draw(t, "forget") == 0
			forget[d.Group] = drop
		}
		if drop {
			m.s.Forget(m.now, d.Task)
			delete(m.placed, d.Task)
			continue
		}
		m.s.Confirm(m.now, d.Task)
		m.started[d.Task] = true
	}
}

// finish ends a run and follows what the contract says of its task.
func (m *oracleHarness) finish(id model.TaskID, outcome model.Outcome) {
	j := m.jobs[m.placed[id].Job]
	if outcome == model.OutcomeDone || outcome == model.OutcomeCanceled || m.closed[j.ID] ||
		outcome != model.OutcomeNotStart && !j.Restartable {
		m.ended[id] = true
	}
	delete(m.placed, id)
	delete(m.started, id)
	delete(m.stopRequested, id)
	m.s.Finish(m.now, id, outcome)
}

// running lists the confirmed tasks in order.
func (m *oracleHarness) running() []model.TaskID {
	ids := make([]model.TaskID, 0, len(m.started))
	for id := range m.started {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// executeStops ends the runs that the scheduler asked to stop.
func (m *oracleHarness) executeStops() {
	for _, id := range m.running() {
		switch action, ok := m.stopRequested[id]; {
		case !ok:
		case action == ActionStop:
			m.finish(id, model.OutcomeCanceled)
		default:
			m.finish(id, model.OutcomePreempted)
		}
	}
}

// placeAndFinish fills the workers and ends what runs: badly on the first worker.
func (m *oracleHarness) placeAndFinish(t *rapid.T) {
	m.confirmOrForget(t, m.decide(t, 100))
	for _, id := range m.running() {
		switch {
		case m.placed[id].Worker == "w0":
			m.finish(id, model.OutcomeFailed)
		case rapid.Bool().Draw(t, "ends"):
			m.finish(id, model.OutcomeDone)
		}
	}
}

func (m *oracleHarness) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
	pick := func() model.TaskID {
		if ids := m.running(); len(ids) > 0 {
			return rapid.SampledFrom(ids).Draw(t, "task")
		}
		return ""
	}
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		m.submit(t)
	case 2:
		m.upsertWorker(rapid.IntRange(0, 7).Draw(t, "worker"), rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "unreachable"))
	case 3:
		m.upsertWorker(rapid.IntRange(0, 7).Draw(t, "worker"), false, false)
	case 4:
		if len(m.jobs) > 0 {
			id := model.JobID(fmt.Sprint("j", rapid.IntRange(1, m.lastJobNumber).Draw(t, "job")))
			m.s.Cancel(m.now, id)
			m.closed[id] = true
		}
	case 5:
		if id := pick(); id != "" {
			m.finish(id, model.Outcome(rapid.IntRange(0, int(model.OutcomeNotStart)).Draw(t, "outcome")))
		}
	case 6:
		m.executeStops()
	case 7:
		if id := pick(); id != "" {
			used := model.Resources{
				MilliCPU:  rapid.Int64Range(0, 8000).Draw(t, "used cpu"),
				MemoryMiB: rapid.Int64Range(0, 8000).Draw(t, "used memory"),
			}
			m.s.Observe(m.now, Usage{Task: id, Worker: m.placed[id].Worker, Used: used, RunTime: time.Minute})
		}
	case 8:
		m.confirmOrForget(t, m.decide(t, rapid.IntRange(1, 20).Draw(t, "limit")))
	default:
		m.placeAndFinish(t)
	}
	proptest.Step()
	if err := m.s.CheckInvariants(); err != nil {
		t.Fatalf("invariant: %v", err)
	}
}

// finishAll lets everything that can run end well, and checks that no task was lost.
func (m *oracleHarness) finishAll(t *rapid.T) {
	for n := range 8 {
		m.upsertWorker(n, false, false)
	}
	for range 400 {
		m.now = m.now.Add(20 * time.Second)
		for _, d := range m.decide(t, 100) {
			if d.Action == ActionPlace || d.Action == ActionProbe {
				m.s.Confirm(m.now, d.Task)
				m.started[d.Task] = true
			}
		}
		m.executeStops()
		for _, id := range m.running() {
			m.finish(id, model.OutcomeDone)
		}
	}
	for id, j := range m.jobs {
		e, ok := m.s.Explain(id)
		if m.closed[id] || !ok || e.Waiting == 0 || m.s.jobs[id].class.state == classParked {
			continue
		}
		t.Fatalf("job %s of %+v never ends: %+v", id, j, e)
	}
}

func TestDecisionsAgainstOracle(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		m := newOracleHarness()
		for n := range 4 {
			m.upsertWorker(n, false, false)
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.step(t)
		}
		m.finishAll(t)
	})
}
