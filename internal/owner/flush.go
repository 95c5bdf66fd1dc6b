package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// txnEntriesPerRecord is the maximum number of transaction entries for one record: a condition
// and a write. The condition on the owner key is one more entry.
const txnEntriesPerRecord = 2

// flushProgress starts a write of the changed records. Records that change while it is in flight
// go into the next write (group commit). If callers wait for a record and the store is slow,
// several writes are in flight at once, each with different records.
func (o *Owner) flushProgress(ctx context.Context, now time.Duration) {
	if !o.leaseHeld || now < o.flushRetryAt {
		return
	}
	urgent := o.dispatcher.HasUrgentRecord()
	switch {
	case o.flushesInFlight > 0 && o.workersRevision.Load() == 0:
		return // the first write that takes effect must contain the record of workers, see reacquire.go
	case o.flushesInFlight == 0 && (urgent || now >= o.nextFlushAt):
	case urgent && o.flushesInFlight < maxConcurrentFlushes && now >= o.lastFlushAt+minFlushInterval:
	default:
		return
	}
	batch := o.withoutOversized(now, o.dispatcher.NextBatch(now, (fleet.MaxTxnEntries-1)/txnEntriesPerRecord))
	if len(batch) == 0 {
		return
	}
	txn, err := o.progressTxn(batch)
	if err != nil {
		o.dispatcher.HandleBatchResult(now, batch, false)
		o.flushRetryAt = now + flushRetryDelay
		o.opts.Events.Record(event.ProgressWriteFailed, len(batch), err)
		return
	}
	o.flushesInFlight++
	o.lastFlushAt = now
	timeout := max(flushTimeout, time.Duration(flushTimeoutFactor*o.ownership.storeLatency.Load()))
	go func() {
		revision, err := withTimeout(ctx, timeout, func(ctx context.Context) (int64, error) { return o.opts.Store.Commit(ctx, txn) })
		o.post(ctx, func(now time.Duration) { o.handleFlushResult(now, batch, txn, revision, err) })
	}()
}

// handleFlushResult records the result of a write. A write without a response may still take
// effect later; its conditions make that harmless, as the next write of a key changes its
// revision.
func (o *Owner) handleFlushResult(now time.Duration, batch []dispatch.Record, txn fleet.Txn, revision int64, err error) {
	o.flushesInFlight--
	o.nextFlushAt = now + flushDelay
	o.dispatcher.HandleBatchResult(now, batch, err == nil)
	var conflict *fleet.ConflictError
	switch {
	case err == nil:
		o.dispatcher.ProveOwnership(revision)
		for _, w := range txn.Set {
			o.revisions[w.Key] = revision
			if w.Key == workersKey {
				o.workersRevision.Store(revision)
			}
		}
		for _, key := range txn.Remove {
			delete(o.revisions, key)
		}
	case errors.As(err, &conflict):
		o.nextFlushAt = now
		o.resolveConflict(conflict)
	default:
		o.flushRetryAt = now + flushRetryDelay
		o.opts.Events.Record(event.ProgressWriteFailed, len(batch), err)
	}
}

// resolveConflict records the revisions made by an earlier write of this owner whose outcome was
// unknown. If the owner key is absent, this owner tries to take it again; if it is another owner's,
// this VM has lost ownership.
func (o *Owner) resolveConflict(conflict *fleet.ConflictError) {
	keyFound := false
	for _, item := range conflict.Current {
		if item.Key != Key {
			o.revisions[item.Key] = item.Revision
			continue
		}
		if item.Revision == 0 {
			continue
		}
		keyFound = true
		if record, err := ParseRecord(item.Value); err != nil || record != o.ownership.record {
			o.group.Go(func() error { return errors.Wrap(errOwnershipLost, "the owner key has been replaced") })
		}
	}
	if !keyFound {
		o.flushRetryAt = o.opts.Clock() + flushRetryDelay
		o.ownership.reportKeyMissing()
	}
}

// progressTxn returns the transaction that writes a batch on condition that the owner key is
// unchanged and each record has its last known revision: a write that the store executes late
// must not overwrite a newer one.
func (o *Owner) progressTxn(batch []dispatch.Record) (fleet.Txn, error) {
	txn := fleet.Txn{If: []fleet.Condition{{Key: Key, Revision: o.ownership.KeyRevision()}}}
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
			err = set(workersKey, workersRecord{Owner: o.ownership.record, Workers: rec.Workers})
		case rec.Settings != nil:
			err = set(settingsKey, rec.Settings)
		case rec.Wave != nil:
			state := fleet.WaveRunning
			if rec.Wave.Completed {
				state = fleet.WaveCompleted
			}
			err = set(waveKey(rec.Wave.Wave), rec.Wave)
			txn.Set = append(txn.Set, fleet.Write{Key: o.opts.Codec.WaveStatusKey(rec.Wave.Wave), Value: o.opts.Codec.WaveState(state)})
		case rec.Compacted != nil:
			// Executed late, after the submission was removed, the write must not create its key again.
			var data []byte
			data, err = encoding.Marshal(rec.Compacted)
			txn.If = append(txn.If, fleet.Condition{Key: ProgressKey(rec.Job), Revision: o.revisions[ProgressKey(rec.Job)]})
			txn.Set = append(txn.Set, fleet.Write{Key: JobKey(rec.Job), Value: data})
		case rec.Remove:
			txn.Remove = append(txn.Remove, JobKey(rec.Job), CancelKey(rec.Job, rec.Account), ProgressKey(rec.Job))
		default:
			err = set(ProgressKey(rec.Job), rec.Progress)
		}
		if err != nil {
			return txn, errors.Wrap(err, "encode progress")
		}
	}
	return txn, nil
}
