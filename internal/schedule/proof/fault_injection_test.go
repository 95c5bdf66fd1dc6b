package proof

import (
	"testing"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
)

// faultyDecider injects a fault into a correct Decider by changing the arguments or results of
// its calls. Nil functions change nothing.
type faultyDecider struct {
	schedule.Decider
	changeBranches  func([]model.Branch)
	changeWorker    func(*schedule.Worker)
	changeJob       func(*model.Job)
	cancelInstead   func(model.JobID) // called instead of Cancel
	changeDecisions func([]schedule.Decision) []schedule.Decision
	extraLimit      int // added to the limit of Decide
}

func (d *faultyDecider) SetBranches(now time.Time, branches []model.Branch) {
	changed := append([]model.Branch(nil), branches...)
	if d.changeBranches != nil {
		d.changeBranches(changed)
	}
	d.Decider.SetBranches(now, changed)
}

func (d *faultyDecider) UpsertWorker(now time.Time, w schedule.Worker) {
	if d.changeWorker != nil {
		d.changeWorker(&w)
	}
	d.Decider.UpsertWorker(now, w)
}

func (d *faultyDecider) Submit(now time.Time, j model.Job) schedule.Status {
	if d.changeJob != nil {
		d.changeJob(&j)
	}
	return d.Decider.Submit(now, j)
}

func (d *faultyDecider) Cancel(now time.Time, id model.JobID) {
	if d.cancelInstead != nil {
		d.cancelInstead(id)
		return
	}
	d.Decider.Cancel(now, id)
}

func (d *faultyDecider) Decide(now time.Time, limit int) []schedule.Decision {
	decisions := d.Decider.Decide(now, limit+d.extraLimit)
	if d.changeDecisions != nil {
		decisions = d.changeDecisions(decisions)
	}
	return decisions
}

// changeEach returns a function that applies change to every decision of a call.
func changeEach(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for i := range ds {
			change(&ds[i])
		}
		return ds
	}
}

// appendCopies returns a function that appends a changed copy of every decision of a call.
func appendCopies(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for _, d := range ds {
			change(&d)
			ds = append(ds, d)
		}
		return ds
	}
}

// runScenario runs a short sequence of events of each kind, with a leaving worker w1 and an
// unreachable worker w2 at the start, and returns the number of violations by rule.
func runScenario(decider *faultyDecider) map[Rule]int {
	violations := make(map[Rule]int)
	o := NewOracle(decider, func(v *Violation) { violations[v.Rule]++ })
	size := model.Resources{MilliCPU: 1000, MemoryMiB: 1024}
	quota := model.Resources{MilliCPU: 3000}
	o.SetBranches(start, []model.Branch{{ID: "a", Share: 1, Quota: quota}, {ID: "b", Share: 1}})
	for _, id := range []model.WorkerID{"w1", "w2", "w3"} {
		o.UpsertWorker(start, schedule.Worker{ID: id, Capacity: quadruple(size), Leaving: id == "w1", Unreachable: id == "w2"})
	}
	job := func(id model.JobID, branch model.BranchID, kind model.Kind, tasks int) {
		o.Submit(start, model.Job{ID: id, Branch: branch, Kind: kind, Tasks: tasks, Size: size, Restartable: id != "once"})
	}
	job("once", "b", model.KindBatch, 1)
	job("gang", "b", model.KindGang, 2)
	o.Decide(start, 3)
	o.Confirm(start, "once/0")
	o.Finish(start, "once/0", model.OutcomeLost)
	job("quota", "a", model.KindBatch, 6)
	job("canceled", "b", model.KindBatch, 6)
	o.Decide(start, 1)
	o.Cancel(start, "canceled")
	o.UpsertWorker(start, schedule.Worker{ID: "w2", Capacity: quadruple(size)})
	job("rest", "b", model.KindService, 12)
	for range 3 {
		o.Decide(start, 10)
	}
	o.finishRuns(start)
	o.RunToCompletion(start)
	o.Decide(start, 10)
	return violations
}

func quadruple(r model.Resources) model.Resources { return r.Add(r).Add(r).Add(r) }

func TestOracleDetectsInjectedFaults(t *testing.T) {
	huge := model.Resources{MilliCPU: 5000}
	firstPlacement := make(map[model.TaskID]schedule.Decision)
	cases := []struct {
		name string
		want Rule
		faultyDecider
	}{
		{"no fault", "", faultyDecider{}},
		{"grants more than the capacity", RuleCapacity, faultyDecider{changeDecisions: changeEach(func(d *schedule.Decision) { d.Size = huge })}},
		{"overestimates worker capacity", RuleCapacity, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Capacity = quadruple(w.Capacity) }}},
		{"places on a leaving worker", RuleWorker, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Leaving = false }}},
		{"places on an unreachable worker", RuleWorker, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Unreachable = false }}},
		{"places on an unknown worker", RuleWorker, faultyDecider{changeDecisions: changeEach(func(d *schedule.Decision) { d.Worker = "none" })}},
		{"places a task twice", RuleOnePlace, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Worker = "w1" })}},
		{"ignores quotas", RuleQuota, faultyDecider{changeBranches: func(bs []model.Branch) { bs[0].Quota = model.Resources{} }}},
		{"ignores cancellations", RuleEnded, faultyDecider{cancelInstead: func(model.JobID) {}}},
		{"loses a task", RuleLost, faultyDecider{changeJob: func(j *model.Job) { j.Tasks-- }}},
		{"restarts a task that is not restartable", RuleRunOnce, faultyDecider{changeJob: func(j *model.Job) { j.Restartable = true }}},
		{"splits a gang", RuleGang, faultyDecider{changeJob: func(j *model.Job) { j.Kind = model.KindBatch }}},
		{"omits the gang's group", RuleGang, faultyDecider{changeDecisions: changeEach(func(d *schedule.Decision) { d.Group = 0 })}},
		{"omits a task of a gang", RuleGang, faultyDecider{changeDecisions: func(ds []schedule.Decision) []schedule.Decision { return ds[:max(len(ds), 1)-1] }}},
		{"exceeds the limit", RuleLimit, faultyDecider{extraLimit: 1}},
		{"preempts without a beneficiary", RuleBeneficiary, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Action = schedule.ActionPreempt })}},
		{"preempts a task that is not restartable", RuleRunOnce, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) {
			d.Action, d.Beneficiary = schedule.ActionPreempt, "a"
		})}},
		{"stops a healthy job", RuleStop, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Action = schedule.ActionStop })}},
		{"moves a task from a worker that does not run it", RuleHeld, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) {
			d.Action, d.Worker = schedule.ActionMove, "w1"
		})}},
		{"throttles above the grant", RuleCapacity, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) {
			d.Action, d.Limit = schedule.ActionThrottle, huge
		})}},
		{"places finished tasks", RuleEnded, faultyDecider{changeDecisions: func(ds []schedule.Decision) []schedule.Decision {
			for _, d := range ds {
				firstPlacement[d.Task] = d
			}
			if len(ds) == 0 {
				ds = append(ds, firstPlacement["rest/0"])
			}
			return ds
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.Decider = baseline.NewFirstFit()
			violations := runScenario(&c.faultyDecider)
			if c.want == "" && len(violations) > 0 || c.want != "" && violations[c.want] == 0 {
				t.Errorf("violations by rule %v, want a violation of %q", violations, c.want)
			}
		})
	}
}
