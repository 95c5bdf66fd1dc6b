package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// Limits of the access to the store.
const (
	applyTimeout          = time.Minute     // of one Apply
	minOrphanAge          = 24 * time.Hour  // of an unreferenced part; far above applyTimeout
	orphanSweepRevisions  = 256             // revisions between deletions of orphan parts
	storeCallTimeout      = 2 * time.Second // of one call
	maxWatchWait          = 25 * time.Second
	minRetryPause         = 20 * time.Millisecond // between attempts of a write whose response was lost; doubles
	maxRetryPause         = time.Second
	minPartsToList        = 5 // number of parts from which one listing is cheaper than single reads
	defaultParallelWrites = 8 // of parts in one Apply
	maxRefusals           = 5 // refusals by the store after which a write fails
)

// configStore accesses the configuration's keys in the platform's store.
type configStore struct {
	store platform.Store
	// pause waits between attempts. After an error there are no further attempts.
	pause             func(ctx context.Context, d time.Duration) error
	maxParallelWrites int // of parts
}

// storedHead is a head with its encoding and the revision of its key in the store.
type storedHead struct {
	head
	value    []byte
	revision platform.Revision
}

func decodeStoredHead(e platform.Entry) (storedHead, error) {
	h, err := decodeHead(e.Value)
	return storedHead{head: h, value: e.Value, revision: e.Revision}, err
}

// readHead returns the head, possibly a stale one. The error is platform.ErrNotFound if
// there is none.
func (r configStore) readHead(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	e, err := r.store.Get(ctx, headKey)
	if err != nil {
		return storedHead{}, err
	}
	return decodeStoredHead(e)
}

// confirm verifies that a head is the newest in the store by writing it again unchanged.
// It updates the head's store revision.
func (r configStore) confirm(ctx context.Context, h *storedHead) error {
	revision, err := r.writeIfRevision(ctx, headKey, h.value, h.revision)
	if err == nil {
		h.revision = revision
	}
	return err
}

func (r configStore) writeIfRevision(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.store.CompareAndSwap(ctx, key, value, expected)
}

// retry repeats attempt with exponential backoff until it reports done or pause fails.
// The attempt must be idempotent.
func (r configStore) retry(ctx context.Context, attempt func() (done bool, err error)) error {
	for wait := minRetryPause; ; wait = min(2*wait, maxRetryPause) {
		done, err := attempt()
		if done {
			return err
		}
		if stop := r.pause(ctx, wait); stop != nil {
			return errors.CombineErrors(err, stop)
		}
	}
}

// writePart creates a part and returns its store revision. No other writer uses the same
// key, so a conflict means that an earlier attempt took effect.
func (r configStore) writePart(ctx context.Context, ref partRef, c encodedPart) (platform.Revision, error) {
	var written platform.Revision
	refusals := 0
	err := r.retry(ctx, func() (bool, error) {
		revision, err := r.writeIfRevision(ctx, ref.key(), c, 0)
		if errors.Is(err, platform.ErrConflict) {
			var e platform.Entry
			e, err = r.get(ctx, ref.key())
			revision = e.Revision
		}
		if errors.Is(err, platform.ErrUnavailable) {
			refusals++
		}
		written = revision
		return err == nil || refusals >= maxRefusals, err
	})
	return written, err
}

func (r configStore) get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.store.Get(ctx, key)
}

// readParts reads the parts into contents, with one listing if there are at least
// minPartsToList.
func (r configStore) readParts(ctx context.Context, refs []partRef, contents map[string]encodedPart) error {
	if len(refs) >= minPartsToList {
		return r.listParts(ctx, refs, contents)
	}
	for _, ref := range refs {
		e, err := r.get(ctx, ref.key())
		if err != nil {
			return err
		}
		contents[ref.key()] = e.Value
	}
	return nil
}

func (r configStore) listParts(ctx context.Context, refs []partRef, contents map[string]encodedPart) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := r.store.List(ctx, partPrefix)
	if err != nil {
		return err
	}
	listed := make(map[string]encodedPart, len(entries))
	for _, e := range entries {
		listed[e.Key] = e.Value
	}
	for _, ref := range refs {
		c, ok := listed[ref.key()]
		if !ok {
			return platform.ErrNotFound
		}
		contents[ref.key()] = c
	}
	return nil
}

// deleteParts deletes parts that are no longer referenced. Parts whose deletion fails are
// left to deleteOrphanParts.
func (r configStore) deleteParts(ctx context.Context, refs []partRef) {
	for _, ref := range refs {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_ = r.store.Delete(ctx, ref.key(), ref.Revision)
		cancel()
	}
}

// deleteOrphanParts deletes unreferenced parts, for example those of writers that failed
// before they wrote their head. A part is deleted only above minOrphanAge, when no running
// Apply can still reference it.
func (r configStore) deleteOrphanParts(ctx context.Context, referenced []partRef, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := r.store.List(ctx, partPrefix)
	if err != nil {
		return // the next call of deleteOrphanParts deletes them
	}
	keys := map[string]bool{}
	for _, ref := range referenced {
		keys[ref.key()] = true
	}
	for _, e := range entries {
		if !keys[e.Key] && now.Sub(partCreatedAt(e.Key)) > minOrphanAge {
			_ = r.store.Delete(ctx, e.Key, e.Revision)
		}
	}
}

// partCreatedAt returns the time in the writer ID of a part's key, a version 7 UUID. For
// a key without one it returns the current time, so that the part is kept.
func partCreatedAt(key string) time.Time {
	writerID, err := uuid.Parse(key[min(len(key), len(partPrefix)+2*hashBytes+1):])
	if err != nil || writerID.Version() != 7 {
		return time.Now()
	}
	seconds, nanoseconds := writerID.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}
