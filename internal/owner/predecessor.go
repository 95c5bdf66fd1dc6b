package owner

import (
	"context"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/pause"
)

// Timing of the question to an earlier owner.
const (
	askEarlier  = 300 * time.Millisecond
	earlierTime = 400 * time.Millisecond // of one question: its VM answers once its loop has ended
)

// settlePredecessor asks the VM of the earlier owner until it says that it decides no more, or
// everything that it granted has run out anyway. The answer shortens the wait for workers that
// cannot be heard.
func (o *Owner) settlePredecessor(ctx context.Context, earlier Record) {
	if earlier.Address == "" {
		return
	}
	for end := o.opts.Clock() + o.opts.Dispatch.MaxInheritedLease; o.opts.Clock() < end; {
		ask, cancel := context.WithTimeout(ctx, earlierTime)
		at, ok := o.opts.Earlier.Ended(ask, earlier, o.authority.Fence)
		cancel()
		if ok {
			o.post(ctx, func(now time.Duration) {
				o.opts.Events.Record(event.PredecessorEnded, earlier.Node, earlier.Address, now-at)
				o.dispatcher.PreviousOwnerEnded(at)
			})
			return
		}
		if !pause.For(ctx, askEarlier) {
			return
		}
	}
}

// StandDown ends an owner whose fencing token is lower, and waits until it decides nothing. It
// reports whether that is so.
func (o *Owner) StandDown(ctx context.Context, fence int64) bool {
	if o.authority.Fence >= fence {
		return false
	}
	o.standOnce.Do(func() { close(o.standDown) })
	select {
	case <-o.decided:
		return true
	case <-ctx.Done():
		return false
	}
}
