package dispatch

import (
	"time"

	"filbertcross/internal/event"
)

// A copy is started when a run may be lost or takes much longer than declared.
const (
	copyAfter  = 1.6                    // times the estimate
	copyMargin = 300 * time.Millisecond // so that short tasks are not copied for a late report
)

// speculate starts a second run of tasks that allow copies.
func (d *Dispatcher) speculate(now time.Duration) {
	for _, r := range d.runList {
		t := r.task
		s := t.step
		if !s.def.Speculative || s.def.Gang || r.gone || r.copied || t.state != taskActive || len(t.runs) != 1 ||
			t.runs[0] != r || s.job.closed() || !d.doubtful(now, r) {
			continue
		}
		w := d.choose(now, s, t, d.order)
		if w == nil {
			d.ask(now, s)
			continue
		}
		if w == r.worker {
			continue
		}
		r.copied = true
		s.job.nextRun++
		d.events.Record(event.RunCopied, r.worker.entry.ID, r.id.Task, r.id.Run, now-r.sent, r.percent)
		d.start(now, t, w, d.opts.Fence*runsPerFence+s.job.nextRun)
	}
}

// doubtful reports whether the run may be lost or stuck.
func (d *Dispatcher) doubtful(now time.Duration, r *run) bool {
	if r.phase == runUncertain || r.phase == runStopping || r.worker.failing > 1 {
		return true
	}
	return now-r.sent > time.Duration(copyAfter*float64(r.task.step.def.Estimate))+copyMargin
}
