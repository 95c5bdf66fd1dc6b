package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/fleet"
)

// ask runs f on the loop and waits for its result.
func ask[T any](ctx context.Context, o *Owner, f func(now time.Duration) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !o.mail.post(ctx, func(now time.Duration) { reply <- f(now) }) {
		return zero, ctx.Err()
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// State returns what callers are told of a submission.
func (o *Owner) State(ctx context.Context, id fleet.JobID) (fleet.State, error) {
	return ask(ctx, o, func(time.Duration) fleet.State { return o.dispatcher.State(id) })
}

// Waiting counts by queue the submissions of which no task has started.
func (o *Owner) Waiting(ctx context.Context) (map[string]int, error) {
	return ask(ctx, o, func(time.Duration) map[string]int { return o.dispatcher.WaitingByQueue() })
}

// SetConfiguration hands a newer configuration to the dispatcher.
func (o *Owner) SetConfiguration(ctx context.Context, c *fleet.Configuration) {
	o.post(ctx, func(time.Duration) { o.dispatcher.SetConfiguration(c) })
}

// SetWave hands an entry with the operators' request for a maintenance wave to the dispatcher.
func (o *Owner) SetWave(ctx context.Context, item fleet.Item) {
	if wave, ok := o.readWave(item); ok {
		o.post(ctx, func(now time.Duration) { o.dispatcher.SetWave(now, time.Now(), wave, nil) })
	}
}

// notifyTimeout bounds how long a notice waits for a loop that has ended.
const notifyTimeout = time.Second

// Notify hands over an item of the intake that its writer has just stored. An owner that has
// not heard the store for a moment leaves it to its watch: a successor that it does not know
// of would take the submission for its own.
func (o *Owner) Notify(ctx context.Context, item fleet.Item) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	o.post(ctx, func(now time.Duration) {
		if o.authority.Fresh(now) {
			o.take(now, []fleet.Item{item}, nil)
		}
	})
}

// Fence returns the owner's fencing token.
func (o *Owner) Fence() int64 { return o.authority.Fence }

// Authorized reports whether the owner's lease is surely held; what it knows may be old else.
func (o *Owner) Authorized() bool { return o.authority.Holds(o.opts.Clock()) }

// Ended is closed when the owner has stopped deciding.
func (o *Owner) Ended() <-chan struct{} { return o.ended }

// StoredState reads a submission's state from the store, for when no owner answers.
func StoredState(ctx context.Context, store fleet.Store, id fleet.JobID) (fleet.State, error) {
	item, found, _, err := store.Get(ctx, ProgressKey(id))
	if err != nil {
		return fleet.StateUnknown, err
	}
	if found {
		var p dispatch.Progress
		if err := cbor.Unmarshal(item.Value, &p); err != nil {
			return fleet.StateUnknown, errors.Wrap(err, "stored progress")
		}
		if p.State.Final() {
			return p.State, nil
		}
		return fleet.StateRunning, nil
	}
	if _, found, _, err = store.Get(ctx, JobKey(id)); err != nil || !found {
		return fleet.StateUnknown, err
	}
	return fleet.StatePending, nil
}
