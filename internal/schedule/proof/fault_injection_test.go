package proof

import (
	"testing"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
)

// mutant is a correct Decider broken in one way; nil fields change nothing.
type faultyDecider struct {
	schedule.Decider
	changeBranches  func([]model.Branch)
	changeWorker    func(*schedule.Worker)
	changeJob       func(*model.Job)
	cancelInstead   func(model.JobID)
	changeDecisions func([]schedule.Decision) []schedule.Decision
	extraLimit      int
}

func (d *faultyDecider) SetBranches(now time.Time, branches []model.Branch) {
	out := append([]model.Branch(nil), branches...)
	if d.changeBranches != nil {
		d.changeBranches(out)
	}
	d.Decider.SetBranches(now, out)
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
	out := d.Decider.Decide(now, limit+d.extraLimit)
	if d.changeDecisions != nil {
		out = d.changeDecisions(out)
	}
	return out
}

// each changes every placement of a call.
func changePlacements(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for i := range ds {
			change(&ds[i])
		}
		return ds
	}
}

// again appends a copy of every placement, changed.
func appendCopies(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for _, d := range ds {
			change(&d)
			ds = append(ds, d)
		}
		return ds
	}
}

// scenario is a short life of a cluster with one event of each kind; it returns the rules broken.
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
		{"sound", "", faultyDecider{}},
		{"grants too much", RuleCapacity, faultyDecider{changeDecisions: changePlacements(func(d *schedule.Decision) { d.Size = huge })}},
		{"believes in more capacity", RuleCapacity, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Capacity = quadruple(w.Capacity) }}},
		{"ignores leaving", RuleWorker, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Leaving = false }}},
		{"ignores unreachable", RuleWorker, faultyDecider{changeWorker: func(w *schedule.Worker) { w.Unreachable = false }}},
		{"places on an unknown worker", RuleWorker, faultyDecider{changeDecisions: changePlacements(func(d *schedule.Decision) { d.Worker = "none" })}},
		{"places twice", RuleOnePlace, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Worker = "w1" })}},
		{"ignores quotas", RuleQuota, faultyDecider{changeBranches: func(bs []model.Branch) { bs[0].Quota = model.Resources{} }}},
		{"ignores cancellations", RuleEnded, faultyDecider{cancelInstead: func(model.JobID) {}}},
		{"loses a task", RuleLost, faultyDecider{changeJob: func(j *model.Job) { j.Tasks-- }}},
		{"restarts what may have run", RuleRunOnce, faultyDecider{changeJob: func(j *model.Job) { j.Restartable = true }}},
		{"splits a gang", RuleGang, faultyDecider{changeJob: func(j *model.Job) { j.Kind = model.KindBatch }}},
		{"drops the group", RuleGang, faultyDecider{changeDecisions: changePlacements(func(d *schedule.Decision) { d.Group = 0 })}},
		{"leaves out a member", RuleGang, faultyDecider{changeDecisions: func(ds []schedule.Decision) []schedule.Decision { return ds[:max(len(ds), 1)-1] }}},
		{"exceeds the limit", RuleLimit, faultyDecider{extraLimit: 1}},
		{"preempts for no one", RuleBeneficiary, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Action = schedule.ActionPreempt })}},
		{"preempts what may not run again", RuleRunOnce, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) {
			d.Action, d.Beneficiary = schedule.ActionPreempt, "a"
		})}},
		{"stops a sound job", RuleStop, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) { d.Action = schedule.ActionStop })}},
		{"moves what holds nothing", RuleHeld, faultyDecider{changeDecisions: appendCopies(func(d *schedule.Decision) {
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
				t.Errorf("broken %v, want %q", violations, c.want)
			}
		})
	}
}
