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
	settleRounds = 400
	settleStep   = time.Minute
	settleLimit  = 1000 // decisions asked for in a round
)

// RunToCompletion plays a host without faults until every task that can run or was cancelled has
// ended, and reports one that is still left after a bounded number of rounds. It returns the clock at the end.
func (o *Oracle) RunToCompletion(now time.Time) time.Time {
	for range settleRounds {
		if o.owed() == nil {
			return now
		}
		now = now.Add(settleStep)
		o.Decide(now, settleLimit)
		o.endRuns(now)
	}
	if t := o.owed(); t != nil {
		e, _ := o.inner.Explain(t.job.ID)
		o.violated(RuleLost, t.id, t.worker, "still in phase %d after %d rounds; explained by %+v", t.phase, settleRounds, e)
	}
	return now
}

// endRuns confirms every placement and ends the runs that can end.
func (o *Oracle) endRuns(now time.Time) {
	for _, t := range o.order {
		if !t.held() {
			continue
		}
		o.Confirm(now, t.id)
		if t.stuck() {
			continue
		}
		o.Finish(now, t.id, t.answer())
	}
}

// stuck reports whether the run goes on until the Decider ends it: its job is cancelled, or it
// waits for tasks of its gang that do not run.
func (t *taskRecord) stuck() bool {
	if t.job.canceled {
		return !t.asked
	}
	return t.job.Kind == model.KindGang && !t.asked && t.job.count(phaseWaiting) > 0
}

// answer is the outcome that a healthy worker reports for the run.
func (t *taskRecord) answer() model.Outcome {
	switch {
	case !t.asked:
		return model.OutcomeDone
	case t.stop == schedule.ActionStop:
		return model.OutcomeCanceled
	}
	return model.OutcomePreempted
}

// owed returns a task that has not ended although it can run or was cancelled, or nil.
func (o *Oracle) owed() *taskRecord {
	for _, t := range o.order {
		switch {
		case t.phase == phaseEnded:
		case t.job.canceled && t.held():
			return t
		case !t.job.canceled && !t.job.failed && o.canRun(t):
			return t
		}
	}
	return nil
}

// canRun reports whether the task, with its whole gang, fits the empty cluster and its quota.
func (o *Oracle) canRun(t *taskRecord) bool {
	together := 1
	if t.job.Kind == model.KindGang {
		together = t.job.Tasks - t.job.count(phaseEnded)
	}
	free := o.capacities()
	var sum model.Resources
	for range together {
		at := slices.IndexFunc(free, t.job.Size.FitsIn)
		if at < 0 {
			return false
		}
		free[at] = free[at].Sub(t.job.Size)
		sum = sum.Add(t.job.Size)
	}
	return !quotaBroken(sum, o.branches[t.job.Branch].Quota)
}

// capacities lists what the workers that take tasks offer, in a fixed order.
func (o *Oracle) capacities() []model.Resources {
	var out []model.Resources
	for _, w := range o.workers {
		if w.known && !w.Leaving && !w.Unreachable {
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
