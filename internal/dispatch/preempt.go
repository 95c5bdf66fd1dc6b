package dispatch

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Limits of preemption.
const (
	preemptionSlack = 2 * time.Second // a victim keeps at least this much time beyond its remaining run time
	maxShareReturn  = 2 * time.Second // after which a waiting account gets its share back from runs of the same priority that save their work
	minPreemptions  = 16              // minimum limit of concurrent preemptions
	// workersPerPreemption is the number of workers per concurrent preemption above that minimum. A
	// stop takes up to a second, and a burst needs several tasks per worker.
	workersPerPreemption = 3
	// maxPreemptionSearch is the number of workers that one pass examines for preemption. The least urgent
	// steps are left to later passes.
	maxPreemptionSearch = 50_000
	// preemptionSearchInterval is the time between searches for runs that steps of one key may preempt,
	// after one that found none.
	preemptionSearchInterval = 250 * time.Millisecond
)

// preempt frees capacity for the most urgent unplaced steps by stopping checkpointing runs of
// less urgent queues, which lose no work; for a gang only if all its members fit then. Capacity
// that is already being freed counts first.
func (d *Dispatcher) preempt(now time.Duration, steps []*step) {
	budget := max(minPreemptions, len(d.workerList)/workersPerPreemption)
	for _, r := range d.unsettledRuns {
		if r.preempted && !r.removed {
			budget--
		}
	}
	examinedBefore := d.load.Examined
	promised := map[*worker]model.Resources{}
	for _, s := range steps {
		if budget <= 0 {
			return
		}
		if s.waiting > 0 && s.def.Gang && lateness(now, s) == 0 {
			budget -= d.preemptForGang(now, s, budget)
			continue
		}
		if s.waiting == 0 || s.def.Gang || s.def.LongRunning || s.def.Filler || lateness(now, s) > 0 {
			continue
		}
		if d.load.Examined-examinedBefore > maxPreemptionSearch {
			return
		}
		budget -= d.preemptForTasks(now, s, budget, promised)
	}
}

// preemptForTasks stops runs for the waiting tasks of a step and returns their number, at most budget.
func (d *Dispatcher) preemptForTasks(now time.Duration, s *step, budget int, promised map[*worker]model.Resources) int {
	key, demand := preemptionKey(s), reservedCapacity(s.def)
	if s.sharesFailures() && d.noVictims.found(now, key, demand) {
		return 0
	}
	stopped := 0
	for range s.waiting - s.isolating {
		victims, w := d.victims(now, s, promised)
		if w == nil {
			// A younger step may not get its share back yet, and may be kept from reserved workers.
			decisive := (s.job.account == nil || now-s.job.arrivedAt > maxShareReturn) && len(d.reservations) == 0
			if decisive && s.sharesFailures() {
				d.noVictims.record(now, key, demand, now+preemptionSearchInterval)
			}
			break
		}
		if len(victims) > budget-stopped {
			break
		}
		promised[w] = promised[w].Add(demand)
		for _, v := range victims {
			stopped++
			d.preemptRun(now, v, s)
		}
	}
	return stopped
}

// preemptRun stops a run for a step of a more urgent queue.
func (d *Dispatcher) preemptRun(now time.Duration, v *run, s *step) {
	v.preempted = true
	d.events.Record(event.RunPreempted, v.worker.entry.ID, v.id.Task, v.id.Run, s.id)
	d.requestStop(now, v, "preempted by a more urgent step")
}

// victims returns the worker on which the fewest runs must be stopped to fit a task of the
// step, and these runs. There are none if enough capacity is already being freed; the worker is
// nil if preemption does not help. promised is capacity claimed earlier in this pass.
func (d *Dispatcher) victims(now time.Duration, s *step, promised map[*worker]model.Resources) ([]*run, *worker) {
	var best []*run
	var target *worker
	demand := reservedCapacity(s.def)
	for _, w := range d.startCandidates(s) {
		d.load.Examined++
		if !w.placeable(now) || w.probing || !d.satisfiesConstraints(s, w) || s.job.queue.Advice != nil && !s.advice.hasTicket(now+d.opts.StopTimeout, w.entry.ID) {
			continue
		}
		if d.blockedByReservation(now, s, w, promised[w]) {
			continue
		}
		capacity := w.free().Add(w.stoppingDemand).Sub(promised[w])
		if demand.FitsIn(capacity) {
			return nil, w
		}
		victims := d.preemptibleRuns(now, s, w)
		count := 0
		for _, v := range victims {
			if demand.FitsIn(capacity) {
				break
			}
			capacity = capacity.Add(v.demand)
			count++
		}
		if demand.FitsIn(capacity) && (target == nil || count < len(best)) {
			best, target = victims[:count], w
		}
	}
	return best, target
}

// preemptibleRuns returns the runs on a worker that the step may preempt, the largest first.
func (d *Dispatcher) preemptibleRuns(now time.Duration, s *step, w *worker) []*run {
	var list []*run
	for _, r := range w.runs {
		if d.preemptibleFor(now, s, r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.demand.MilliCPU, a.demand.MilliCPU), compareRuns(a.id, b.id))
	})
	return list
}

// preemptibleFor reports whether the step may preempt the run.
func (d *Dispatcher) preemptibleFor(now time.Duration, s *step, r *run) bool {
	if r.phase != runRunning || !r.task.step.savesWork() {
		return false
	}
	if yieldsTo(s, r.task.step) {
		return r.backfilled || r.task.step.job.beyondRate || toleratesPreemption(now, r)
	}
	return d.returnsShare(now, s, r)
}

// savesWork reports whether the step's runs lose no work when they are preempted.
func (s *step) savesWork() bool {
	return s.def.Checkpointing && !s.def.Gang && !s.def.LongRunning && !s.def.Filler
}

// yieldsTo reports whether runs of other lose no work when s preempts them, and are less urgent:
// beyond their account's rate, or of a less urgent queue.
func yieldsTo(s, other *step) bool {
	if order := compareBool(s.job.beyondRate, other.job.beyondRate); order != 0 {
		return order < 0 && other.savesWork()
	}
	return comparePriority(s, other) < 0 && other.savesWork()
}

// returnsShare reports whether the run uses capacity lent to its account that the step's account
// has waited for longer than maxShareReturn.
func (d *Dispatcher) returnsShare(now time.Duration, s *step, r *run) bool {
	other := r.task.step.job
	return s.job.account != nil && s.job.account != other.account && d.compareClasses(now, s, r.task.step) == 0 &&
		now-s.job.arrivedAt > maxShareReturn && d.hasShareLeft(s.job.account) && d.aboveShareWithout(other.account, r.task.step.def.Demand)
}

// toleratesPreemption reports whether the run's submission can still meet its objective after
// an interruption, or is too late to have value.
func toleratesPreemption(now time.Duration, r *run) bool {
	s := r.task.step
	left := time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
	return lateness(now, s) > 0 || now+left+preemptionSlack < s.objectiveEnd()
}
