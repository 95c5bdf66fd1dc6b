package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// An owner whose lease ended during an outage of the store takes its key again instead of giving
// up its state, so that nothing has to be loaded and no worker has to report before work goes on.
//
// It may do so if no other VM has acted as the owner meanwhile. Every owner replaces the record
// of workers together with its first other write, and before it starts a run or grants a lease. So
// the key is written on condition that it is absent and that the record of workers is the one that
// this owner wrote. The fencing token stays that of the election: a VM that was elected in between and
// has only fenced workers makes them reject it, which ends this owner as any successor does.

const reacquireRetryDelay = 50 * time.Millisecond

// reacquire takes the owner key again after it was lost, until it succeeds or another VM has
// acted as the owner.
func (o *Owner) reacquire(ctx context.Context) error {
	lostAt := o.opts.Clock()
	o.ownership.lost.Store(true)
	for {
		revision := o.workersRevision.Load()
		if revision == 0 {
			return errors.Wrap(errOwnershipLost, "the lease ended before the record of workers was written")
		}
		err := o.ownership.reacquire(ctx, revision)
		var conflict *fleet.ConflictError
		switch {
		case err == nil:
			revision := o.ownership.KeyRevision()
			o.opts.Events.Record(event.OwnerKeyReacquired, o.ownership.Fence, revision, o.opts.Clock()-lostAt)
			o.post(ctx, func(time.Duration) { o.dispatcher.ProveOwnership(revision) })
			return nil
		case errors.As(err, &conflict):
			own, ok := o.ownWorkersRevision(conflict)
			if !ok {
				return errors.Wrap(errOwnershipLost, "another VM has become the owner")
			}
			o.workersRevision.CompareAndSwap(revision, own)
		}
		if !pause.For(ctx, reacquireRetryDelay) {
			return ctx.Err()
		}
	}
}

// ownWorkersRevision returns the revision of the record of workers if the conflict shows that only
// this owner has written it, by a write whose response was lost.
func (o *Owner) ownWorkersRevision(conflict *fleet.ConflictError) (int64, bool) {
	var own int64
	for _, item := range conflict.Current {
		var record workersRecord
		switch {
		case item.Revision == 0: // absent
		case item.Key == Key:
			return 0, false
		case item.Key == workersKey && cbor.Unmarshal(item.Value, &record) == nil && record.Owner == o.ownership.record:
			own = item.Revision
		}
	}
	return own, own != 0
}

// reacquire writes the owner key under a new lease, on condition that it is absent and that the
// record of workers has the given revision. It returns a *fleet.ConflictError otherwise.
func (o *Ownership) reacquire(ctx context.Context, workersRevision int64) error {
	sent := o.clock()
	lease, err := callStore(ctx, func(ctx context.Context) (int64, error) { return o.store.GrantLease(ctx, o.ttl) })
	if err != nil {
		return err
	}
	txn, err := ElectionTxn(o.record, 0, lease)
	if err != nil {
		return err
	}
	txn.If = append(txn.If, fleet.Condition{Key: workersKey, Revision: workersRevision})
	revision, err := callStore(ctx, func(ctx context.Context) (int64, error) { return o.store.Commit(ctx, txn) })
	if err != nil && !fleet.IsNotRun(err) { // unknown outcome: the write may have taken effect
		item, found, getErr := getOwnerItem(ctx, o.store)
		if getErr == nil && found && item.Lease == lease {
			revision, err = item.Revision, nil
		}
	}
	if err != nil {
		o.revoke(ctx, lease)
		return err
	}
	o.keyRevision.Store(revision)
	o.lease.Store(lease)
	o.confirm(sent)
	o.lost.Store(false)
	return nil
}
