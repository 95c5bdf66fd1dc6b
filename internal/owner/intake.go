package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// watchIntake watches submissions and cancellations after a revision. When the store has
// compacted the history, it lists all of them again.
func (o *Owner) watchIntake(ctx context.Context, after int64) {
	failing := false
	for ctx.Err() == nil {
		var items []fleet.Item
		var next int64
		var err error
		if !pause.WaitFor(ctx, o.ownership.storeAnswers.Next(), func() { items, next, err = o.readIntakeChanges(ctx, after) }) {
			continue // sent during an outage
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				o.opts.Events.Record(event.StoreCallFailed, "watch intake", err)
			}
			failing = true
			pause.For(ctx, watchRetryDelay)
			continue
		}
		if failing {
			failing = false
			o.opts.Events.Record(event.StoreCallRecovered, "watch intake")
		}
		after = max(next, after)
		if len(items) > 0 {
			o.post(ctx, func(now time.Duration) { o.applyIntake(now, items, nil) })
		}
	}
}

func (o *Owner) readIntakeChanges(ctx context.Context, after int64) ([]fleet.Item, int64, error) {
	ctx = fleet.WithResponseTimeout(ctx, watchTimeout)
	items, next, err := o.opts.Store.Watch(ctx, intakePrefix, after, watchWait)
	if errors.Is(err, fleet.ErrCompacted) {
		return o.opts.Store.List(ctx, intakePrefix)
	}
	return items, next, err
}
