// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits d and reports whether ctx is still open.
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
