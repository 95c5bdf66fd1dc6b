package proof

import (
	"testing"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
)

// mutant is a correct Decider broken in one way; nil fields change nothing.
type mutant struct {
	schedule.Decider
	branches func([]model.Branch)
	worker   func(*schedule.Worker)
	submit   func(*model.Job)
	cancel   func(model.JobID)
	decide   func([]schedule.Decision) []schedule.Decision
	limit    int
}

func (m *mutant) SetBranches(now time.Time, branches []model.Branch) {
	out := append([]model.Branch(nil), branches...)
	if m.branches != nil {
		m.branches(out)
	}
	m.Decider.SetBranches(now, out)
}

func (m *mutant) UpsertWorker(now time.Time, w schedule.Worker) {
	if m.worker != nil {
		m.worker(&w)
	}
	m.Decider.UpsertWorker(now, w)
}

func (m *mutant) Submit(now time.Time, j model.Job) schedule.Status {
	if m.submit != nil {
		m.submit(&j)
	}
	return m.Decider.Submit(now, j)
}

func (m *mutant) Cancel(now time.Time, id model.JobID) {
	if m.cancel != nil {
		m.cancel(id)
		return
	}
	m.Decider.Cancel(now, id)
}

func (m *mutant) Decide(now time.Time, limit int) []schedule.Decision {
	out := m.Decider.Decide(now, limit+m.limit)
	if m.decide != nil {
		out = m.decide(out)
	}
	return out
}

// each changes every placement of a call.
func each(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for i := range ds {
			change(&ds[i])
		}
		return ds
	}
}

// again appends a copy of every placement, changed.
func again(change func(*schedule.Decision)) func([]schedule.Decision) []schedule.Decision {
	return func(ds []schedule.Decision) []schedule.Decision {
		for _, d := range ds {
			change(&d)
			ds = append(ds, d)
		}
		return ds
	}
}

// scenario is a short life of a cluster with one event of each kind; it returns the rules broken.
func scenario(m *mutant) map[Rule]int {
	broken := make(map[Rule]int)
	o := NewOracle(m, func(v *Violation) { broken[v.Rule]++ })
	size := model.Resources{MilliCPU: 1000, MemoryMiB: 1024}
	quota := model.Resources{MilliCPU: 3000}
	o.SetBranches(start, []model.Branch{{ID: "a", Share: 1, Quota: quota}, {ID: "b", Share: 1}})
	for _, id := range []model.WorkerID{"w1", "w2", "w3"} {
		o.UpsertWorker(start, schedule.Worker{ID: id, Capacity: times4(size), Leaving: id == "w1", Unreachable: id == "w2"})
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
	o.UpsertWorker(start, schedule.Worker{ID: "w2", Capacity: times4(size)})
	job("rest", "b", model.KindService, 12)
	for range 3 {
		o.Decide(start, 10)
	}
	o.endRuns(start)
	o.RunToCompletion(start)
	o.Decide(start, 10)
	return broken
}

func times4(r model.Resources) model.Resources { return r.Add(r).Add(r).Add(r) }

func TestOracleCatchesBrokenDeciders(t *testing.T) {
	huge := model.Resources{MilliCPU: 5000}
	first := make(map[model.TaskID]schedule.Decision)
	cases := []struct {
		name string
		want Rule
		mutant
	}{
		{"sound", "", mutant{}},
		{"grants too much", RuleCapacity, mutant{decide: each(func(d *schedule.Decision) { d.Size = huge })}},
		{"believes in more capacity", RuleCapacity, mutant{worker: func(w *schedule.Worker) { w.Capacity = times4(w.Capacity) }}},
		{"ignores leaving", RuleWorker, mutant{worker: func(w *schedule.Worker) { w.Leaving = false }}},
		{"ignores unreachable", RuleWorker, mutant{worker: func(w *schedule.Worker) { w.Unreachable = false }}},
		{"places on an unknown worker", RuleWorker, mutant{decide: each(func(d *schedule.Decision) { d.Worker = "none" })}},
		{"places twice", RuleOnePlace, mutant{decide: again(func(d *schedule.Decision) { d.Worker = "w1" })}},
		{"ignores quotas", RuleQuota, mutant{branches: func(bs []model.Branch) { bs[0].Quota = model.Resources{} }}},
		{"ignores cancellations", RuleEnded, mutant{cancel: func(model.JobID) {}}},
		{"loses a task", RuleLost, mutant{submit: func(j *model.Job) { j.Tasks-- }}},
		{"restarts what may have run", RuleRunOnce, mutant{submit: func(j *model.Job) { j.Restartable = true }}},
		{"splits a gang", RuleGang, mutant{submit: func(j *model.Job) { j.Kind = model.KindBatch }}},
		{"drops the group", RuleGang, mutant{decide: each(func(d *schedule.Decision) { d.Group = 0 })}},
		{"leaves out a member", RuleGang, mutant{decide: func(ds []schedule.Decision) []schedule.Decision { return ds[:max(len(ds), 1)-1] }}},
		{"exceeds the limit", RuleLimit, mutant{limit: 1}},
		{"preempts for no one", RuleBeneficiary, mutant{decide: again(func(d *schedule.Decision) { d.Action = schedule.ActionPreempt })}},
		{"preempts what may not run again", RuleRunOnce, mutant{decide: again(func(d *schedule.Decision) {
			d.Action, d.Beneficiary = schedule.ActionPreempt, "a"
		})}},
		{"stops a sound job", RuleStop, mutant{decide: again(func(d *schedule.Decision) { d.Action = schedule.ActionStop })}},
		{"moves what holds nothing", RuleHeld, mutant{decide: again(func(d *schedule.Decision) {
			d.Action, d.Worker = schedule.ActionMove, "w1"
		})}},
		{"throttles above the grant", RuleCapacity, mutant{decide: again(func(d *schedule.Decision) {
			d.Action, d.Limit = schedule.ActionThrottle, huge
		})}},
		{"places finished tasks", RuleEnded, mutant{decide: func(ds []schedule.Decision) []schedule.Decision {
			for _, d := range ds {
				first[d.Task] = d
			}
			if len(ds) == 0 {
				ds = append(ds, first["rest/0"])
			}
			return ds
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.Decider = baseline.NewFirstFit()
			broken := scenario(&c.mutant)
			if c.want == "" && len(broken) > 0 || c.want != "" && broken[c.want] == 0 {
				t.Errorf("broken %v, want %q", broken, c.want)
			}
		})
	}
}
