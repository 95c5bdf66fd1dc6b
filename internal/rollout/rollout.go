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

// Times of following.
const (
	peerPollInterval   = 500 * time.Millisecond // between looks at the peers' revisions
	storeRetryInterval = 500 * time.Millisecond // after a failed look at the store, spread by half
	peerCallTimeout    = 2 * time.Second        // of one call to a peer
	maxConfirmPause    = 50 * time.Millisecond  // longest, between tries to confirm the first head
	maxConfirmAttempts = 10
)

// Rollout accepts sheets on this VM and keeps its configuration current. Safe for
// concurrent use.
type Rollout struct {
	configStore   configStore
	source        *Source
	view          membership.View
	caller        peer.Caller
	recorder      event.Recorder
	watchRevision platform.Revision // of the store; used by Run's store follower only
	// storeDown is set while the last look at the store failed.
	storeDown atomic.Bool
}

// New returns a roll-out without a configuration. view gives the peers and, in their
// digests, the revisions that they have.
func New(store platform.Store, view membership.View, caller peer.Caller, recorder event.Recorder) *Rollout {
	return &Rollout{
		configStore: configStore{store: store, pause: sleep, maxParallelWrites: defaultParallelWrites},
		source:      newSource(recorder, time.Now),
		view:        view,
		caller:      caller,
		recorder:    recorder,
	}
}

// Source gives the configuration in force.
func (r *Rollout) Source() *Source { return r.source }

// Run follows the store and the peers until ctx is done.
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

// followStore takes one look at the store. The first one of a process confirms
// what it read, so that a store that lags cannot put an old configuration in
// force; later ones wait for the next change and take only newer revisions.
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
		// Other VMs that start at the same time confirm the same head.
		if !errors.Is(err, platform.ErrConflict) || attempt == maxConfirmAttempts || r.configStore.pause(ctx, rand.N(maxConfirmPause)) != nil {
			return err
		}
	}
}

// awaitFirst waits until the store has a head at all and returns it; its revision
// is 0 if there was none in time.
func (r *Rollout) waitForHead(ctx context.Context, wait time.Duration) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	entries, _, err := r.configStore.store.Watch(ctx, headKey, 0, wait)
	if err != nil || len(entries) == 0 {
		return storedHead{}, err
	}
	return decodeStoredHead(entries[len(entries)-1])
}

// adopt reads a head's parts and puts it in force.
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

// splitByCached returns the parts of a head that this VM holds and those that it lacks.
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

// load returns the sheet of a stored head.
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
