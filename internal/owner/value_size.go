package owner

import (
	"slices"
	"time"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
)

// uncheckedEntries is the number of entries up to which a progress is not encoded to learn its size.
const uncheckedEntries = 500

// withoutOversized returns the batch without records that exceed the size of a value in the store, which
// would fail the write of the whole batch for good. A progress is first tried without checkpoints: that
// only costs the work since the start of a task, and only if its worker is lost.
func (o *Owner) withoutOversized(now time.Duration, batch []dispatch.Record) []dispatch.Record {
	if o.opts.MaxValueBytes == 0 {
		return batch
	}
	return slices.DeleteFunc(batch, func(rec dispatch.Record) bool {
		p := rec.Progress
		if p == nil || p.Entries() <= uncheckedEntries {
			return false
		}
		size := encodedSize(p)
		if size <= o.opts.MaxValueBytes {
			return false
		}
		p.DropCheckpoints()
		written := encodedSize(p) <= o.opts.MaxValueBytes
		o.opts.Events.Record(event.ProgressTooLarge, rec.Job, size, o.opts.MaxValueBytes, written)
		if !written {
			o.dispatcher.DeferProgress(now, rec)
		}
		return !written
	})
}

// encodedSize returns the size of a progress in bytes. One that cannot be encoded fails in progressTxn.
func encodedSize(p *dispatch.Progress) int {
	data, _ := encoding.Marshal(p)
	return len(data)
}
