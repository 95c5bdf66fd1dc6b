package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/pause"
)

// Timing of the handover by an owner that the store does not answer while it may answer other VMs.
const (
	maxRenewalSilence     = 900 * time.Millisecond // without a successful renewal; the lease would last another 0.4 s, and a slow store takes 0.4 s
	maxFailedRenewals     = 2                      // consecutive renewals that returned an error
	handoverCheckInterval = 100 * time.Millisecond
	handoverRetryDelay    = 300 * time.Millisecond // while no VM can take over because the store answers none
	findSuccessorTimeout  = 250 * time.Millisecond
	takeoverTimeout       = 400 * time.Millisecond
)

// SuccessorClient calls the VMs that could take over from this owner.
type SuccessorClient interface {
	// FindSuccessor returns the peer address of a VM that the store answers and that reads the
	// owner key with this revision there.
	FindSuccessor(ctx context.Context, keyRevision int64) (address string, ok bool)
	// RequestTakeover requests that the VM replaces the owner key with this revision. That owner
	// must have stopped making decisions.
	RequestTakeover(ctx context.Context, address string, keyRevision int64) error
}

// errHandedOver ends Run.
var errHandedOver = errors.New("owner: handed over")

// watchForHandover returns an error, which ends this owner, once the store does not answer it
// and another VM can take over.
func (o *Owner) watchForHandover(ctx context.Context) error {
	for pause.For(ctx, handoverCheckInterval) {
		if !o.ownership.storeUnresponsive() {
			continue
		}
		findCtx, cancel := context.WithTimeout(ctx, findSuccessorTimeout)
		address, ok := o.opts.Successor.FindSuccessor(findCtx, o.ownership.KeyRevision())
		cancel()
		if ok {
			o.successorAddress.Store(&address)
			return errors.Wrapf(errHandedOver, "the store answers %s but not this VM", address)
		}
		pause.For(ctx, handoverRetryDelay)
	}
	return nil
}

// resign gives up ownership: it requests the takeover by the successor that was found, or
// revokes the lease.
func (o *Owner) resign(ctx context.Context) {
	address := o.successorAddress.Load()
	if address == nil {
		o.ownership.release(ctx)
		return
	}
	o.ownership.heldUntil.Store(0)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	if err := o.opts.Successor.RequestTakeover(ctx, *address, o.ownership.KeyRevision()); err != nil {
		o.opts.Events.Record(event.HandoverFailed, *address, err) // the lease of the key expires
	}
}
