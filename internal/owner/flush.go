package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// recordEntries is how many entries of a transaction a record takes at most: a condition and
// a write. The owner's own key is one more condition.
const recordEntries = 2

// flush starts writes of what has changed. What changes while one is out goes into the next
// (group commit), unless callers wait for it and the store is slow: then more are out, each with
// other records.
func (o *Owner) flush(ctx context.Context, now time.Duration) {
	if !o.authorized || now < o.flushRetryAt {
		return
	}
	urgent := o.dispatcher.HasUrgentRecord()
	switch {
	case o.flushes == 0 && (urgent || now >= o.flushDue):
	case urgent && o.flushes < maxFlushes && now >= o.flushSent+flushGap:
	default:
		return
	}
	batch := o.dispatcher.NextBatch(now, (fleet.MaxTxnEntries-1)/recordEntries)
	if len(batch) == 0 {
		return
	}
	txn, err := o.txn(batch)
	if err != nil {
		o.dispatcher.HandleBatchResult(now, batch, false)
		o.flushRetryAt = now + flushRetry
		o.opts.Events.Record(event.ProgressUnwritten, len(batch), err)
		return
	}
	o.flushes++
	o.flushSent = now
	timeout := max(flushTimeout, time.Duration(flushPatience*o.authority.latency.Load()))
	go func() {
		revision, err := limit(ctx, timeout, func(ctx context.Context) (int64, error) { return o.opts.Store.Commit(ctx, txn) })
		o.post(ctx, func(now time.Duration) { o.flushed(now, batch, txn, revision, err) })
	}()
}

// flushed takes the result of a write. Without an answer it may take effect later, which the
// conditions make harmless: the next write of a key changes its revision.
func (o *Owner) flushed(now time.Duration, batch []dispatch.Record, txn fleet.Txn, revision int64, err error) {
	o.flushes--
	o.flushDue = now + flushLinger
	o.dispatcher.HandleBatchResult(now, batch, err == nil)
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		for _, w := range txn.Set {
			o.revisions[w.Key] = revision
		}
		for _, key := range txn.Remove {
			delete(o.revisions, key)
		}
	case errors.As(err, &conflict):
		o.flushDue = now
		o.settleConflict(conflict)
	default:
		o.flushRetryAt = now + flushRetry
		o.opts.Events.Record(event.ProgressUnwritten, len(batch), err)
	}
}

// settleConflict learns the revisions that an unanswered write of this owner has made. If the
// owner's own key is not as it was, another VM decides.
func (o *Owner) settleConflict(conflict *fleet.ConflictError) {
	deposed := true
	for _, item := range conflict.Current {
		if item.Key == Key {
			deposed = item.Revision != o.authority.Fence
			continue
		}
		o.revisions[item.Key] = item.Revision
	}
	if deposed {
		o.group.Go(func() error { return errors.Wrap(errDeposed, "the owner's key is another one's") })
	}
}

// txn writes a batch under the condition that this owner's key still stands, and that each
// record is the one last known: a write that the store does late must not undo a newer one.
func (o *Owner) txn(batch []dispatch.Record) (fleet.Txn, error) {
	txn := fleet.Txn{If: []fleet.Condition{{Key: Key, Revision: o.authority.Fence}}}
	set := func(key string, value any) error {
		data, err := encoding.Marshal(value)
		txn.If = append(txn.If, fleet.Condition{Key: key, Revision: o.revisions[key]})
		txn.Set = append(txn.Set, fleet.Write{Key: key, Value: data})
		return err
	}
	for _, rec := range batch {
		var err error
		switch {
		case rec.IsWorkerList:
			err = set(workersKey, fleetRecord{Owner: o.authority.self, Workers: rec.Workers})
		case rec.Wave != nil:
			state := fleet.WaveRunning
			if rec.Wave.Completed {
				state = fleet.WaveCompleted
			}
			err = set(waveKey(rec.Wave.Wave), rec.Wave)
			txn.Set = append(txn.Set, fleet.Write{Key: o.opts.Codec.WaveStatusKey(rec.Wave.Wave), Value: o.opts.Codec.WaveState(state)})
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
