package dispatch

import (
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// The capacity of a worker may shrink and grow while it runs. Its entry in the platform's list shows that, so runs are
// started only by the entry of the incarnation that responds and, while the list cannot be read, only until the last one is
// older than Options.MaxListAge.

// capacityKnown reports whether the worker's entry is that of the incarnation that responds, and is not outdated. An entry
// without incarnation is taken for that of any.
func (w *worker) capacityKnown() bool {
	return !w.entry.Outdated && (w.entry.Incarnation == 0 || w.incarnation == 0 || w.entry.Incarnation == w.incarnation)
}

// listIsCurrent reports whether runs may be started by the last list of workers.
func (d *Dispatcher) listIsCurrent(now time.Duration) bool {
	return !d.listFailing || now-d.listedAt <= d.opts.MaxListAge
}

// SetListFailing states that the list of workers cannot be read. The next SetWorkers ends that.
func (d *Dispatcher) SetListFailing() { d.listFailing = true }

// setEntry applies the worker's entry in the platform's list.
func (d *Dispatcher) setEntry(w *worker, e fleet.WorkerEntry) {
	before, had := w.entry, w.listed
	w.entry, w.listed = e, true
	if had && before.Capacity != e.Capacity {
		d.events.Record(event.WorkerCapacityChanged, e.ID, before.Capacity, e.Capacity, w.used)
	}
	if had && (!e.Capacity.FitsIn(before.Capacity) || before.Outdated && !e.Outdated || before.Incarnation != e.Incarnation) {
		d.markFreed(w)
	}
	if had && before.Address != e.Address {
		// A new owner takes an answer of another worker at the recorded address as proof that this one has ended.
		w.recorded, d.workerListDirty = false, true
	}
	if before.Incarnation != e.Incarnation && before.Incarnation != 0 {
		w.peakCapacity = e.Capacity
	}
	if !e.Capacity.FitsIn(w.peakCapacity) {
		// A new owner has to know how much the runs may hold before any is started.
		w.peakCapacity = w.peakCapacity.Max(e.Capacity)
		w.recorded = false
		d.workerListDirty = true
	}
	d.freeWorkers.update(w)
}
