package partition

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// Times of a write whose outcome is open.
const (
	// storeCallTimeout bounds one call of the store; a write that exceeds it is in doubt.
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

// casResult is the outcome of a write after lost answers were resolved.
type casResult struct {
	Revision platform.Revision // of the own write, if it took effect
	Found    platform.Entry    // what stands at the key instead, if it did not
}

// casUntilResolved swaps in value and resolves lost answers: it repeats the very same
// write, whose stamp makes it idempotent, until the store says that it took
// effect or that something else did. own tells the caller's write by its stamp.
//
// Errors: platform.ErrConflict (did not take effect; Found is what stands there),
// platform.ErrUnavailable (did not take effect), ErrInDoubt (the context ended first).
func casUntilResolved(ctx context.Context, store platform.Store, wait sleepFunc, key string, value []byte,
	expected platform.Revision, own func(value []byte) bool) (casResult, error) {
	doubt := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		rev, err := casOnce(ctx, store, key, value, expected)
		switch {
		case err == nil:
			return casResult{Revision: rev}, nil
		case errors.Is(err, platform.ErrConflict):
			found, readErr := store.Get(ctx, key)
			if readErr == nil && own(found.Value) {
				return casResult{Revision: found.Revision}, nil
			}
			if readErr == nil {
				return casResult{Found: found}, platform.ErrConflict
			}
			// The conflict may be with the own earlier try: only a read tells.
			doubt = true
		case errors.Is(err, platform.ErrUnavailable) && !doubt:
			return casResult{}, platform.ErrUnavailable
		default:
			doubt = doubt || !errors.Is(err, platform.ErrUnavailable)
		}
		if waitErr := wait(ctx, pause); waitErr != nil {
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
