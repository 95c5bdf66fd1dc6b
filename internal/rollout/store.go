package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// Times of the calls to the store.
const (
	applyTimeout          = time.Minute     // of one Apply
	minOrphanAge          = 24 * time.Hour  // of a part that nothing names; far above applyTimeout
	orphanSweepRevisions  = 256             // between sweeps
	storeCallTimeout      = 2 * time.Second // of one call
	maxWatchWait          = 25 * time.Second
	minRetryPause         = 20 * time.Millisecond // between tries of a write whose answer was lost; doubles
	maxRetryPause         = time.Second
	minPartsToList        = 5 // parts to read from which one listing is cheaper than reading each
	defaultParallelWrites = 8 // of parts
	maxRefusals           = 5 // refusals by the store after which a write is given up
)

// records reads and writes the configuration's keys in the platform's store.
type configStore struct {
	store platform.Store
	// pause waits between tries; it returns an error when there is to be no other.
	pause             func(ctx context.Context, d time.Duration) error
	maxParallelWrites int // parts written at the same time
}

// storedHead is a head with the revision of its key and its bytes there.
type storedHead struct {
	head
	value    []byte
	revision platform.Revision
}

func decodeStoredHead(e platform.Entry) (storedHead, error) {
	h, err := decodeHead(e.Value)
	return storedHead{head: h, value: e.Value, revision: e.Revision}, err
}

// read returns the head, which may lag. Without one it returns platform.ErrNotFound.
func (r configStore) readHead(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	e, err := r.store.Get(ctx, headKey)
	if err != nil {
		return storedHead{}, err
	}
	return decodeStoredHead(e)
}

// confirm proves that a head that was read is the store's newest by writing it
// again unchanged.
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

// retry repeats a try until it says that it is done, with growing pauses. The try
// must be idempotent.
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

// writePart creates a part. Its key is the writer's alone, so a conflict means that
// an earlier try took effect.
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

// readParts reads the parts into contents, by one listing if they are many.
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

// remove deletes parts that nothing names any more. What fails stays behind.
func (r configStore) deleteParts(ctx context.Context, refs []partRef) {
	for _, ref := range refs {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_ = r.store.Delete(ctx, ref.key(), ref.Revision)
		cancel()
	}
}

// sweep deletes parts that writers left behind who failed before their head. A part
// that nothing names is left alone until no writer can still be about to name it.
func (r configStore) deleteOrphanParts(ctx context.Context, named []partRef, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := r.store.List(ctx, partPrefix)
	if err != nil {
		return // the next sweep finds them
	}
	keys := map[string]bool{}
	for _, ref := range named {
		keys[ref.key()] = true
	}
	for _, e := range entries {
		if !keys[e.Key] && now.Sub(partCreatedAt(e.Key)) > minOrphanAge {
			_ = r.store.Delete(ctx, e.Key, e.Revision)
		}
	}
}

// writtenAt reads a part's age from its writer's stamp, a UUID of version 7. A key
// without one counts as new.
func partCreatedAt(key string) time.Time {
	writerID, err := uuid.Parse(key[min(len(key), len(partPrefix)+2*hashBytes+1):])
	if err != nil || writerID.Version() != 7 {
		return time.Now()
	}
	seconds, nanoseconds := writerID.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}
