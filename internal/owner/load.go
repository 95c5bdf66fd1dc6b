package owner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// storedState is the state that a new owner loads from the store.
type storedState struct {
	intake            []fleet.Item
	intakeRevision    int64 // after which the intake is watched
	progress          map[fleet.JobID]*dispatch.Progress
	workersRecord     workersRecord
	workersRevision   int64 // of workersRecord; 0: there is none
	settings          dispatch.StoredSettings
	settingsRevision  int64            // 0: there are none
	progressRevisions map[string]int64 // by key
	workers           []fleet.WorkerEntry
	workersReadAt     time.Duration // when they were requested
	configuration     *fleet.Configuration
	waves             []fleet.MaintenanceWave
	waveProgress      map[int64]*dispatch.WaveProgress // by wave number
}

// load reads all parts of the stored state concurrently. A part that fails is read again until ctx is
// done; the others continue, so that the time does not depend on a large state arriving without a
// single failure. The order of the parts does not matter: nothing writes progress at this time, and
// the watch returns submissions that are stored meanwhile.
func (o *Owner) load(ctx context.Context) (storedState, error) {
	state := storedState{progress: map[fleet.JobID]*dispatch.Progress{}, progressRevisions: map[string]int64{}, waveProgress: map[int64]*dispatch.WaveProgress{}}
	group, ctx := errgroup.WithContext(fleet.WithResponseTimeout(ctx, loadResponseTimeout))
	loadPart := func(name string, read func(context.Context) error) {
		group.Go(func() error { return o.retryRead(ctx, "load "+name, read) })
	}
	loadPart("submissions", func(ctx context.Context) (err error) {
		state.intake, state.intakeRevision, err = o.opts.Store.List(ctx, intakePrefix)
		return err
	})
	loadPart("progress", func(ctx context.Context) error { return o.loadProgress(ctx, &state) })
	loadPart("recorded workers", func(ctx context.Context) error { return o.loadWorkersRecord(ctx, &state) })
	loadPart("settings", func(ctx context.Context) error { return o.loadSettings(ctx, &state) })
	loadPart("workers", func(ctx context.Context) (err error) {
		state.workersReadAt = o.opts.Clock()
		state.workers, err = o.readWorkers(ctx)
		return err
	})
	loadPart("configuration", func(ctx context.Context) (err error) {
		state.configuration, err = o.opts.Configuration.RefreshConfiguration(ctx)
		return err
	})
	loadPart("waves", func(ctx context.Context) (err error) {
		state.waves, err = o.readWaves(ctx)
		return err
	})
	return state, group.Wait()
}

// retryRead repeats a read until it succeeds or ctx is done, and records the first failure and the
// end of a series.
func (o *Owner) retryRead(ctx context.Context, name string, read func(context.Context) error) error {
	for failures := 0; ; failures++ {
		err := read(ctx)
		if err == nil {
			if failures > 0 {
				o.opts.Events.Record(event.StoreCallRecovered, name)
			}
			return nil
		}
		if failures == 0 && ctx.Err() == nil {
			o.opts.Events.Record(event.StoreCallFailed, name, err)
		}
		if !pause.For(ctx, loadRetryDelay) {
			return ctx.Err()
		}
	}
}

func (o *Owner) loadWorkersRecord(ctx context.Context, state *storedState) error {
	record, found, _, err := o.opts.Store.Get(ctx, workersKey)
	if err != nil || !found {
		return err
	}
	state.workersRevision = record.Revision
	if err := cbor.Unmarshal(record.Value, &state.workersRecord); err != nil {
		o.opts.Events.Record(event.StoredEntryInvalid, workersKey, err)
	}
	return nil
}

func (o *Owner) loadSettings(ctx context.Context, state *storedState) error {
	item, found, _, err := o.opts.Store.Get(ctx, settingsKey)
	if err != nil || !found {
		return err
	}
	state.settingsRevision = item.Revision
	if err := cbor.Unmarshal(item.Value, &state.settings); err != nil {
		state.settings = dispatch.StoredSettings{}
		o.opts.Events.Record(event.StoredEntryInvalid, settingsKey, err)
	}
	return nil
}

func (o *Owner) loadProgress(ctx context.Context, state *storedState) error {
	items, _, err := o.opts.Store.List(ctx, progressPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		state.progressRevisions[item.Key] = item.Revision
		var err error
		if strings.HasPrefix(item.Key, wavePrefix) {
			p := &dispatch.WaveProgress{}
			err = cbor.Unmarshal(item.Value, p)
			state.waveProgress[p.Wave] = p
		} else {
			p := &dispatch.Progress{}
			err = cbor.Unmarshal(item.Value, p)
			state.progress[fleet.JobID(strings.TrimPrefix(item.Key, progressPrefix))] = p
		}
		if err != nil {
			o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
		}
	}
	return nil
}

// readWaves reads the operators' maintenance waves.
func (o *Owner) readWaves(ctx context.Context) ([]fleet.MaintenanceWave, error) {
	items, _, err := o.opts.Store.List(ctx, o.opts.Codec.WavePrefix)
	if err != nil {
		return nil, err
	}
	var waves []fleet.MaintenanceWave
	for _, item := range items {
		if wave, ok := o.readWave(item); ok {
			waves = append(waves, wave)
		}
	}
	return waves, nil
}

func (o *Owner) readWave(item fleet.Item) (fleet.MaintenanceWave, bool) {
	wave, err := o.opts.Codec.Wave(item)
	if err != nil {
		o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
	}
	return wave, err == nil
}

// restore builds the dispatcher from the loaded state. The dispatcher uses the create revision
// of a submission to determine whether a previous owner can have started it.
func (o *Owner) restore(state storedState, reason string) {
	now := o.opts.Clock()
	d := dispatch.New(now, o.opts.Dispatch, o.opts.Events)
	o.dispatcher = d
	d.SetStoredSettings(state.settings)
	if state.configuration != nil {
		d.SetConfiguration(state.configuration)
	}
	d.SetRecordedWorkers(state.workersRecord.Workers)
	o.revisions = state.progressRevisions
	if state.workersRevision != 0 {
		o.revisions[workersKey] = state.workersRevision
	}
	if state.settingsRevision != 0 {
		o.revisions[settingsKey] = state.settingsRevision
	}
	d.SetWorkers(now, state.workersReadAt, state.workers)
	for _, wave := range state.waves {
		d.SetWave(now, time.Now(), wave, state.waveProgress[wave.Number])
	}
	// The rates of accounts count submissions in the order in which they were accepted.
	slices.SortStableFunc(state.intake, func(a, b fleet.Item) int { return cmp.Compare(a.CreateRevision, b.CreateRevision) })
	o.applyIntake(now, state.intake, state.progress)
	o.opts.Events.Record(event.OwnerElected, o.ownership.Fence, reason, len(state.intake), len(state.workers))
}

// decodeSubmission decodes and validates a stored submission, which may be compacted. An invalid one
// would end every owner that loads it.
func decodeSubmission(item fleet.Item, sub *fleet.Submission) error {
	if err := cbor.Unmarshal(item.Value, sub); err != nil {
		return err
	}
	if JobKey(sub.ID) != item.Key {
		return errors.Newf("the entry contains submission %q", sub.ID)
	}
	if sub.IsCompacted() {
		return nil
	}
	sub.Normalize()
	return sub.Validate()
}

var errCompactedWithoutFinalState = errors.New("the submission is compacted, but has no final state")

// applyIntake passes submissions and cancellations to the dispatcher. progress is nil for items
// that were received after the initial load.
func (o *Owner) applyIntake(now time.Duration, items []fleet.Item, progress map[fleet.JobID]*dispatch.Progress) {
	for _, item := range items {
		switch {
		case item.Deleted:
		case strings.HasPrefix(item.Key, cancelPrefix):
			id, account := parseCancelKey(item.Key)
			if !o.dispatcher.Cancel(now, id, account) {
				continue
			}
			o.opts.Events.Record(event.CancelReceived, id, o.dispatcher.Status(id).State)
		case strings.HasPrefix(item.Key, jobPrefix):
			sub := &fleet.Submission{}
			if err := decodeSubmission(item, sub); err != nil {
				o.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
				continue
			}
			if stored := progress[sub.ID]; sub.IsCompacted() && (stored == nil || !stored.State.Final()) {
				if progress != nil {
					o.opts.Events.Record(event.StoredEntryInvalid, item.Key, errCompactedWithoutFinalState)
				}
				continue // received by the watch: this owner has compacted it
			}
			age := max(time.Since(sub.Received), 0)
			if progress == nil {
				age = min(age, watchTimeout) // the clocks of VMs differ; the watch returns a new item within this time
			}
			if !o.dispatcher.AddJob(now, sub, item.CreateRevision, age, progress[sub.ID]) {
				continue
			}
			o.opts.Events.Record(event.SubmissionReceived, sub.ID, sub.Queue, len(sub.Steps), item.CreateRevision, age)
		}
	}
}
