package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// watchIntake watches submissions and cancellations after a revision. When the store has
// compacted the history, it lists all of them again.
func (o *Owner) watchIntake(ctx context.Context, after int64) {
	failing := false
	for ctx.Err() == nil {
		items, next, err := o.readIntakeChanges(ctx, after)
		if err != nil {
			if !failing && ctx.Err() == nil {
				o.opts.Events.Record(event.StoreCallFailed, "watch intake", err)
			}
			failing = true
			pause.For(ctx, watchRetryDelay)
			continue
		}
		if failing {
			failing = false
			o.opts.Events.Record(event.StoreCallRecovered, "watch intake")
		}
		after = max(next, after)
		if len(items) > 0 {
			o.post(ctx, func(now time.Duration) { o.applyIntake(now, items, nil) })
		}
	}
}

func (o *Owner) readIntakeChanges(ctx context.Context, after int64) ([]fleet.Item, int64, error) {
	ctx = fleet.WithResponseTimeout(ctx, watchTimeout)
	items, next, err := o.opts.Store.Watch(ctx, intakePrefix, after, watchWait)
	if errors.Is(err, fleet.ErrCompacted) {
		return o.opts.Store.List(ctx, intakePrefix)
	}
	return items, next, err
}

// listWorkers polls the workers' entries. After a store outage the entries of live workers may
// be missing for a while, so no worker is removed during outageSettleTime.
func (o *Owner) listWorkers(ctx context.Context) {
	var retainMissingUntil time.Duration
	failing := false
	known := map[string]fleet.WorkerEntry{}
	for pause.For(ctx, workerListInterval(len(known))) {
		entries, err := o.readWorkers(fleet.WithResponseTimeout(ctx, listResponseTimeout))
		now := o.opts.Clock()
		if err != nil {
			if !failing && ctx.Err() == nil {
				o.opts.Events.Record(event.StoreCallFailed, "list workers", err)
			}
			failing = true
			continue
		}
		if failing {
			failing = false
			retainMissingUntil = now + outageSettleTime
			o.opts.Events.Record(event.StoreCallRecovered, "list workers")
		}
		current := make(map[string]fleet.WorkerEntry, len(entries))
		for _, e := range entries {
			current[string(e.ID)] = e
		}
		if now < retainMissingUntil {
			for id, e := range known {
				if _, ok := current[id]; !ok {
					entries = append(entries, e)
					current[id] = e
				}
			}
		}
		known = current
		o.post(ctx, func(now time.Duration) { o.dispatcher.SetWorkers(now, entries) })
	}
}

// workerListInterval is longer for many workers, as each entry takes about 300 bytes.
func workerListInterval(workers int) time.Duration {
	if workers > largeWorkerCount {
		return largeListInterval
	}
	return listInterval
}

// readWorkers reads all worker entries and skips invalid ones.
func (o *Owner) readWorkers(ctx context.Context) ([]fleet.WorkerEntry, error) {
	items, _, err := o.opts.Store.List(ctx, o.opts.Codec.WorkerPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]fleet.WorkerEntry, 0, len(items))
	for _, item := range items {
		e, err := o.opts.Codec.Worker(item)
		if err != nil {
			o.recordInvalidEntry(item, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// recordInvalidEntry records the event once for each revision of an entry.
func (o *Owner) recordInvalidEntry(item fleet.Item, err error) {
	if last, ok := o.invalidRevisions.Load(item.Key); ok && last == item.Revision {
		return
	}
	o.invalidRevisions.Store(item.Key, item.Revision)
	o.opts.Events.Record(event.WorkerEntryInvalid, item.Key, err)
}
