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
	preemptionSlack      = 2 * time.Second // a victim keeps at least this much time beyond its remaining run time
	minPreemptions       = 16              // minimum limit of concurrent preemptions
	workersPerPreemption = 3               // above that minimum, one concurrent preemption per this many workers: a stop takes up to a second, and a burst needs several tasks per worker
)

// preempt frees capacity for the most urgent unplaced steps by stopping checkpointing runs of
// less urgent queues, which lose no work. Capacity that is already being freed counts first.
func (d *Dispatcher) preempt(now time.Duration, steps []*step) {
	budget := max(minPreemptions, len(d.workerList)/workersPerPreemption)
	for _, r := range d.unsettledRuns {
		if r.preempted && !r.removed {
			budget--
		}
	}
	promised := map[*worker]model.Resources{}
	for _, s := range steps {
		if budget <= 0 {
			return
		}
		if s.waiting == 0 || s.def.Gang || s.def.LongRunning || s.def.Filler || lateness(now, s.job) > 0 {
			continue
		}
		for range s.waiting {
			victims, w := d.victims(now, s, promised)
			if w == nil || len(victims) > budget {
				break
			}
			promised[w] = promised[w].Add(reservedCapacity(s.def))
			for _, v := range victims {
				v.preempted = true
				budget--
				d.events.Record(event.RunPreempted, w.entry.ID, v.id.Task, v.id.Run, s.id)
				d.requestStop(now, v, "room for a more urgent step")
			}
		}
	}
}

// victims returns the worker on which the fewest runs must be stopped to fit a task of the
// step, and these runs. There are none if enough capacity is already being freed; the worker is
// nil if preemption does not help. promised is capacity claimed earlier in this pass.
func (d *Dispatcher) victims(now time.Duration, s *step, promised map[*worker]model.Resources) ([]*run, *worker) {
	var best []*run
	var on *worker
	need := reservedCapacity(s.def)
	for _, w := range d.workerList {
		if !w.placeable(now) || w.probing || !d.satisfiesConstraints(s, w) || s.job.queue.Advice != nil && !s.advice.hasTicket(now+d.opts.StopTimeout, w.entry.ID) {
			continue
		}
		room := w.free().Add(w.stoppingDemand).Sub(promised[w])
		if need.FitsIn(room) {
			return nil, w
		}
		victims := d.preemptibleRuns(now, s, w)
		taken := 0
		for _, v := range victims {
			if need.FitsIn(room) {
				break
			}
			room = room.Add(v.demand)
			taken++
		}
		if need.FitsIn(room) && (on == nil || taken < len(best)) {
			best, on = victims[:taken], w
		}
	}
	return best, on
}

// preemptibleRuns returns the runs on a worker that the step may preempt, the largest first.
func (d *Dispatcher) preemptibleRuns(now time.Duration, s *step, w *worker) []*run {
	var list []*run
	for _, r := range w.runs {
		o := r.task.step
		if r.phase != runRunning || o.job.queue.Priority <= s.job.queue.Priority || !o.def.Checkpointing ||
			o.def.Gang || o.def.LongRunning || o.def.Filler || !toleratesPreemption(now, r) {
			continue
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.demand.MilliCPU, a.demand.MilliCPU), compareRuns(a.id, b.id))
	})
	return list
}

// toleratesPreemption reports whether the run's submission can still meet its objective after
// an interruption, or is too late to have value.
func toleratesPreemption(now time.Duration, r *run) bool {
	j := r.task.step.job
	left := time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
	return lateness(now, j) > 0 || now+left+preemptionSlack < j.objectiveEnd()
}
