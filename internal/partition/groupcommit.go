package partition

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// item is records that are logged together and what follows from it.
type item struct {
	records []logged
	encoded [][]byte
	bytes   int
	durable func()          // the records stand in the log and are applied
	failed  func(err error) // nil: the item is kept until it is durable
}

// log queues an item for the next append.
func (o *Owner) log(it *item) {
	for _, r := range it.records {
		b := encode(r)
		it.encoded = append(it.encoded, b)
		it.bytes += len(b) + recordOverhead
	}
	o.pending = append(o.pending, it)
}

// flush appends what is pending if no append is out.
func (o *Owner) flush() {
	if o.out != nil || len(o.pending) == 0 || o.now.Before(o.retryAt) {
		return
	}
	n, bytes := 0, 0
	var records [][]byte
	for n < len(o.pending) && (n == 0 || bytes+o.pending[n].bytes <= MaxBatchBytes) {
		bytes += o.pending[n].bytes
		records = append(records, o.pending[n].encoded...)
		n++
	}
	o.out, o.pending = o.pending[:n:n], o.pending[n:]
	o.outToken++
	o.outSince = o.now
	o.emit(Append{Token: o.outToken, Records: records})
}

// Appended answers an Append with what Log.Append returned and Log.Position after it.
func (o *Owner) Appended(now time.Time, token Token, position int64, err error) {
	o.now = now
	if token != o.outToken || o.out == nil {
		return
	}
	if errors.Is(err, ErrOwnershipLost) || errors.Is(err, ErrOutcomeUnknown) {
		o.failOut(err)
		o.depose("the log is sealed by a newer epoch")
		return
	}
	if err != nil {
		o.refused(err)
		return
	}
	out := o.out
	o.out = nil
	o.position = position
	for _, it := range out {
		for _, r := range it.records {
			o.state.apply(r)
		}
		it.durable()
	}
	if o.deposed {
		return
	}
	o.sinceShot++
	o.snapshotIfDue()
	o.advance()
}

// refused takes everything back that the store did not log, but for what is true
// whether logged or not.
func (o *Owner) refused(err error) {
	o.retryAt = o.now.Add(o.opts.AppendRetryDelay)
	queue := append(o.out, o.pending...)
	o.out, o.pending = nil, nil
	for _, it := range queue {
		if it.failed == nil {
			o.pending = append(o.pending, it)
			continue
		}
		it.failed(err)
	}
	if errors.Is(err, ErrLogFull) {
		o.sinceShot = max(o.sinceShot, snapshotEvery)
		o.snapshotIfDue()
	}
}

func (o *Owner) failOut(err error) {
	out := o.out
	o.out = nil
	for _, it := range out {
		if it.failed != nil {
			it.failed(err)
		}
	}
}

// failPending tells those that wait that their records were never sent.
func (o *Owner) failPending(err error) {
	pending := o.pending
	o.pending = nil
	for _, it := range pending {
		if it.failed != nil {
			it.failed(err)
		}
	}
}

// snapshotIfDue asks for a snapshot of the durable state. It is called while no
// append is out, so that the state is the one at the log's position.
func (o *Owner) snapshotIfDue() {
	if o.snapshotting || o.sinceShot < snapshotEvery {
		return
	}
	o.snapshotting = true
	o.sinceShot = 0
	o.emit(TakeSnapshot{Data: o.state.encode(), Through: o.position})
}

// SnapshotTaken answers a TakeSnapshot.
func (o *Owner) SnapshotTaken(now time.Time, err error) {
	if !o.begin(now) {
		return
	}
	o.snapshotting = false
	if errors.Is(err, ErrOwnershipLost) {
		o.depose("a newer epoch took a snapshot")
		return
	}
	if err != nil {
		o.sinceShot = snapshotEvery
	}
	o.advance()
}

// storeRefuses reports whether the store refused the last append a moment ago or
// leaves the present one without an answer.
func (o *Owner) storeRefuses() bool {
	return o.now.Before(o.retryAt) || o.out != nil && o.now.Sub(o.outSince) > stalledAfter
}

// refusal is what a submission is told while the store takes nothing.
func refusal() error {
	return errors.Wrap(platform.ErrUnavailable, "partition: the log takes nothing at the moment")
}
