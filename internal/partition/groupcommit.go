package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// logItem is a group of records that are logged together, with its completion functions.
type logItem struct {
	records   []logRecord
	encoded   [][]byte
	bytes     int
	onDurable func()          // called after the records are durable and applied
	onFailed  func(err error) // called if the append fails; nil: the item is retried until it is durable
}

// enqueue adds an item to the next append.
func (o *Owner) enqueue(it *logItem) {
	for _, r := range it.records {
		b := encode(r)
		it.encoded = append(it.encoded, b)
		it.bytes += len(b) + recordOverheadBytes
	}
	o.pending = append(o.pending, it)
}

// flush appends the pending items if no append is in flight.
func (o *Owner) flush() {
	if o.inFlight != nil || len(o.pending) == 0 || o.now.Before(o.appendRetryAt) {
		return
	}
	n, bytes := 0, 0
	var records [][]byte
	for n < len(o.pending) && (n == 0 || bytes+o.pending[n].bytes <= MaxBatchBytes) {
		bytes += o.pending[n].bytes
		records = append(records, o.pending[n].encoded...)
		n++
	}
	o.inFlight, o.pending = o.pending[:n:n], o.pending[n:]
	o.appendToken++
	o.appendSentAt = o.now
	o.emit(Append{Token: o.appendToken, Records: records})
}

// Appended reports the result of an Append: the error of Log.Append and Log.Position after
// it.
func (o *Owner) Appended(now time.Time, token Token, position int64, err error) {
	o.now = now
	if token != o.appendToken || o.inFlight == nil {
		return
	}
	if reason := endOfEpoch(err); reason != "" {
		o.failInFlight(err)
		o.endEpoch(reason)
		return
	}
	if err != nil {
		o.appendFailed(err)
		return
	}
	items := o.inFlight
	o.inFlight = nil
	o.position = position
	for _, it := range items {
		for _, r := range it.records {
			o.state.apply(r)
		}
		it.onDurable()
	}
	if o.epochEnded {
		return
	}
	o.appendsSinceSnapshot++
	o.snapshotIfDue()
	o.decideAndFlush()
}

// endOfEpoch returns the reason why an append's error ends the epoch, or "" if it does not.
func endOfEpoch(err error) string {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return "the outcome of an append to the log is unknown"
	case errors.Is(err, ErrOwnershipLost):
		return "the log is sealed by a newer epoch"
	}
	return ""
}

// appendFailed fails the items in flight and pending, since nothing was logged. Items
// without onFailed hold whether logged or not and stay pending.
func (o *Owner) appendFailed(err error) {
	o.appendRetryAt = o.now.Add(o.opts.AppendRetryDelay)
	queue := append(o.inFlight, o.pending...)
	o.inFlight, o.pending = nil, nil
	for _, it := range queue {
		if it.onFailed == nil {
			o.pending = append(o.pending, it)
			continue
		}
		it.onFailed(err)
	}
	if errors.Is(err, ErrLogFull) {
		o.appendsSinceSnapshot = max(o.appendsSinceSnapshot, appendsPerSnapshot)
		o.snapshotIfDue()
	}
}

func (o *Owner) failInFlight(err error) {
	items := o.inFlight
	o.inFlight = nil
	for _, it := range items {
		if it.onFailed != nil {
			it.onFailed(err)
		}
	}
}

// failPending fails the pending items, whose records were never sent.
func (o *Owner) failPending(err error) {
	pending := o.pending
	o.pending = nil
	for _, it := range pending {
		if it.onFailed != nil {
			it.onFailed(err)
		}
	}
}

// snapshotIfDue requests a snapshot of the durable state. It is called only while no append
// is in flight, so that the state matches the log's position.
func (o *Owner) snapshotIfDue() {
	if o.snapshotInFlight || o.appendsSinceSnapshot < appendsPerSnapshot {
		return
	}
	o.snapshotInFlight = true
	o.appendsSinceSnapshot = 0
	o.emit(TakeSnapshot{Data: o.state.encode(), Through: o.position})
}

// SnapshotTaken reports the result of a TakeSnapshot.
func (o *Owner) SnapshotTaken(now time.Time, err error) {
	if !o.beginInput(now) {
		return
	}
	o.snapshotInFlight = false
	if errors.Is(err, ErrOwnershipLost) {
		o.endEpoch("a newer epoch took a snapshot")
		return
	}
	if err != nil {
		o.appendsSinceSnapshot = appendsPerSnapshot
	}
	o.decideAndFlush()
}

// appendsBlocked reports whether an append failed within AppendRetryDelay or the append
// in flight has stalled.
func (o *Owner) appendsBlocked() bool {
	return o.now.Before(o.appendRetryAt) || o.inFlight != nil && o.now.Sub(o.appendSentAt) > appendStallTimeout
}

// errCannotLogNow returns the error for requests that can be repeated later.
func errCannotLogNow() error {
	return errors.Wrap(platform.ErrUnavailable, "partition: the log takes nothing at the moment")
}
