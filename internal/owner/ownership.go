package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
)

// Timing of the owner's lease in the store.
const (
	LeaseTTL            = 1500 * time.Millisecond // bounds how long nobody decides after an owner is lost without a trace
	renewInterval       = 300 * time.Millisecond  // three renewals may fail
	renewTimeout        = 900 * time.Millisecond  // a slow store takes about 400 ms; the next renewal does not wait for it
	leaseSafetyMargin   = 200 * time.Millisecond  // of the lease that is not used: late timers, and orders on their way
	confirmationMaxAge  = 500 * time.Millisecond  // a renewal and a half; shorter than it takes to elect a successor
	electionCallTimeout = 700 * time.Millisecond  // timeout of one store call
)

// Clock is a steady clock that also counts the time for which the machine was suspended.
type Clock func() time.Duration

// Authority is the right to decide: a key under a lease in the store. Its fencing token is
// the revision that created the key. Safe for concurrent use.
type Ownership struct {
	Fence          int64
	record         Record
	lease          int64
	ttl            time.Duration
	heldUntil      atomic.Int64 // clock reading up to which the lease is surely held
	lastConfirmed  atomic.Int64 // clock reading when the last answered call for the lease was sent
	storeLatency   atomic.Int64 // of the store's last answer to a renewal
	failedRenewals atomic.Int32 // renewals in a row
	store          fleet.Store
	clock          Clock
}

// ElectionTxn writes an owner's entry in place of the one with the revision.
func ElectionTxn(self Record, replace, lease int64) (fleet.Txn, error) {
	value, err := encoding.Marshal(self)
	return fleet.Txn{
		If:  []fleet.Condition{{Key: Key, Revision: replace}},
		Set: []fleet.Write{{Key: Key, Value: value, Lease: lease}},
	}, errors.Wrap(err, "owner record")
}

// ErrTaken says that another VM has the authority.
var ErrAlreadyOwned = errors.New("owner: another VM has the authority")

// Campaign tries to take the authority, for ttl at a time. replace is the revision of a key whose holder is
// proved dead; 0: the key has to be absent.
func Campaign(ctx context.Context, store fleet.Store, clock Clock, ttl time.Duration, self Record, replace int64) (*Ownership, error) {
	begun := clock()
	lease, err := callStore(ctx, func(ctx context.Context) (int64, error) { return store.GrantLease(ctx, ttl) })
	if err != nil {
		return nil, err
	}
	txn, err := ElectionTxn(self, replace, lease)
	if err != nil {
		return nil, err
	}
	a := &Ownership{record: self, lease: lease, ttl: ttl, store: store, clock: clock}
	a.heldUntil.Store(int64(begun + ttl - leaseSafetyMargin))
	a.lastConfirmed.Store(int64(begun))
	a.Fence, err = callStore(ctx, func(ctx context.Context) (int64, error) {
		return store.Commit(ctx, txn)
	})
	if err == nil {
		return a, nil
	}
	if !fleet.IsNotRun(err) { // the write may have taken effect
		item, found, getErr := getOwnerItem(ctx, store)
		if getErr == nil && found && item.Lease == lease {
			a.Fence = item.Revision
			return a, nil
		}
	}
	a.release(ctx)
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		return nil, ErrAlreadyOwned
	}
	return nil, err
}

func callStore[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	return f(ctx)
}

func getOwnerItem(ctx context.Context, store fleet.Store) (fleet.Item, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	item, found, _, err := store.Get(ctx, Key)
	return item, found, err
}

// Holds reports whether the lease is surely held at the clock reading.
func (a *Ownership) HeldAt(now time.Duration) bool { return int64(now) < a.heldUntil.Load() }

// Fresh reports whether the store answered for the lease a moment ago. A platform may take
// the key away without a sign; until then no successor can have been elected, which takes three
// calls of a store that is slow.
func (a *Ownership) RecentlyConfirmed(now time.Duration) bool {
	return now-time.Duration(a.lastConfirmed.Load()) < confirmationMaxAge+time.Duration(a.storeLatency.Load())
}

// struggling reports whether the store does not answer this VM.
func (a *Ownership) storeUnresponsive() bool {
	return a.failedRenewals.Load() >= maxFailedRenewals || a.clock()-time.Duration(a.lastConfirmed.Load()) > maxRenewalSilence
}

// Keep renews the lease until ctx is done or the lease has ended. An ended lease is an
// error; renewals that fail for other reasons are repeated. One that has no answer yet does not
// hold up the next.
func (a *Ownership) KeepAlive(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	ended := make(chan error, 1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return err
		case <-ticker.C:
			go func() {
				if err := a.renewLease(ctx); errors.Is(err, fleet.ErrLeaseEnded) {
					select {
					case ended <- err:
					default: // told already
					}
				}
			}()
		}
	}
}

func (a *Ownership) renewLease(ctx context.Context) error {
	sent := a.clock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := a.store.RenewLease(ctx, a.lease)
	if err != nil {
		a.failedRenewals.Add(1)
	} else {
		a.failedRenewals.Store(0)
		storeMax(&a.heldUntil, int64(sent+a.ttl-leaseSafetyMargin))
		storeMax(&a.lastConfirmed, int64(sent))
		a.storeLatency.Store(int64(a.clock() - sent))
	}
	return err
}

// raise stores a value unless a higher one is there.
func storeMax(into *atomic.Int64, value int64) {
	for old := into.Load(); value > old; old = into.Load() {
		if into.CompareAndSwap(old, value) {
			return
		}
	}
}

// release gives the authority up, so that a successor need not wait for the lease.
func (a *Ownership) release(ctx context.Context) {
	a.heldUntil.Store(0)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), electionCallTimeout)
	defer cancel()
	_ = a.store.RevokeLease(ctx, a.lease) // it ends by itself otherwise
}
