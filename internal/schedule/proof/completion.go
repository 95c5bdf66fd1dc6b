package proof

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// Limits of RunToCompletion.
const (
	maxCompletionRounds   = 400
	completionStep        = time.Minute // between two rounds
	completionDecideLimit = 1000        // decisions requested in a round
)

// RunToCompletion simulates healthy workers until every task that can run or was canceled has
// ended. It reports RuleLost if such a task has not ended after a bounded number of rounds. It
// returns the simulated time at the end.
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
		o.reportViolation(RuleLost, t.id, t.worker, "still in phase %d after %d rounds; the Decider explains %+v", t.phase, maxCompletionRounds, e)
	}
	return now
}

// finishRuns confirms every placement and finishes all runs, except those that continue until
// the Decider stops them.
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

// runsUntilStopped reports whether the run continues until the Decider stops it: its job is
// canceled, or tasks of its gang are not running.
func (t *taskRecord) runsUntilStopped() bool {
	if t.job.canceled {
		return !t.stopRequested
	}
	return t.job.Kind == model.KindGang && !t.stopRequested && t.job.count(phaseWaiting) > 0
}

// expectedOutcome returns the outcome that a healthy worker reports for the run.
func (t *taskRecord) expectedOutcome() model.Outcome {
	switch {
	case !t.stopRequested:
		return model.OutcomeDone
	case t.stopAction == schedule.ActionStop:
		return model.OutcomeCanceled
	}
	return model.OutcomePreempted
}

// unfinishedTask returns a task that has not ended although it can run or its job was canceled,
// or nil if there is none.
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

// fitsEmptyCluster reports whether the task, or its whole gang, fits on the empty cluster and
// within the branch's quota.
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

// schedulableCapacities returns the capacities of the workers that accept tasks, in an order
// that does not depend on map iteration.
func (o *Oracle) schedulableCapacities() []model.Resources {
	var capacities []model.Resources
	for _, w := range o.workers {
		if w.listed && !w.Leaving && !w.Unreachable {
			capacities = append(capacities, w.Capacity)
		}
	}
	slices.SortFunc(capacities, func(a, b model.Resources) int {
		return cmp.Or(
			cmp.Compare(a.MilliCPU, b.MilliCPU),
			cmp.Compare(a.MemoryMiB, b.MemoryMiB),
			cmp.Compare(a.Accelerators, b.Accelerators),
		)
	})
	return capacities
}
