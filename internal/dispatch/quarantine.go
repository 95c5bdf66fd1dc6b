package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// A worker on which runs of several submissions in a row have failed is in quarantine: nothing is started there for
// quarantineTime. Then it is probed by one new run at a time, beside those that it already has. It is sound once a run is done,
// or a probe has outlived the runs that failed. A probe that shows neither within probeTime, because it is paused, waits for
// its gang or may not have started, makes way for the next one. So nothing that a worker is waited for can stay away for good.
const (
	// probeTime is how long a probe keeps others away, and the least age at which it shows that its worker is sound.
	probeTime = time.Second
	// maxProbeTime limits both where runs have failed late.
	maxProbeTime = 4 * time.Second
	// probeFailureFactor is the age at which a probe shows that its worker is sound, as a multiple of the age at which others failed.
	probeFailureFactor = 2
	// probeYieldTime is how long the submission whose probe failed leaves the next one to others.
	probeYieldTime = time.Second
)

// quarantine is the part of a worker's state that follows from failed runs. The owner's successor does not know it: a
// worker that goes on failing is found again with quarantineFailures more runs.
type quarantine struct {
	consecutiveFailures int // of different jobs, without a completed run in between
	lastFailedJob       fleet.JobID
	oldestFailure       time.Duration // age of the oldest of these runs when it failed
	probing             bool
	probe               *run // the run that probes the worker; nil: none, or it no longer keeps others away
	yielding            bool // the next probe is left to other submissions than lastFailedJob
}

// probeLimit returns the age at which a probe shows that the worker is sound, or makes way for another one.
func (q *quarantine) probeLimit() time.Duration {
	return min(max(probeTime, probeFailureFactor*q.oldestFailure), maxProbeTime)
}

// mayProbe reports whether a run of the step may be started on the worker as far as its quarantine is concerned.
func (w *worker) mayProbe(s *step) bool {
	return !w.probing || w.probe == nil && (s.job.sub.ID != w.lastFailedJob || !w.yielding)
}

// recordWorkerFailure counts a failed run against its worker. The failure of a probe whose task has failed elsewhere, too,
// says nothing about the worker.
func (d *Dispatcher) recordWorkerFailure(now time.Duration, w *worker, t *task, r *run) {
	id := t.step.job.sub.ID
	if w.lastFailedJob != id {
		w.consecutiveFailures++
	}
	w.lastFailedJob = id
	if r != nil && r.confirmedAt != 0 {
		w.oldestFailure = max(w.oldestFailure, now-r.confirmedAt)
	}
	failedElsewhere := slices.ContainsFunc(t.failedOn, func(other model.WorkerID) bool { return other != w.entry.ID })
	if w.probing && !failedElsewhere || !w.probing && w.consecutiveFailures >= quarantineFailures {
		w.backoffUntil, w.probing, w.yielding = max(w.backoffUntil, now+quarantineTime), true, true
		d.events.Record(event.WorkerQuarantined, w.entry.ID, w.consecutiveFailures, quarantineTime)
	}
}

// endQuarantine records that the worker is sound.
func (d *Dispatcher) endQuarantine(w *worker) {
	if w.probing {
		d.markFreed(w)
	}
	w.quarantine = quarantine{lastFailedJob: w.lastFailedJob}
}

// recordProbe records that a probe was at work in a report requested at sent.
func (d *Dispatcher) recordProbe(sent time.Duration, r *run) {
	w := r.worker
	if r == w.probe && r.phase == runRunning && r.pace > 0 && !r.task.step.def.Gang && sent-r.confirmedAt >= w.probeLimit() {
		d.endQuarantine(w)
	}
}

// endProbe lets another run probe the worker.
func (d *Dispatcher) endProbe(w *worker) {
	w.probe = nil
	d.markFreed(w)
}

// advanceProbes ends probes that have shown nothing in time, with the report that could have, and the precedence for other submissions.
func (d *Dispatcher) advanceProbes(now time.Duration) {
	for _, w := range d.workerList {
		if w.probe != nil && now-w.probe.startSentAt >= w.probeLimit()+RenewWait+CommandTimeout {
			d.endProbe(w)
		}
		if w.yielding && now >= w.backoffUntil+probeYieldTime {
			w.yielding = false
			d.markFreed(w)
		}
	}
}
