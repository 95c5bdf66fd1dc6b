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
	LeaseTTL      = 1500 * time.Millisecond // bounds how long nobody decides after an owner is lost without a trace
	renewEvery    = 300 * time.Millisecond  // three renewals may fail
	renewTimeout  = 900 * time.Millisecond  // a slow store takes about 400 ms; the next renewal does not wait for it
	safetyMargin  = 200 * time.Millisecond  // of the lease that is not used: late timers, and orders on their way
	freshFor      = 500 * time.Millisecond  // a renewal and a half; shorter than it takes to elect a successor
	campaignCalls = 700 * time.Millisecond  // timeout of one store call
)

// Clock is a steady clock that also counts the time for which the machine was suspended.
type Clock func() time.Duration

// Authority is the right to decide: a key under a lease in the store. Its fencing token is
// the revision that created the key. Safe for concurrent use.
type Ownership struct {
	Fence   int64
	self    Record
	lease   int64
	ttl     time.Duration
	until   atomic.Int64 // clock reading up to which the lease is surely held
	heard   atomic.Int64 // clock reading when the last answered call for the lease was sent
	latency atomic.Int64 // of the store's last answer to a renewal
	failed  atomic.Int32 // renewals in a row
	store   fleet.Store
	clock   Clock
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
	lease, err := call(ctx, func(ctx context.Context) (int64, error) { return store.GrantLease(ctx, ttl) })
	if err != nil {
		return nil, err
	}
	txn, err := ElectionTxn(self, replace, lease)
	if err != nil {
		return nil, err
	}
	a := &Ownership{self: self, lease: lease, ttl: ttl, store: store, clock: clock}
	a.until.Store(int64(begun + ttl - safetyMargin))
	a.heard.Store(int64(begun))
	a.Fence, err = call(ctx, func(ctx context.Context) (int64, error) {
		return store.Commit(ctx, txn)
	})
	if err == nil {
		return a, nil
	}
	if !fleet.IsNotRun(err) { // the write may have taken effect
		item, found, getErr := getOwner(ctx, store)
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

func call[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, campaignCalls)
	defer cancel()
	return f(ctx)
}

func getOwner(ctx context.Context, store fleet.Store) (fleet.Item, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, campaignCalls)
	defer cancel()
	item, found, _, err := store.Get(ctx, Key)
	return item, found, err
}

// Holds reports whether the lease is surely held at the clock reading.
func (a *Ownership) HeldAt(now time.Duration) bool { return int64(now) < a.until.Load() }

// Fresh reports whether the store answered for the lease a moment ago. A platform may take
// the key away without a sign; until then no successor can have been elected, which takes three
// calls of a store that is slow.
func (a *Ownership) RecentlyConfirmed(now time.Duration) bool {
	return now-time.Duration(a.heard.Load()) < freshFor+time.Duration(a.latency.Load())
}

// struggling reports whether the store does not answer this VM.
func (a *Ownership) struggling() bool {
	return a.failed.Load() >= failureLimit || a.clock()-time.Duration(a.heard.Load()) > silenceLimit
}

// Keep renews the lease until ctx is done or the lease has ended. An ended lease is an
// error; renewals that fail for other reasons are repeated. One that has no answer yet does not
// hold up the next.
func (a *Ownership) KeepAlive(ctx context.Context) error {
	ticker := time.NewTicker(renewEvery)
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
				if err := a.renew(ctx); errors.Is(err, fleet.ErrLeaseEnded) {
					select {
					case ended <- err:
					default: // told already
					}
				}
			}()
		}
	}
}

func (a *Ownership) renew(ctx context.Context) error {
	sent := a.clock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := a.store.RenewLease(ctx, a.lease)
	if err != nil {
		a.failed.Add(1)
	} else {
		a.failed.Store(0)
		raise(&a.until, int64(sent+a.ttl-safetyMargin))
		raise(&a.heard, int64(sent))
		a.latency.Store(int64(a.clock() - sent))
	}
	return err
}

// raise stores a value unless a higher one is there.
func raise(into *atomic.Int64, value int64) {
	for old := into.Load(); value > old; old = into.Load() {
		if into.CompareAndSwap(old, value) {
			return
		}
	}
}

// release gives the authority up, so that a successor need not wait for the lease.
func (a *Ownership) release(ctx context.Context) {
	a.until.Store(0)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), campaignCalls)
	defer cancel()
	_ = a.store.RevokeLease(ctx, a.lease) // it ends by itself otherwise
}
