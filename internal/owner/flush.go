package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// flush starts the write of what has changed. One write is out at a time, and what
// changes meanwhile goes into the next (group commit).
func (o *Owner) flush(ctx context.Context, now time.Duration) {
	if o.flushing || !o.authorized || now < o.flushDue && !o.dispatcher.Urgent() {
		return
	}
	batch := o.dispatcher.Batch(now, fleet.MaxTxnEntries-1) // one entry is the condition
	if len(batch) == 0 {
		return
	}
	txn, err := o.txn(batch)
	if err != nil {
		o.opts.Events.Record(event.ProgressUnwritten, len(batch), err)
		return
	}
	o.flushing = true
	go func() {
		_, err := limit(ctx, flushTimeout, func(ctx context.Context) (int64, error) { return o.opts.Store.Commit(ctx, txn) })
		deposed := false
		var conflict *fleet.ConflictError
		if errors.As(err, &conflict) {
			deposed = true
		}
		o.post(ctx, func(now time.Duration) {
			o.flushing = false
			o.flushDue = now + flushLinger
			o.dispatcher.Committed(now, batch, err == nil)
			if err != nil {
				o.flushDue = now + flushRetry
				o.opts.Events.Record(event.ProgressUnwritten, len(batch), err)
			}
			if deposed {
				o.group.Go(func() error { return errors.Wrap(errDeposed, "another VM wrote the owner's key") })
			}
		})
	}()
}

// txn writes a batch under the condition that this owner's key still stands.
func (o *Owner) txn(batch []dispatch.Record) (fleet.Txn, error) {
	txn := fleet.Txn{If: []fleet.Condition{{Key: Key, Revision: o.authority.Fence}}}
	set := func(key string, value any) error {
		data, err := encoding.Marshal(value)
		txn.Set = append(txn.Set, fleet.Write{Key: key, Value: data})
		return err
	}
	for _, rec := range batch {
		var err error
		switch {
		case rec.IsWorker:
			err = set(workersKey, rec.Workers)
		case rec.Remove:
			txn.Remove = append(txn.Remove, JobKey(rec.Job), CancelKey(rec.Job), ProgressKey(rec.Job))
		default:
			err = set(ProgressKey(rec.Job), rec.Progress)
		}
		if err != nil {
			return txn, errors.Wrap(err, "encode progress")
		}
	}
	return txn, nil
}
