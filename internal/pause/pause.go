// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For sleeps for d and returns true, or returns false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
