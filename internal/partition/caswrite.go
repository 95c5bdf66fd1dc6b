package partition

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// Timing of a write whose outcome is unknown.
const (
	// storeCallTimeout bounds one store call. A write that exceeds it may have taken effect.
	storeCallTimeout = 2 * time.Second
	minRetryDelay    = 10 * time.Millisecond
	maxRetryDelay    = 1 * time.Second
)

// sleepFunc waits for d or until the context ends, and returns the context's error.
type sleepFunc func(ctx context.Context, d time.Duration) error

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// casResult is the definite outcome of a compare-and-swap.
type casResult struct {
	Revision platform.Revision // of the caller's write, if it took effect
	Found    platform.Entry    // the entry found at the key, if it did not
}

// casUntilResolved writes value by compare-and-swap and resolves unknown outcomes: it
// repeats the identical write, which its stamp makes idempotent, until the store shows
// whether this write or another one took effect. isOwn identifies the caller's write by
// its stamp.
//
// Errors: platform.ErrConflict (no effect; Found is the entry at the key),
// platform.ErrUnavailable (no effect), ErrOutcomeUnknown (the context ended first).
func casUntilResolved(ctx context.Context, store platform.Store, sleepFn sleepFunc, key string, value []byte,
	expected platform.Revision, isOwn func(value []byte) bool) (casResult, error) {
	uncertain := false
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		rev, err := casOnce(ctx, store, key, value, expected)
		switch {
		case err == nil:
			return casResult{Revision: rev}, nil
		case errors.Is(err, platform.ErrConflict):
			found, readErr := store.Get(ctx, key)
			if readErr == nil && isOwn(found.Value) {
				return casResult{Revision: found.Revision}, nil
			}
			if readErr == nil {
				return casResult{Found: found}, platform.ErrConflict
			}
			// The conflict may be with an earlier attempt of this write; only a read can tell.
			uncertain = true
		case errors.Is(err, platform.ErrUnavailable) && !uncertain:
			return casResult{}, platform.ErrUnavailable
		default:
			uncertain = uncertain || !errors.Is(err, platform.ErrUnavailable)
		}
		if waitErr := sleepFn(ctx, delay); waitErr != nil {
			return casResult{}, errors.Mark(errors.Wrapf(waitErr, "write of %s", key), ErrOutcomeUnknown)
		}
	}
}

func casOnce(ctx context.Context, store platform.Store, key string, value []byte,
	expected platform.Revision) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return store.CompareAndSwap(ctx, key, value, expected)
}
