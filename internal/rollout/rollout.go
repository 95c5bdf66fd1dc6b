package rollout

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/sheet"
)

// Intervals and limits of polling.
const (
	peerPollInterval   = 500 * time.Millisecond // between checks of the peers' revisions
	storeRetryInterval = 500 * time.Millisecond // after a failed poll of the store, randomized by half
	peerCallTimeout    = 2 * time.Second        // of one call to a peer
	maxConfirmPause    = 50 * time.Millisecond  // maximum pause between attempts to confirm the first head
	maxConfirmAttempts = 10
)

// Rollout accepts sheets on this VM and keeps its active configuration current. Safe
// for concurrent use.
type Rollout struct {
	configStore   configStore
	source        *Source
	view          membership.View
	caller        peer.Caller
	recorder      event.Recorder
	watchRevision platform.Revision // of the store, up to which changes were read; used only by pollStore
	// storeDown is true if the last poll of the store failed.
	storeDown atomic.Bool
}

// New returns a Rollout without an active configuration. view lists the peers; their
// digests contain their active revisions.
func New(store platform.Store, view membership.View, caller peer.Caller, recorder event.Recorder) *Rollout {
	return &Rollout{
		configStore: configStore{store: store, pause: sleep, maxParallelWrites: defaultParallelWrites},
		source:      newSource(recorder, time.Now),
		view:        view,
		caller:      caller,
		recorder:    recorder,
	}
}

// Source returns the source of the active configuration.
func (r *Rollout) Source() *Source { return r.source }

// Run polls the store and the peers until ctx is done. It returns nil.
func (r *Rollout) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return runPeriodically(ctx, peerPollInterval, r.pollPeers) })
	group.Go(func() error {
		for ctx.Err() == nil {
			err := r.pollStore(ctx, maxWatchWait)
			r.storeDown.Store(err != nil)
			if err != nil {
				_ = sleep(ctx, storeRetryInterval/2+rand.N(storeRetryInterval))
			}
		}
		return nil
	})
	return group.Wait()
}

func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pollStore reads the store once. The first poll of a process confirms the head that it
// read, so that a stale read cannot activate an old configuration. Later polls wait up
// to wait for a change and activate only newer revisions.
func (r *Rollout) pollStore(ctx context.Context, wait time.Duration) error {
	if r.watchRevision == 0 {
		return r.readFirstHead(ctx, wait)
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	entries, next, err := r.configStore.store.Watch(watchCtx, headKey, r.watchRevision, wait)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Key != headKey || len(e.Value) == 0 {
			continue
		}
		h, err := decodeStoredHead(e)
		if err == nil {
			err = r.fetchAndActivate(ctx, h)
		}
		if err != nil {
			return err
		}
	}
	r.watchRevision = max(r.watchRevision, next)
	return nil
}

// readFirstHead reads, confirms and activates the head for the first time in a process.
func (r *Rollout) readFirstHead(ctx context.Context, wait time.Duration) error {
	for attempt := 1; ; attempt++ {
		h, err := r.configStore.readHead(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			h, err = r.waitForHead(ctx, wait)
		}
		if err != nil || h.Revision == 0 {
			return err
		}
		err = r.configStore.confirm(ctx, &h)
		if err == nil {
			err = r.fetchAndActivate(ctx, h)
			if err == nil {
				r.watchRevision = h.revision
			}
			return err
		}
		// VMs that start at the same time conflict when they confirm the same head.
		if !errors.Is(err, platform.ErrConflict) || attempt == maxConfirmAttempts || r.configStore.pause(ctx, rand.N(maxConfirmPause)) != nil {
			return err
		}
	}
}

// waitForHead waits up to wait until the store has a head and returns it. Without one
// the returned head has revision 0.
func (r *Rollout) waitForHead(ctx context.Context, wait time.Duration) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	entries, _, err := r.configStore.store.Watch(ctx, headKey, 0, wait)
	if err != nil || len(entries) == 0 {
		return storedHead{}, err
	}
	return decodeStoredHead(entries[len(entries)-1])
}

// fetchAndActivate reads a head's missing parts from the store and activates it, unless
// its revision is not newer than the active one.
func (r *Rollout) fetchAndActivate(ctx context.Context, h storedHead) error {
	if h.Revision <= r.source.Revision() {
		return nil
	}
	contents, missing := r.splitByCached(h.head)
	err := r.configStore.readParts(ctx, missing, contents)
	if err == nil {
		err = r.source.activate(h.head, contents, "store")
	}
	if err != nil {
		r.recorder.Record(event.ConfigurationFetchFailed, h.Revision, "store", err.Error())
	}
	return err
}

// splitByCached returns the parts of a head that belong to the active configuration, by
// key, and the references of those that must be read.
func (r *Rollout) splitByCached(h head) (map[string]encodedPart, []partRef) {
	contents := map[string]encodedPart{}
	var missing []partRef
	cachedParts := r.source.cachedParts()
	for _, ref := range h.Parts {
		if c := cachedParts[ref.key()]; c != nil {
			contents[ref.key()] = c
		} else {
			missing = append(missing, ref)
		}
	}
	return contents, missing
}

// loadSheet returns the sheet of a stored head. Missing parts are read from the store.
func (r *Rollout) loadSheet(ctx context.Context, h storedHead) (sheet.Sheet, error) {
	contents, missing := r.splitByCached(h.head)
	if err := r.configStore.readParts(ctx, missing, contents); err != nil {
		return sheet.Sheet{}, err
	}
	ordered := make([]encodedPart, len(h.Parts))
	for i, ref := range h.Parts {
		ordered[i] = contents[ref.key()]
	}
	return joinParts(ordered)
}
