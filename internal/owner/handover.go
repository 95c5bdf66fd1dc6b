package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/pause"
)

// Timing of a hand-over by an owner that the store does not answer while others may reach it.
const (
	maxRenewalSilence     = 900 * time.Millisecond // without an answer to a renewal; the lease would last another 0.4 s, and a slow store takes 0.4 s
	maxFailedRenewals     = 2                      // renewals in a row that failed with an answer
	handoverCheckInterval = 100 * time.Millisecond
	handoverRetryDelay    = 300 * time.Millisecond // when no VM can take over: the store is down for all
	findSuccessorTimeout  = 250 * time.Millisecond
	takeoverTimeout       = 400 * time.Millisecond
)

// Successors are the VMs that could take over.
type SuccessorClient interface {
	// Find returns a VM that the store answers and that finds this owner's key there.
	FindSuccessor(ctx context.Context, fence int64) (address string, ok bool)
	// Elect tells the VM to replace the key of the owner with that fencing token, which decides
	// nothing any more.
	RequestTakeover(ctx context.Context, address string, fence int64) error
}

// errHandedOver ends Run.
var errHandedOver = errors.New("owner: handed over")

// handOver ends this owner once the store does not answer it and another VM can take over.
func (o *Owner) watchForHandover(ctx context.Context) error {
	for pause.For(ctx, handoverCheckInterval) {
		if !o.ownership.storeUnresponsive() {
			continue
		}
		find, cancel := context.WithTimeout(ctx, findSuccessorTimeout)
		address, ok := o.opts.Successor.FindSuccessor(find, o.ownership.Fence)
		cancel()
		if ok {
			o.successorAddress.Store(&address)
			return errors.Wrapf(errHandedOver, "the store does not answer this VM, and does answer %s", address)
		}
		pause.For(ctx, handoverRetryDelay)
	}
	return nil
}

// resign gives the authority up: to the successor that was found, or by freeing the key.
func (o *Owner) resign(ctx context.Context) {
	address := o.successorAddress.Load()
	if address == nil {
		o.ownership.release(ctx)
		return
	}
	o.ownership.heldUntil.Store(0)
	elect, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	if err := o.opts.Successor.RequestTakeover(elect, *address, o.ownership.Fence); err != nil {
		o.opts.Events.Record(event.HandOverFailed, *address, err) // the key's lease runs out
	}
}
