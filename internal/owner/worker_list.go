package owner

import (
	"context"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/pause"
)

// workerList keeps the entries of the workers through outages of the store. Only the goroutine of listWorkers uses it.
//
// During an outage entries expire, and those of live workers are back some time after it. Until then they show where the
// workers are, but not their capacity, which may have shrunk meanwhile.
type workerList struct {
	// maxAge is how long an entry may be used that the store could not replace by a newer one.
	maxAge time.Duration
	// heartbeat is the interval in which workers write their entries.
	heartbeat time.Duration

	entries      []fleet.WorkerEntry
	readAt       time.Duration // when the last successful read was requested
	failing      bool
	settledAt    time.Duration // after an outage: the entries of live workers are back
	refreshedAt  time.Duration // after an outage that was longer than maxAge: each entry has been written again
	retainedOnly map[model.WorkerID]bool
}

// needsCapacities reports whether capacities must be read from the machine control plane at now: the store fails, or has
// entries from before an outage.
func (l *workerList) needsCapacities(now time.Duration) bool {
	return l.failing || now < max(l.refreshedAt, l.settledAt)
}

// fail records that a read failed.
func (l *workerList) fail() { l.failing = true }

// update applies the entries of a read that was requested at readAt and ended at now.
func (l *workerList) update(now, readAt time.Duration, entries []fleet.WorkerEntry) {
	if l.failing {
		l.failing = false
		l.settledAt = now + outageSettleTime
		if now-l.readAt > l.maxAge {
			l.refreshedAt = now + l.heartbeat
		}
	}
	l.readAt = readAt
	l.retainedOnly = map[model.WorkerID]bool{}
	if now < l.settledAt {
		entries = append(entries, l.missing(entries)...)
	}
	l.entries = entries
}

// missing returns the last entries of the workers that the given ones do not contain, and notes that they are not confirmed.
func (l *workerList) missing(entries []fleet.WorkerEntry) []fleet.WorkerEntry {
	listed := make(map[model.WorkerID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	var missing []fleet.WorkerEntry
	for _, e := range l.entries {
		if !listed[e.ID] {
			l.retainedOnly[e.ID] = true
			missing = append(missing, e)
		}
	}
	return missing
}

// current returns the entries to use at now. capacities are those that the machine control plane has shown since, nil if it
// did not respond. They only reduce what an entry says, as they may be what the machine has, not what its worker offers.
func (l *workerList) current(now time.Duration, capacities map[model.WorkerID]model.Resources) []fleet.WorkerEntry {
	entries := make([]fleet.WorkerEntry, len(l.entries))
	for i, e := range l.entries {
		capacity, known := capacities[e.ID]
		if known {
			e.Capacity = e.Capacity.Min(capacity)
		}
		e.Outdated = !known && (l.retainedOnly[e.ID] || now < l.refreshedAt)
		entries[i] = e
	}
	return entries
}

// listWorkers polls the workers' entries. While the store does not give them, it asks the machine control plane for the
// capacities.
func (o *Owner) listWorkers(ctx context.Context, loaded []fleet.WorkerEntry, loadedAt time.Duration) {
	l := &workerList{maxAge: o.opts.Dispatch.MaxListAge, heartbeat: o.opts.Heartbeat, entries: loaded, readAt: loadedAt}
	capacitiesFailing := false
	for pause.For(ctx, workerListInterval(len(l.entries))) {
		sent, entries, err := o.pollWorkers(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err != nil && !l.failing:
			l.fail()
			o.opts.Events.Record(event.StoreCallFailed, "list workers", err)
		case err == nil:
			if l.failing {
				o.opts.Events.Record(event.StoreCallRecovered, "list workers")
			}
			l.update(o.opts.Clock(), sent, entries)
		}
		readAt := l.readAt
		var capacities map[model.WorkerID]model.Resources
		if l.needsCapacities(o.opts.Clock()) {
			sent := o.opts.Clock()
			capacities, err = withTimeout(ctx, machineTimeout, o.opts.Machines.Capacities)
			if err == nil {
				readAt = sent
			} else if !capacitiesFailing && ctx.Err() == nil {
				o.opts.Events.Record(event.CapacityReadFailed, err)
			}
			capacitiesFailing = err != nil
		}
		if l.failing && capacities == nil {
			o.post(ctx, func(time.Duration) { o.dispatcher.SetListFailing() })
			continue
		}
		current := l.current(o.opts.Clock(), capacities)
		o.post(ctx, func(now time.Duration) { o.dispatcher.SetWorkers(now, readAt, current) })
	}
}

// workerListRead is the result of a read of the worker entries.
type workerListRead struct {
	sent    time.Duration // when it was requested
	entries []fleet.WorkerEntry
	err     error
}

// pollWorkers reads the worker entries. When the store answers again after an outage, it starts
// another read, as the first may have been sent during the outage; the first to end counts.
func (o *Owner) pollWorkers(ctx context.Context) (sent time.Duration, entries []fleet.WorkerEntry, err error) {
	results := make(chan workerListRead, 1)
	read := func() {
		r := workerListRead{sent: o.opts.Clock()}
		r.entries, r.err = o.readWorkers(fleet.WithResponseTimeout(ctx, listResponseTimeout))
		select {
		case results <- r:
		default: // the other read was faster
		}
	}
	answers := o.ownership.storeAnswers.Next()
	go read()
	for {
		select {
		case r := <-results:
			return r.sent, r.entries, r.err
		case <-answers:
			answers = nil
			go read()
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
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
