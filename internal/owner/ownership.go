package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// Timing of the owner's lease in the store.
const (
	LeaseTTL            = 1500 * time.Millisecond // bounds the time without an owner after the owner's VM fails silently
	renewInterval       = 300 * time.Millisecond  // three consecutive renewals may fail
	renewRetryInterval  = 100 * time.Millisecond  // after longer than renewInterval without a confirmation
	renewTimeout        = 900 * time.Millisecond  // a slow store takes about 400 ms; the next renewal does not wait for this one
	leaseSafetyMargin   = 200 * time.Millisecond  // unused end of the lease: covers late timers and commands in flight
	confirmationMaxAge  = 500 * time.Millisecond  // one and a half renewal intervals; shorter than the election of a successor
	electionCallTimeout = 700 * time.Millisecond  // of one store call
)

// Clock is a monotonic clock that also counts the time while the machine was suspended.
type Clock func() time.Duration

// Ownership is the right to schedule, held as a key under a lease in the store. It is safe for
// concurrent use.
type Ownership struct {
	// Fence is the fencing token: the revision that created the key when this VM was elected. It does
	// not change when the key is reacquired.
	Fence          int64
	keyRevision    atomic.Int64 // of the key; Fence until it is reacquired
	record         Record
	lease          atomic.Int64
	ttl            time.Duration
	heldUntil      atomic.Int64 // clock reading until which the lease is known to be held
	lastConfirmed  atomic.Int64 // clock reading when the last successful lease call was sent
	storeLatency   atomic.Int64 // of the last successful renewal, in nanoseconds
	failedRenewals atomic.Int32 // consecutive
	// lost is set from the moment the key is known to be gone until it is reacquired. A renewal that
	// succeeds meanwhile does not restore the authority.
	lost         atomic.Bool
	keyMissing   chan struct{} // signals that a write found the key absent
	storeAnswers pause.Signal  // when a lease call succeeds again after an outage
	store        fleet.Store
	clock        Clock
}

// ElectionTxn returns the transaction that writes an owner record under the lease. It replaces
// the owner key with the given revision; 0 requires that the key is absent.
func ElectionTxn(record Record, replace, lease int64) (fleet.Txn, error) {
	value, err := encoding.Marshal(record)
	return fleet.Txn{
		If:  []fleet.Condition{{Key: Key, Revision: replace}},
		Set: []fleet.Write{{Key: Key, Value: value, Lease: lease}},
	}, errors.Wrap(err, "encode owner record")
}

// ErrAlreadyOwned reports that another VM is the owner.
var ErrAlreadyOwned = errors.New("owner: another VM is the owner")

// Campaign tries to acquire ownership with a lease of the given TTL. replace is the revision of
// a key whose holder is known to be dead or to have stopped; 0 requires that the key is absent.
// It returns ErrAlreadyOwned if another VM was elected.
func Campaign(ctx context.Context, store fleet.Store, clock Clock, ttl time.Duration, record Record, replace int64) (*Ownership, error) {
	sent := clock()
	lease, err := callStore(ctx, func(ctx context.Context) (int64, error) { return store.GrantLease(ctx, ttl) })
	if err != nil {
		return nil, err
	}
	txn, err := ElectionTxn(record, replace, lease)
	if err != nil {
		return nil, err
	}
	o := &Ownership{record: record, ttl: ttl, store: store, clock: clock, keyMissing: make(chan struct{}, 1)}
	o.lease.Store(lease)
	o.confirm(sent)
	o.Fence, err = callStore(ctx, func(ctx context.Context) (int64, error) {
		return store.Commit(ctx, txn)
	})
	o.keyRevision.Store(o.Fence)
	if err == nil {
		return o, nil
	}
	if !fleet.IsNotRun(err) { // unknown outcome: the write may have taken effect
		item, found, getErr := getOwnerItem(ctx, store)
		if getErr == nil && found && item.Lease == lease {
			o.Fence = item.Revision
			o.keyRevision.Store(o.Fence)
			return o, nil
		}
	}
	o.release(ctx)
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		return nil, ErrAlreadyOwned
	}
	return nil, err
}

// confirm records that the lease was granted or renewed by a call sent at the given clock reading.
func (o *Ownership) confirm(sent time.Duration) {
	answersAgain := !o.HeldAt(o.clock())
	storeMax(&o.heldUntil, int64(sent+o.ttl-leaseSafetyMargin))
	storeMax(&o.lastConfirmed, int64(sent))
	o.failedRenewals.Store(0)
	if answersAgain {
		o.storeAnswers.Broadcast()
	}
}

// silent reports whether the store has not answered the renewals that were due before now.
func (o *Ownership) silent(now time.Duration) bool {
	return now-time.Duration(o.lastConfirmed.Load()) > renewInterval+renewRetryInterval
}

// KeyRevision returns the revision of the owner key.
func (o *Ownership) KeyRevision() int64 { return o.keyRevision.Load() }

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

// HeldAt reports whether the lease is known to be held at the clock reading now.
func (o *Ownership) HeldAt(now time.Duration) bool {
	return int64(now) < o.heldUntil.Load() && !o.lost.Load()
}

// RecentlyConfirmed reports whether the store confirmed the lease so recently that no successor
// can have been elected. The platform may delete the key without notice, and an election takes
// three store calls, which take longer while the store is slow.
func (o *Ownership) RecentlyConfirmed(now time.Duration) bool {
	return now-time.Duration(o.lastConfirmed.Load()) < confirmationMaxAge+time.Duration(o.storeLatency.Load())
}

// storeUnresponsive reports whether the store does not answer this VM.
func (o *Ownership) storeUnresponsive() bool {
	return o.failedRenewals.Load() >= maxFailedRenewals || o.clock()-time.Duration(o.lastConfirmed.Load()) > maxRenewalSilence
}

// KeepAlive renews the lease until ctx is done. Renewals that fail are retried; one in flight does
// not delay the next. When the lease has ended or a write has found the key absent, it calls
// reacquire, and returns its error.
func (o *Ownership) KeepAlive(ctx context.Context, reacquire func(context.Context) error) error {
	ticker := time.NewTicker(renewRetryInterval)
	defer ticker.Stop()
	ended := make(chan int64, 1) // the lease
	lastSent := o.clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case lease := <-ended:
			if lease != o.lease.Load() {
				continue // a late response: it has been replaced
			}
			if err := reacquire(ctx); err != nil {
				return err
			}
		case <-o.keyMissing:
			if err := reacquire(ctx); err != nil {
				return err
			}
		case <-ticker.C:
			now := o.clock()
			if now-lastSent < renewInterval && !o.silent(now) {
				continue
			}
			lastSent = now
			go func() {
				lease := o.lease.Load()
				if err := o.renewLease(ctx, lease); errors.Is(err, fleet.ErrLeaseEnded) {
					select {
					case ended <- lease:
					default: // already reported
					}
				}
			}()
		}
	}
}

// reportKeyMissing makes KeepAlive reacquire the key.
func (o *Ownership) reportKeyMissing() {
	o.lost.Store(true)
	select {
	case o.keyMissing <- struct{}{}:
	default: // already reported
	}
}

func (o *Ownership) renewLease(ctx context.Context, lease int64) error {
	sent := o.clock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := o.store.RenewLease(ctx, lease)
	switch {
	case lease != o.lease.Load(): // it has been replaced
	case err != nil:
		o.failedRenewals.Add(1)
	default:
		o.confirm(sent)
		o.storeLatency.Store(int64(o.clock() - sent))
	}
	return err
}

// storeMax stores value unless the target already has a higher one.
func storeMax(target *atomic.Int64, value int64) {
	for old := target.Load(); value > old; old = target.Load() {
		if target.CompareAndSwap(old, value) {
			return
		}
	}
}

// release revokes the lease, so that a successor does not wait for its expiry.
func (o *Ownership) release(ctx context.Context) {
	o.heldUntil.Store(0)
	o.revoke(ctx, o.lease.Load())
}

func (o *Ownership) revoke(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), electionCallTimeout)
	defer cancel()
	_ = o.store.RevokeLease(ctx, lease) // on failure the lease expires
}
