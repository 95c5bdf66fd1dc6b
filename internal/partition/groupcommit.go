package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// logItem is records that are logged together and what follows from it.
type logItem struct {
	records   []logRecord
	encoded   [][]byte
	bytes     int
	onDurable func()          // the records stand in the log and are applied
	onFailed  func(err error) // nil: the item is kept until it is durable
}

// enqueue queues an item for the next append.
func (o *Owner) enqueue(it *logItem) {
	for _, r := range it.records {
		b := encode(r)
		it.encoded = append(it.encoded, b)
		it.bytes += len(b) + recordOverheadBytes
	}
	o.pending = append(o.pending, it)
}

// flush appends what is pending if no append is out.
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

// Appended answers an Append with what Log.Append returned and Log.Position after it.
func (o *Owner) Appended(now time.Time, token Token, position int64, err error) {
	o.now = now
	if token != o.appendToken || o.inFlight == nil {
		return
	}
	if errors.Is(err, ErrOwnershipLost) || errors.Is(err, ErrOutcomeUnknown) {
		o.failInFlight(err)
		o.endEpoch("the log is sealed by a newer epoch")
		return
	}
	if err != nil {
		o.appendFailed(err)
		return
	}
	out := o.inFlight
	o.inFlight = nil
	o.position = position
	for _, it := range out {
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

// appendFailed takes everything back that the store did not log, but for what is true
// whether logged or not.
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
	out := o.inFlight
	o.inFlight = nil
	for _, it := range out {
		if it.onFailed != nil {
			it.onFailed(err)
		}
	}
}

// failPending tells those that wait that their records were never sent.
func (o *Owner) failPending(err error) {
	pending := o.pending
	o.pending = nil
	for _, it := range pending {
		if it.onFailed != nil {
			it.onFailed(err)
		}
	}
}

// snapshotIfDue asks for a snapshot of the durable state. It is called while no
// append is out, so that the state is the one at the log's position.
func (o *Owner) snapshotIfDue() {
	if o.snapshotInFlight || o.appendsSinceSnapshot < appendsPerSnapshot {
		return
	}
	o.snapshotInFlight = true
	o.appendsSinceSnapshot = 0
	o.emit(TakeSnapshot{Data: o.state.encode(), Through: o.position})
}

// SnapshotTaken answers a TakeSnapshot.
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

// appendsBlocked reports whether the store refused the last append a moment ago or
// leaves the present one without an answer.
func (o *Owner) appendsBlocked() bool {
	return o.now.Before(o.appendRetryAt) || o.inFlight != nil && o.now.Sub(o.appendSentAt) > appendStallTimeout
}

// errAppendsBlocked is what a submission is told while the store takes nothing.
func errAppendsBlocked() error {
	return errors.Wrap(platform.ErrUnavailable, "partition: the log takes nothing at the moment")
}
