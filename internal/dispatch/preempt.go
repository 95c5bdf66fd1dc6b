package dispatch

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Bounds of preemption.
const (
	preemptionSlack      = 2 * time.Second // a victim keeps at least this beyond what it still needs
	minPreemptions       = 16              // runs that are being stopped for others at the same time, at least
	workersPerPreemption = 3               // workers for each such run: one stop takes up to a second, and a burst wants several tasks a worker
)

// preempt makes room for the most urgent steps that found none, by stopping runs of less
// urgent queues that lose no work: those that checkpoint. Room that is already being freed
// is counted first.
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

// victims finds the worker on which the fewest runs have to be stopped for a task of the
// step; none where enough is being freed already.
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

// weaker lists the runs on a worker that the step may displace, the largest first.
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

// displaceable reports whether the run's submission still ends in time after a pause, or is
// too late anyway.
func toleratesPreemption(now time.Duration, r *run) bool {
	j := r.task.step.job
	left := time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
	return lateness(now, j) > 0 || now+left+preemptionSlack < j.objectiveEnd()
}
