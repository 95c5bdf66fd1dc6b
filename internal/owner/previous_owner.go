package owner

import (
	"context"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/pause"
)

// Timing of the queries to the previous owner.
const (
	previousOwnerPollInterval = 300 * time.Millisecond
	previousOwnerTimeout      = 400 * time.Millisecond // of one query: its VM responds once its loop has ended
)

// awaitPreviousOwner polls the VM of the previous owner until it reports that it has stopped
// making decisions, or until all leases that it granted have expired. The report shortens the
// wait for workers that do not respond.
func (o *Owner) awaitPreviousOwner(ctx context.Context, previous Record) {
	if previous.Address == "" {
		return
	}
	for end := o.opts.Clock() + o.opts.Dispatch.MaxInheritedLease; o.opts.Clock() < end; {
		queryCtx, cancel := context.WithTimeout(ctx, previousOwnerTimeout)
		at, ok := o.opts.PreviousOwner.PreviousOwnerStopped(queryCtx, previous, o.ownership.Fence)
		cancel()
		if ok {
			o.post(ctx, func(now time.Duration) {
				o.opts.Events.Record(event.PreviousOwnerStopped, previous.Node, previous.Address, now-at)
				o.dispatcher.PreviousOwnerStopped(at)
			})
			return
		}
		if !pause.For(ctx, previousOwnerPollInterval) {
			return
		}
	}
}

// StepDown ends this owner if its fencing token is lower than fence, and waits until it makes no
// more decisions. It reports whether that is the case; false if its token is not lower or ctx is
// done first.
func (o *Owner) StepDown(ctx context.Context, fence int64) bool {
	if o.ownership.Fence >= fence {
		return false
	}
	o.stepDownOnce.Do(func() { close(o.stepDown) })
	select {
	case <-o.decisionsStopped:
		return true
	case <-ctx.Done():
		return false
	}
}
