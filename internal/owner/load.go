package owner

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// stored is what a new owner finds in the store.
type stored struct {
	intake   []fleet.Item
	revision int64 // to watch the intake from
	progress map[fleet.JobID]*dispatch.Progress
	recorded fleetRecord
	recordAt int64            // revision of the record of workers; 0: there is none
	written  map[string]int64 // revision of each progress record
	workers  []fleet.WorkerEntry
	conf     *fleet.Configuration
	waves    []fleet.MaintenanceWave
	begun    map[int64]*dispatch.WaveProgress // by the number of the wave
}

// load reads everything that lasts; it tries until ctx is done.
func (o *Owner) load(ctx context.Context) (stored, error) {
	for {
		state, err := limit(ctx, loadTimeout, o.loadOnce)
		if err == nil {
			return state, nil
		}
		o.opts.Events.Record(event.StoreCallFailed, "load", err)
		if !pause.For(ctx, loadRetry) {
			return stored{}, ctx.Err()
		}
	}
}

// loadOnce reads all parts side by side. The order does not matter: nobody writes progress
// now, and a submission that comes meanwhile is found by the watch.
func (o *Owner) loadOnce(ctx context.Context) (stored, error) {
	state := stored{progress: map[fleet.JobID]*dispatch.Progress{}, written: map[string]int64{}, begun: map[int64]*dispatch.WaveProgress{}}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		state.intake, state.revision, err = o.opts.Store.List(ctx, intakePrefix)
		return err
	})
	group.Go(func() error { return o.loadProgress(ctx, &state) })
	group.Go(func() error {
		record, found, _, err := o.opts.Store.Get(ctx, workersKey)
		if err != nil || !found {
			return err
		}
		state.recordAt = record.Revision
		if err := cbor.Unmarshal(record.Value, &state.recorded); err != nil {
			o.opts.Events.Record(event.StoredEntryInvalid, workersKey, err)
		}
		return nil
	})
	group.Go(func() (err error) {
		state.workers, err = o.readWorkers(ctx)
		return err
	})
	group.Go(func() error { return o.loadOperators(ctx, &state) })
	return state, group.Wait()
}

func (o *Owner) loadProgress(ctx context.Context, state *stored) error {
	items, _, err := o.opts.Store.List(ctx, progressPfx)
	if err != nil {
		return err
	}
	for _, item := range items {
		state.written[item.Key] = item.Revision
		var err error
		if strings.HasPrefix(item.Key, wavePfx) {
			p := &dispatch.WaveProgress{}
			err = cbor.Unmarshal(item.Value, p)
			state.begun[p.Wave] = p
		} else {
			p := &dispatch.Progress{}
			err = cbor.Unmarshal(item.Value, p)
			state.progress[fleet.JobID(strings.TrimPrefix(item.Key, progressPfx))] = p
		}
		if err != nil {
			o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
		}
	}
	return nil
}

// loadOperators reads the configuration and the maintenance waves.
func (o *Owner) loadOperators(ctx context.Context, state *stored) error {
	items, _, err := o.opts.Store.List(ctx, o.opts.Codec.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		switch {
		case item.Key == o.opts.Codec.ConfigKey:
			if state.conf, err = o.opts.Codec.Configuration(item.Value); err != nil {
				o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
			}
		case strings.HasPrefix(item.Key, o.opts.Codec.WavePrefix):
			if wave, ok := o.readWave(item); ok {
				state.waves = append(state.waves, wave)
			}
		}
	}
	return nil
}

func (o *Owner) readWave(item fleet.Item) (fleet.MaintenanceWave, bool) {
	wave, err := o.opts.Codec.Wave(item)
	if err != nil {
		o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
	}
	return wave, err == nil
}

// adopt builds the dispatcher from what was loaded. Its revision of a job decides whether
// an earlier owner can have started it.
func (o *Owner) adopt(state stored, why string) {
	now := o.opts.Clock()
	d := dispatch.New(now, o.opts.Dispatch, o.opts.Events)
	o.dispatcher = d
	if state.conf != nil {
		d.SetConfiguration(state.conf)
	}
	d.SetRecordedWorkers(state.recorded.Workers)
	o.revisions = state.written
	if state.recordAt != 0 {
		o.revisions[workersKey] = state.recordAt
	}
	d.SetWorkers(now, state.workers)
	for _, wave := range state.waves {
		d.SetWave(now, time.Now(), wave, state.begun[wave.Number])
	}
	o.take(now, state.intake, state.progress)
	o.opts.Events.Record(event.OwnerElected, o.authority.Fence, why, len(state.intake), len(state.workers))
}

// take hands items of the intake to the dispatcher.
func (o *Owner) take(now time.Duration, items []fleet.Item, progress map[fleet.JobID]*dispatch.Progress) {
	for _, item := range items {
		switch {
		case item.Deleted:
		case strings.HasPrefix(item.Key, cancelPrefix):
			id := fleet.JobID(strings.TrimPrefix(item.Key, cancelPrefix))
			if !o.dispatcher.Cancel(now, id) {
				continue
			}
			o.opts.Events.Record(event.CancelTaken, id, o.dispatcher.State(id))
		case strings.HasPrefix(item.Key, jobPrefix):
			sub := &fleet.Submission{}
			if err := cbor.Unmarshal(item.Value, sub); err != nil {
				o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
				continue
			}
			age := max(time.Since(sub.Received), 0)
			if progress == nil {
				age = min(age, watchTimeout) // clocks of VMs differ; a watch is not later than this
			}
			if !o.dispatcher.AddJob(now, sub, item.CreateRevision, age, progress[sub.ID]) {
				continue
			}
			o.opts.Events.Record(event.SubmissionTaken, sub.ID, sub.Queue, len(sub.Steps), item.CreateRevision, age)
		}
	}
}
