package dispatch

import (
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Pacing of filler tasks on workers with serving tasks. Fillers are slowed early and sped up
// slowly, because a report may be a second old.
const (
	paceDownThreshold = 0.85 // fraction of the latency target
	paceUpThreshold   = 0.6
	paceStep          = 25 // percent, when the pace is raised
	paceInterval      = time.Second
	paceDownDivisor   = 3
)

// paceFillersByLatency slows the filler tasks of workers whose serving tasks approach their
// latency target.
func (d *Dispatcher) paceFillersByLatency(now time.Duration) {
	for _, w := range d.workerList {
		if w.fillerRuns == 0 || w.servingRuns == 0 {
			if w.fillerRuns > 0 {
				d.paceFillers(now, w, fullPace)
			}
			continue
		}
		worst := 0.0
		for _, r := range w.runs {
			if target := r.task.step.def.LatencyTarget; target > 0 && r.phase == runRunning {
				worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
			}
		}
		switch {
		case worst > 1:
			d.paceFillers(now, w, 0)
		case worst > paceDownThreshold:
			d.paceFillers(now, w, -1)
		case worst < paceUpThreshold:
			d.paceFillers(now, w, fullPace)
		}
	}
}

// paceFillers changes the pace of the worker's filler tasks: wanted 0 pauses them at once, -1
// divides the pace by paceDownDivisor, and fullPace raises it by paceStep. An unknown pace counts as 0,
// and is raised at once if nothing serves there.
func (d *Dispatcher) paceFillers(now time.Duration, w *worker, wanted int) {
	for _, r := range d.sortedRuns(w.runs) {
		if !r.task.step.def.Filler || r.phase != runRunning || r.paceInFlight || now < r.paceDue {
			continue
		}
		var next int
		switch {
		case wanted == 0:
			next = 0
		case wanted < 0:
			next = max(r.pace, 0) / paceDownDivisor
		case r.pace == paceUnknown && w.servingRuns == 0:
			next = fullPace
		default:
			next = min(max(r.pace, 0)+paceStep, fullPace)
		}
		if next == r.pace {
			continue
		}
		r.paceInFlight, r.paceDue = true, now+paceInterval
		d.events.Record(event.RunThrottled, w.entry.ID, r.id.Task, r.id.Run, next)
		d.emit(PaceCommand{To: w.target(), Pace: fleet.PaceRequest{RunID: r.id, Percent: next, Fence: w.nextCommandFence()}})
	}
}
