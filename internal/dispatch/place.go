package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Penalties of a placement, in units of a worker's whole room: any of them outweighs
// packing, and a larger one a smaller one.
const (
	penaltyRemoteRack = 2.0  // the task takes remote-penalty times as long
	penaltyProbing    = 4.0  // the worker failed other jobs a moment ago
	penaltyStalls     = 4.0  // runs stood still there
	penaltyFailedHere = 8.0  // this task failed there
	penaltySharing    = 16.0 // a filler disturbs what serves there
)

// placeStep starts as many of the step's waiting tasks as fit.
func (d *Dispatcher) placeStep(now time.Duration, s *step, among []*worker) {
	s.delayed = false
	if s.def.Gang {
		d.placeGang(now, s)
		return
	}
	for _, t := range s.tasks {
		if s.waiting == 0 {
			return
		}
		if t.state != taskWaiting {
			continue
		}
		if now < t.notBefore {
			s.delayed = true
			continue
		}
		w := d.choose(now, s, t, among)
		if w == nil {
			return
		}
		s.job.nextRun++
		d.start(now, t, w, d.opts.Fence*runsPerFence+s.job.nextRun)
	}
}

// choose returns the best of the workers for a task, or nil.
func (d *Dispatcher) choose(now time.Duration, s *step, t *task, among []*worker) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range among {
		if !d.feasible(now, s, w, model.Resources{}) {
			continue
		}
		if score := d.score(s, t, w, model.Resources{}); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// feasible reports whether a task of the step may be started on the worker now.
func (d *Dispatcher) feasible(now time.Duration, s *step, w *worker, extra model.Resources) bool {
	return w.placeable(now) && d.suits(s, w) &&
		reserve(s.def).FitsIn(w.free().Sub(extra)) &&
		(!w.probing || len(w.runs) == 0) &&
		(s.job.queue.Advice == nil || s.advice.valid(now, w.entry.ID))
}

// suits reports whether the worker may run the step at all.
func (d *Dispatcher) suits(s *step, w *worker) bool {
	if w.entry.Service != s.job.queue.Service {
		return false
	}
	if label := s.def.RequiredLabel; label != "" && !slices.Contains(w.entry.Labels, label) {
		return false
	}
	return s.def.MaxPerWorker == 0 || s.perWorker[w.entry.ID] < s.def.MaxPerWorker
}

// score is lower for a better worker: the emptiest one, unless a penalty says otherwise.
func (d *Dispatcher) score(s *step, t *task, w *worker, extra model.Resources) float64 {
	used := w.used.Add(extra).Add(reserve(s.def))
	score := max(share(used.MilliCPU, w.entry.Capacity.MilliCPU), share(used.MemoryMiB, w.entry.Capacity.MemoryMiB))
	if rack := s.def.PreferredRack; rack != "" && !slices.Contains(w.entry.Labels, rack) {
		score += penaltyRemoteRack
	}
	if w.probing {
		score += penaltyProbing
	}
	if w.stalls > 0 {
		score += penaltyStalls
	}
	if t != nil && slices.Contains(t.failedOn, w.entry.ID) {
		score += penaltyFailedHere
	}
	if s.def.Filler && w.serving > 0 || s.def.LatencyTarget > 0 && w.fillers > 0 {
		score += penaltySharing
	}
	return score
}

func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// start assumes a run on the worker and orders it.
func (d *Dispatcher) start(now time.Duration, t *task, w *worker, number int64) {
	s := t.step
	r := &run{
		id: fleet.RunID{Task: t.id(), Run: number}, task: t, worker: w, demand: reserve(s.def),
		sent: now, progressAt: now, checkpoint: t.checkpoint, pace: fullPace,
	}
	d.attach(r)
	t.runs = append(t.runs, r)
	if t.state == taskWaiting {
		t.state = taskActive
		s.waiting--
	}
	s.started = true
	deadline := w.clockNow(now) + d.opts.Lease.Milliseconds()
	w.granted = max(w.granted, deadline)
	if w.holdDue > now+unackedPoll { // it was idle among thousands, and has to be polled again
		w.holdDue = now
	}
	d.events.Record(event.RunPlaced, w.entry.ID, r.id.Task, number, now-s.job.arrived, now-w.lastHeard, w.free().MilliCPU)
	d.emit(StartCommand{To: w.target(), Start: fleet.StartRequest{
		RunID: r.id, Spec: s.job.sub.Spec, Checkpoint: t.checkpoint, Ticket: s.advice.ticket(w.entry.ID),
		Fence: d.opts.Fence, Deadline: deadline,
	}})
}
