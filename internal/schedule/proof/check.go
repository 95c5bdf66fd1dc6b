package proof

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Decide implements schedule.Decider. It checks every decision.
func (o *Oracle) Decide(now time.Time, limit int) []schedule.Decision {
	decisions := o.decider.Decide(now, limit)
	if len(decisions) > limit {
		o.reportViolation(RuleLimit, "", "", "%d decisions, limit %d", len(decisions), limit)
	}
	gangs := make(map[*jobRecord]*gangPlacement)
	for _, d := range decisions {
		t, ok := o.tasks[d.Task]
		if !ok {
			o.reportViolation(RuleEnded, d.Task, d.Worker, "unknown task")
			continue
		}
		switch d.Action {
		case schedule.ActionPlace, schedule.ActionProbe:
			o.checkPlace(t, d, gangs)
		case schedule.ActionThrottle:
			o.checkHeld(t, d)
		default:
			o.checkStop(t, d)
		}
	}
	for j, g := range gangs {
		o.checkGang(j, g)
	}
	return decisions
}

// gangPlacement holds the tasks and groups of a gang that one call of Decide placed.
type gangPlacement struct {
	placed map[*taskRecord]bool
	groups map[int64]bool
}

func (o *Oracle) checkPlace(t *taskRecord, d schedule.Decision, gangs map[*jobRecord]*gangPlacement) {
	switch {
	case t.holdsCapacity():
		o.reportViolation(RuleOnePlace, t.id, d.Worker, "already holds capacity on worker %q", t.worker)
		return
	case t.phase == phaseEnded && !t.job.canceled && !t.job.Restartable:
		o.reportViolation(RuleRunOnce, t.id, d.Worker, "placed again, but not restartable")
		return
	case t.phase == phaseEnded:
		o.reportViolation(RuleEnded, t.id, d.Worker, "placed after its end")
		return
	}
	w := o.getOrAddWorker(d.Worker)
	if !w.listed || w.Leaving || w.Unreachable {
		o.reportViolation(RuleWorker, t.id, d.Worker, "placed on a worker with listed %t, leaving %t, unreachable %t", w.listed, w.Leaving, w.Unreachable)
	}
	o.allocate(t, d.Worker, d.Size)
	if d.Size.HasNegative() || !w.granted.FitsIn(w.Capacity) {
		o.reportViolation(RuleCapacity, t.id, d.Worker, "size %v; the worker's grants sum up to %v, its capacity is %v", d.Size, w.granted, w.Capacity)
	}
	if quota := o.branches[t.job.Branch].Quota; exceedsQuota(o.granted[t.job.Branch], quota) {
		o.reportViolation(RuleQuota, t.id, d.Worker, "the branch's grants sum up to %v, its quota is %v", o.granted[t.job.Branch], quota)
	}
	if t.job.Kind != model.KindGang {
		return
	}
	g, ok := gangs[t.job]
	if !ok {
		g = &gangPlacement{placed: make(map[*taskRecord]bool), groups: make(map[int64]bool)}
		gangs[t.job] = g
	}
	g.placed[t] = true
	g.groups[d.Group] = true
}

// checkGang checks that all unfinished tasks of the gang were placed in one group. A task with
// failed runs may be missing, since the Decider may have abandoned it.
func (o *Oracle) checkGang(j *jobRecord, g *gangPlacement) {
	if len(g.groups) != 1 || g.groups[0] {
		o.reportViolation(RuleGang, "", "", "gang %q was not placed in one non-zero group: %v", j.ID, g.groups)
	}
	for _, t := range j.tasks {
		if t.phase == phaseEnded || t.failures > 0 {
			continue
		}
		if !g.placed[t] {
			o.reportViolation(RuleGang, t.id, t.worker, "not placed together with %d other tasks of its gang", len(g.placed))
		}
	}
}

func (o *Oracle) checkHeld(t *taskRecord, d schedule.Decision) bool {
	if !t.holdsCapacity() || t.worker != d.Worker {
		o.reportViolation(RuleHeld, t.id, d.Worker, "action %d for a task in phase %d on worker %q", d.Action, t.phase, t.worker)
		return false
	}
	if d.Action == schedule.ActionThrottle && !d.Limit.FitsIn(t.size) {
		o.reportViolation(RuleCapacity, t.id, d.Worker, "throttle limit %v exceeds the grant %v", d.Limit, t.size)
	}
	return true
}

func (o *Oracle) checkStop(t *taskRecord, d schedule.Decision) {
	if !o.checkHeld(t, d) {
		return
	}
	t.stopRequested, t.stopAction = true, d.Action
	switch d.Action {
	case schedule.ActionPreempt:
		if _, ok := o.branches[d.Beneficiary]; !ok {
			o.reportViolation(RuleBeneficiary, t.id, d.Worker, "unknown beneficiary %q", d.Beneficiary)
		}
		if !t.job.Restartable {
			o.reportViolation(RuleRunOnce, t.id, d.Worker, "preempted, but not restartable")
		}
	case schedule.ActionStop:
		if !t.job.mayStop() {
			o.reportViolation(RuleStop, t.id, d.Worker, "stopped with reason %q, but the job must not be stopped", d.Reason)
		}
	}
}
