package owner

import (
	"context"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/pause"
)

// Timing of the question to an earlier owner.
const (
	previousOwnerPollInterval = 300 * time.Millisecond
	previousOwnerTimeout      = 400 * time.Millisecond // of one question: its VM answers once its loop has ended
)

// settlePredecessor asks the VM of the earlier owner until it says that it decides no more, or
// everything that it granted has run out anyway. The answer shortens the wait for workers that
// cannot be heard.
func (o *Owner) awaitPreviousOwner(ctx context.Context, earlier Record) {
	if earlier.Address == "" {
		return
	}
	for end := o.opts.Clock() + o.opts.Dispatch.GrantBound; o.opts.Clock() < end; {
		ask, cancel := context.WithTimeout(ctx, previousOwnerTimeout)
		at, ok := o.opts.PreviousOwner.PreviousOwnerStopped(ask, earlier, o.ownership.Fence)
		cancel()
		if ok {
			o.post(ctx, func(now time.Duration) {
				o.opts.Events.Record(event.PredecessorEnded, earlier.Node, earlier.Address, now-at)
				o.dispatcher.PredecessorEnded(at)
			})
			return
		}
		if !pause.For(ctx, previousOwnerPollInterval) {
			return
		}
	}
}

// StandDown ends an owner whose fencing token is lower, and waits until it decides nothing. It
// reports whether that is so.
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
