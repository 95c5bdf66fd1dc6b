package dispatch

import (
	"time"

	"filbertcross/internal/model"
)

// A command without a response may be executed up to maxCommandDelay later, also by the next incarnation of its worker.
// That incarnation knows neither the stops nor the runs of the one before, and its clock and its result numbers start
// anew. So a start that was stopped there would be executed beside the task's next run, an acknowledgement would discard
// results that no owner has seen, and a renewal would extend the lease unnoticed.
//
// Therefore each incarnation gets a higher fencing token than all commands to earlier ones, which it rejects once it has
// seen that token. No run is started there before. What it executes until then may extend its lease, see incarnation_lease.go.
//
// The tokens of an owner are revisions of the store at which it held the owner key: that of its election, and the one that its
// last write has proved. Every successor's token is higher.

// raiseFence raises the fencing token of a worker that may be another incarnation than the one that got the last commands.
func (d *Dispatcher) raiseFence(now time.Duration, w *worker) {
	if w.failedRenewals == 0 && w.fenced(now) {
		return
	}
	w.fence = max(w.fence, d.provenRevision)
	if w.failedRenewals == 0 && w.fence <= w.staleFence {
		d.workerListDirty = true // its write proves a later revision
	}
}

// beginFencing records that another incarnation has answered a renewal.
func (w *worker) beginFencing(now time.Duration) {
	w.seenFence, w.staleFence, w.staleUntil = w.fence, w.commandFence, now+maxCommandDelay
	w.staleDeadline, w.leaseDeadline = max(w.staleDeadline, w.leaseDeadline), 0
}

// fenced reports whether the worker rejects all commands that were sent to its earlier incarnations.
func (w *worker) fenced(now time.Duration) bool {
	return w.seenFence > w.staleFence || now >= w.staleUntil
}

// nextCommandFence returns the fencing token of a command with an effect.
func (w *worker) nextCommandFence() int64 {
	w.commandFence = w.fence
	return w.fence
}

// rejectsOwner reports whether the rejection of a command with the given token shows that another owner has been elected. The
// worker may have seen a later token of this one meanwhile.
func (w *worker) rejectsOwner(fence int64) bool { return fence >= w.fence }

// departure is what is kept of a worker that has left: it may come back under its ID before the commands to it have expired.
type departure struct {
	fence int64 // highest token of a command to it
	until time.Duration
}

// rememberDeparture keeps the token of a worker that is dropped.
func (d *Dispatcher) rememberDeparture(now time.Duration, w *worker) {
	if w.commandFence > 0 {
		d.departures[w.entry.ID] = departure{fence: w.commandFence, until: now + maxCommandDelay}
	}
}

// endFencing ends what was done against commands that cannot be executed any more.
func (d *Dispatcher) endFencing(now time.Duration) {
	for _, w := range d.workerList {
		if w.staleUntil != 0 && now >= w.staleUntil {
			if w.seenFence <= w.staleFence {
				d.markFreed(w)
			}
			w.staleFence, w.staleUntil, w.staleDeadline = 0, 0, 0
		}
	}
	for id, left := range d.departures {
		if now >= left.until {
			delete(d.departures, id)
		}
	}
}

// returnOf applies an earlier departure to a worker that is new to this owner.
func (d *Dispatcher) returnOf(id model.WorkerID, w *worker) {
	w.fence = d.provenRevision
	left := d.departures[id]
	w.commandFence, w.staleFence, w.staleUntil = left.fence, left.fence, left.until
}
