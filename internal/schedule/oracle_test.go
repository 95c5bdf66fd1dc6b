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

// quotaC is the quota of branch c.
var quotaC = model.Resources{MilliCPU: 9000}

// epoch is the start time of the simulated clock.
var epoch = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

// oracleHarness drives a Scheduler with random events and checks its decisions against a simple
// oracle, which tracks the placement and state of each task and the capacity of each worker.
type oracleHarness struct {
	s             *Scheduler
	now           time.Time
	workers       map[model.WorkerID]Worker
	placed        map[model.TaskID]Decision // tasks that hold capacity, with worker and size
	started       map[model.TaskID]bool     // confirmed
	stopRequested map[model.TaskID]Action   // last stop, move or preemption of the run
	jobs          map[model.JobID]model.Job
	canceled      map[model.JobID]bool
	ended         map[model.TaskID]bool
	lastJobNumber int
}

func newOracleHarness() *oracleHarness {
	h := &oracleHarness{
		s: New(DefaultOptions(), rand.New(rand.NewPCG(1, 2))), now: epoch,
		workers: map[model.WorkerID]Worker{}, placed: map[model.TaskID]Decision{},
		started: map[model.TaskID]bool{}, stopRequested: map[model.TaskID]Action{},
		jobs: map[model.JobID]model.Job{}, canceled: map[model.JobID]bool{}, ended: map[model.TaskID]bool{},
	}
	h.s.SetBranches(h.now, []model.Branch{{ID: "a", Share: 1}, {ID: "b", Share: 2}, {ID: "c", Share: 1, Quota: quotaC}})
	return h
}

// upsertWorker adds or updates worker n. Its rack, failure domain and capacity depend only on n.
func (h *oracleHarness) upsertWorker(n int, leaving, unreachable bool) {
	w := Worker{
		ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/2),
		FailureDomain: model.FailureDomain(fmt.Sprint("d", n%3)), Leaving: leaving, Unreachable: unreachable,
		Capacity: model.Resources{MilliCPU: 4000, MemoryMiB: 8000, Accelerators: int64(n % 2)},
	}
	h.workers[w.ID] = w
	h.s.UpsertWorker(h.now, w)
}

func (h *oracleHarness) submitRandomJob(t *rapid.T) {
	h.lastJobNumber++
	j := model.Job{
		ID:        model.JobID(fmt.Sprint("j", h.lastJobNumber)),
		Branch:    rapid.SampledFrom([]model.BranchID{"a", "b", "c"}).Draw(t, "branch"),
		Kind:      rapid.SampledFrom([]model.Kind{model.KindBatch, model.KindService, model.KindGang}).Draw(t, "kind"),
		Tier:      model.Tier(rapid.IntRange(0, int(model.TierCount)-1).Draw(t, "tier")),
		Tasks:     rapid.IntRange(1, 6).Draw(t, "tasks"),
		Size:      model.Resources{MilliCPU: 1000 * rapid.Int64Range(1, 5).Draw(t, "cpu"), MemoryMiB: 1000},
		Runtime:   time.Minute,
		Workload:  model.WorkloadID(fmt.Sprint("wl", rapid.IntRange(0, 3).Draw(t, "workload"))),
		Submitted: h.now, Restartable: rapid.IntRange(0, 9).Draw(t, "restartable") > 0,
	}
	if rapid.Bool().Draw(t, "deadline") {
		j.Deadline = h.now.Add(10 * time.Minute)
	}
	if status := h.s.Submit(h.now, j); status.Code == Invalid {
		t.Fatalf("submit: %+v", status)
	}
	h.jobs[j.ID] = j
}

// grantedOn returns the capacity granted on a worker according to the oracle.
func (h *oracleHarness) grantedOn(id model.WorkerID) model.Resources {
	return h.sumGrants(func(d Decision) bool { return d.Worker == id })
}

func (h *oracleHarness) sumGrants(match func(Decision) bool) model.Resources {
	var sum model.Resources
	for _, d := range h.placed {
		if match(d) {
			sum = sum.Add(d.Size)
		}
	}
	return sum
}

// decideAndCheck calls Decide and checks each decision against the oracle.
func (h *oracleHarness) decideAndCheck(t *rapid.T, limit int) []Decision {
	decisions := h.s.Decide(h.now, limit)
	if len(decisions) > limit {
		t.Fatalf("%d decisions, limit %d", len(decisions), limit)
	}
	for _, d := range decisions {
		switch d.Action {
		case ActionPlace, ActionProbe:
			h.checkPlace(t, d)
		case ActionPreempt, ActionStop, ActionMove:
			h.checkStop(t, d)
		case ActionThrottle:
			if !h.started[d.Task] {
				t.Fatalf("throttles %s, which is not running", d.Task)
			}
		}
	}
	if len(decisions) < limit {
		h.checkGangs(t, decisions)
	}
	return decisions
}

// checkGangs checks that the unfinished tasks of each placed gang all hold capacity in one
// group.
func (h *oracleHarness) checkGangs(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		if d.Action != ActionPlace || h.jobs[d.Job].Kind != model.KindGang {
			continue
		}
		for n := range h.jobs[d.Job].Tasks {
			id := model.TaskID(fmt.Sprint(d.Job, "/", n))
			at, placed := h.placed[id]
			if !h.ended[id] && (!placed || at.Group != d.Group || d.Group == 0) {
				t.Fatalf("%s placed without %s", d.Task, id)
			}
		}
	}
}

func (h *oracleHarness) checkPlace(t *rapid.T, d Decision) {
	if at, ok := h.placed[d.Task]; ok {
		t.Fatalf("%s placed on %s while it holds capacity on %s", d.Task, d.Worker, at.Worker)
	}
	if h.ended[d.Task] || h.canceled[d.Job] {
		t.Fatalf("%s placed after its task ended or its job was canceled", d.Task)
	}
	w := h.workers[d.Worker]
	if w.Leaving || w.Unreachable {
		t.Fatalf("%s placed on %s, which accepts no tasks", d.Task, d.Worker)
	}
	if quarantined := slices.Contains(h.s.Quarantined(), d.Worker); quarantined != (d.Action == ActionProbe) {
		t.Fatalf("action %d on %s, quarantined: %t", d.Action, d.Worker, quarantined)
	}
	h.placed[d.Task] = d
	if sum := h.sumGrants(func(o Decision) bool { return o.Branch == "c" }); sum.MilliCPU > quotaC.MilliCPU {
		t.Fatalf("branch c holds %s, quota %s", sum, quotaC)
	}
	if sum := h.grantedOn(d.Worker); !sum.FitsIn(w.Capacity) {
		t.Fatalf("worker %s grants %s, capacity %s", d.Worker, sum, w.Capacity)
	}
}

func (h *oracleHarness) checkStop(t *rapid.T, d Decision) {
	if !h.started[d.Task] {
		t.Fatalf("action %d for %s, which is not running", d.Action, d.Task)
	}
	if before, ok := h.stopRequested[d.Task]; ok && (before == ActionStop || d.Action != ActionStop) {
		t.Fatalf("action %d for %s after action %d", d.Action, d.Task, before)
	}
	j := h.jobs[d.Job]
	if d.Action != ActionStop && !j.Restartable && j.Kind != model.KindGang {
		t.Fatalf("stops %s, which cannot be restarted", d.Task)
	}
	restart := j.Kind == model.KindGang && d.Beneficiary == d.Branch // the gang lost a task
	if d.Action == ActionPreempt && (d.Beneficiary == "" || j.Tier == model.TierUrgent && !restart) {
		t.Fatalf("preempts %s of tier %d for %q", d.Task, j.Tier, d.Beneficiary)
	}
	h.stopRequested[d.Task] = d.Action
}

// confirmOrForget randomly confirms or forgets placements; a gang's tasks are treated alike.
func (h *oracleHarness) confirmOrForget(t *rapid.T, decisions []Decision) {
	forget := map[int64]bool{}
	for _, d := range decisions {
		if d.Action != ActionPlace && d.Action != ActionProbe {
			continue
		}
		drop, known := forget[d.Group]
		if d.Group == 0 || !known {
			drop = rapid.IntRange(0, 4).Draw(t, "forget") == 0
			forget[d.Group] = drop
		}
		if drop {
			h.s.Forget(h.now, d.Task)
			delete(h.placed, d.Task)
			continue
		}
		h.s.Confirm(h.now, d.Task)
		h.started[d.Task] = true
	}
}

// finishRun ends a run and updates the oracle according to the contract of Decider.Finish.
func (h *oracleHarness) finishRun(id model.TaskID, outcome model.Outcome) {
	j := h.jobs[h.placed[id].Job]
	if outcome == model.OutcomeDone || outcome == model.OutcomeCanceled || h.canceled[j.ID] ||
		outcome != model.OutcomeNotStarted && !j.Restartable {
		h.ended[id] = true
	}
	delete(h.placed, id)
	delete(h.started, id)
	delete(h.stopRequested, id)
	h.s.Finish(h.now, id, outcome)
}

// runningTasks returns the confirmed tasks sorted by ID.
func (h *oracleHarness) runningTasks() []model.TaskID {
	ids := make([]model.TaskID, 0, len(h.started))
	for id := range h.started {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// executeStops ends the runs that the scheduler stopped, moved or preempted.
func (h *oracleHarness) executeStops() {
	for _, id := range h.runningTasks() {
		switch action, ok := h.stopRequested[id]; {
		case !ok:
		case action == ActionStop:
			h.finishRun(id, model.OutcomeCanceled)
		default:
			h.finishRun(id, model.OutcomePreempted)
		}
	}
}

// placeAndFinish places tasks and ends running ones: on worker w0 all of them fail, elsewhere
// a random part succeeds.
func (h *oracleHarness) placeAndFinish(t *rapid.T) {
	h.confirmOrForget(t, h.decideAndCheck(t, 100))
	for _, id := range h.runningTasks() {
		switch {
		case h.placed[id].Worker == "w0":
			h.finishRun(id, model.OutcomeFailed)
		case rapid.Bool().Draw(t, "ends"):
			h.finishRun(id, model.OutcomeDone)
		}
	}
}

func (h *oracleHarness) step(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
	pick := func() model.TaskID {
		if ids := h.runningTasks(); len(ids) > 0 {
			return rapid.SampledFrom(ids).Draw(t, "task")
		}
		return ""
	}
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		h.submitRandomJob(t)
	case 2:
		h.upsertWorker(rapid.IntRange(0, 7).Draw(t, "worker"), rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "unreachable"))
	case 3:
		h.upsertWorker(rapid.IntRange(0, 7).Draw(t, "worker"), false, false)
	case 4:
		if len(h.jobs) > 0 {
			id := model.JobID(fmt.Sprint("j", rapid.IntRange(1, h.lastJobNumber).Draw(t, "job")))
			h.s.Cancel(h.now, id)
			h.canceled[id] = true
		}
	case 5:
		if id := pick(); id != "" {
			h.finishRun(id, model.Outcome(rapid.IntRange(0, int(model.OutcomeNotStarted)).Draw(t, "outcome")))
		}
	case 6:
		h.executeStops()
	case 7:
		if id := pick(); id != "" {
			used := model.Resources{
				MilliCPU:  rapid.Int64Range(0, 8000).Draw(t, "used cpu"),
				MemoryMiB: rapid.Int64Range(0, 8000).Draw(t, "used memory"),
			}
			h.s.Observe(h.now, Usage{Task: id, Worker: h.placed[id].Worker, Used: used, RunTime: time.Minute})
		}
	case 8:
		h.confirmOrForget(t, h.decideAndCheck(t, rapid.IntRange(1, 20).Draw(t, "limit")))
	default:
		h.placeAndFinish(t)
	}
	proptest.CountStep()
	if err := h.s.CheckInvariants(); err != nil {
		t.Fatalf("invariant: %v", err)
	}
}

// finishAll runs all tasks that can run to success, and checks that no task was lost.
func (h *oracleHarness) finishAll(t *rapid.T) {
	for n := range 8 {
		h.upsertWorker(n, false, false)
	}
	for range 400 {
		h.now = h.now.Add(20 * time.Second)
		for _, d := range h.decideAndCheck(t, 100) {
			if d.Action == ActionPlace || d.Action == ActionProbe {
				h.s.Confirm(h.now, d.Task)
				h.started[d.Task] = true
			}
		}
		h.executeStops()
		for _, id := range h.runningTasks() {
			h.finishRun(id, model.OutcomeDone)
		}
	}
	for id, j := range h.jobs {
		e, ok := h.s.Explain(id)
		if h.canceled[id] || !ok || e.Waiting == 0 || h.s.jobs[id].class.state == classParked {
			continue
		}
		t.Fatalf("job %s still has waiting tasks: job %+v, explanation %+v", id, j, e)
	}
}

func TestDecisionsAgainstOracle(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		h := newOracleHarness()
		for n := range 4 {
			h.upsertWorker(n, false, false)
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			h.step(t)
		}
		h.finishAll(t)
	})
}
