package proof

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Limits of Settle.
const (
	maxCompletionRounds   = 400
	completionStep        = time.Minute
	completionDecideLimit = 1000 // decisions asked for in a round
)

// RunToCompletion plays a host without faults until every task that can run or was cancelled has
// ended, and reports one that is still left after a bounded number of rounds. It returns the clock at the end.
func (o *Oracle) RunToCompletion(now time.Time) time.Time {
	for range maxCompletionRounds {
		if o.unfinishedTask() == nil {
			return now
		}
		now = now.Add(completionStep)
		o.Decide(now, completionDecideLimit)
		o.finishRuns(now)
	}
	if t := o.unfinishedTask(); t != nil {
		e, _ := o.decider.Explain(t.job.ID)
		o.reportViolation(RuleLost, t.id, t.worker, "still in phase %d after %d rounds; explained by %+v", t.phase, maxCompletionRounds, e)
	}
	return now
}

// endRuns confirms every placement and ends the runs that can end.
func (o *Oracle) finishRuns(now time.Time) {
	for _, t := range o.tasksInOrder {
		if !t.holdsCapacity() {
			continue
		}
		o.Confirm(now, t.id)
		if t.runsUntilStopped() {
			continue
		}
		o.Finish(now, t.id, t.expectedOutcome())
	}
}

// stuck reports whether the run goes on until the Decider ends it: its job is cancelled, or it
// waits for tasks of its gang that do not run.
func (t *taskRecord) runsUntilStopped() bool {
	if t.job.canceled {
		return !t.stopRequested
	}
	return t.job.Kind == model.KindGang && !t.stopRequested && t.job.count(phaseWaiting) > 0
}

// answer is the outcome that a healthy worker reports for the run.
func (t *taskRecord) expectedOutcome() model.Outcome {
	switch {
	case !t.stopRequested:
		return model.OutcomeDone
	case t.stopAction == schedule.ActionStop:
		return model.OutcomeCanceled
	}
	return model.OutcomePreempted
}

// owed returns a task that has not ended although it can run or was cancelled, or nil.
func (o *Oracle) unfinishedTask() *taskRecord {
	for _, t := range o.tasksInOrder {
		switch {
		case t.phase == phaseEnded:
		case t.job.canceled && t.holdsCapacity():
			return t
		case !t.job.canceled && !t.job.failed && o.fitsEmptyCluster(t):
			return t
		}
	}
	return nil
}

// canRun reports whether the task, with its whole gang, fits the empty cluster and its quota.
func (o *Oracle) fitsEmptyCluster(t *taskRecord) bool {
	tasks := 1
	if t.job.Kind == model.KindGang {
		tasks = t.job.Tasks - t.job.count(phaseEnded)
	}
	free := o.schedulableCapacities()
	var sum model.Resources
	for range tasks {
		i := slices.IndexFunc(free, t.job.Size.FitsIn)
		if i < 0 {
			return false
		}
		free[i] = free[i].Sub(t.job.Size)
		sum = sum.Add(t.job.Size)
	}
	return !exceedsQuota(sum, o.branches[t.job.Branch].Quota)
}

// capacities lists what the workers that take tasks offer, in a fixed order.
func (o *Oracle) schedulableCapacities() []model.Resources {
	var out []model.Resources
	for _, w := range o.workers {
		if w.listed && !w.Leaving && !w.Unreachable {
			out = append(out, w.Capacity)
		}
	}
	slices.SortFunc(out, func(a, b model.Resources) int {
		return cmp.Or(
			cmp.Compare(a.MilliCPU, b.MilliCPU),
			cmp.Compare(a.MemoryMiB, b.MemoryMiB),
			cmp.Compare(a.Accelerators, b.Accelerators),
		)
	})
	return out
}
