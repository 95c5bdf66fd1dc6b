package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/admission"
	"filbertcross/internal/dispatch"
	"filbertcross/internal/fleet"
)

// queryLoop runs f on the loop and returns its result, or the error of ctx if that is done first.
func queryLoop[T any](ctx context.Context, o *Owner, f func(now time.Duration) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !o.mailbox.post(ctx, func(now time.Duration) { reply <- f(now) }) {
		return zero, ctx.Err()
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// SubmissionStatus returns the status of a submission as callers see it.
func (o *Owner) SubmissionStatus(ctx context.Context, id fleet.JobID) (fleet.Status, error) {
	return queryLoop(ctx, o, func(time.Duration) fleet.Status { return o.dispatcher.Status(id) })
}

// Load is what the owner tells other VMs about its load.
type Load struct {
	QueueLengths map[string]int            // by queue, the number of submissions of which no task has started
	Overdue      map[admission.Stream]bool // see dispatch.Dispatcher.OverdueStreams
	HeldBytes    int64                     // of memory that the submissions take
}

// Load returns the current load.
func (o *Owner) Load(ctx context.Context) (Load, error) {
	return queryLoop(ctx, o, func(now time.Duration) Load {
		return Load{o.dispatcher.QueueLengths(), o.dispatcher.OverdueStreams(now), o.dispatcher.HeldBytes()}
	})
}

// SetConfiguration passes a newer configuration to the dispatcher.
func (o *Owner) SetConfiguration(ctx context.Context, c *fleet.Configuration) {
	o.post(ctx, func(time.Duration) { o.dispatcher.SetConfiguration(c) })
}

// SetWave passes the operators' entry for a maintenance wave to the dispatcher.
func (o *Owner) SetWave(ctx context.Context, item fleet.Item) {
	if wave, ok := o.readWave(item); ok {
		o.post(ctx, func(now time.Duration) { o.dispatcher.SetWave(now, time.Now(), wave, nil) })
	}
}

// notifyTimeout bounds how long a notification waits for a loop that has ended.
const notifyTimeout = time.Second

// NotifyStored passes an intake item that has just been stored to the dispatcher, ahead of the
// watch. If the store has not confirmed the lease recently, the item is left to the watch: a
// successor that this owner does not know of may already treat the submission as its own.
func (o *Owner) NotifyStored(ctx context.Context, item fleet.Item) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	o.post(ctx, func(now time.Duration) {
		if o.ownership.RecentlyConfirmed(now) {
			o.applyIntake(now, []fleet.Item{item}, nil)
		}
	})
}

// Fence returns the owner's fencing token.
func (o *Owner) Fence() int64 { return o.ownership.Fence }

// HoldsLease reports whether the owner's lease is known to be held; otherwise the owner's state
// may be stale.
func (o *Owner) HoldsLease() bool { return o.ownership.HeldAt(o.opts.Clock()) }

// KeyRevision returns the revision of the owner key that this owner wrote last.
func (o *Owner) KeyRevision() int64 { return o.ownership.KeyRevision() }

// Ended reports whether the owner makes no more decisions and answers no more queries.
func (o *Owner) Ended() bool {
	select {
	case <-o.decisionsStopped:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the owner has stopped making decisions and has given
// up ownership.
func (o *Owner) Done() <-chan struct{} { return o.done }

// StoredSubmissionStatus reads the status of a submission from the store, for use while no owner
// responds. Its state is fleet.StateUnknown if the submission is not stored.
func StoredSubmissionStatus(ctx context.Context, store fleet.Store, id fleet.JobID) (fleet.Status, error) {
	item, found, _, err := store.Get(ctx, ProgressKey(id))
	if err != nil {
		return fleet.Status{}, err
	}
	if found {
		var p dispatch.Progress
		if err := cbor.Unmarshal(item.Value, &p); err != nil {
			return fleet.Status{}, errors.Wrap(err, "decode stored progress")
		}
		status := fleet.Status{State: fleet.StateRunning, Account: p.Account}
		if p.State.Final() {
			status.State, status.Cause = p.State, p.FailureCause
		}
		return status, nil
	}
	item, found, _, err = store.Get(ctx, JobKey(id))
	if err != nil || !found {
		return fleet.Status{}, err
	}
	return fleet.Status{State: fleet.StatePending, Account: StoredAccount(item.Value)}, nil
}
