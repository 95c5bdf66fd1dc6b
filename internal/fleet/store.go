package fleet

import (
	"context"
	"time"
)

// Item is a key of the store and its value.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64 // of its last change
	CreateRevision int64 // revision at which the key was created
	Lease          int64 // 0: none
	Deleted        bool  // set only in watch events
}

// Condition holds if the key was last changed at Revision; 0: if the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets one key.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is an atomic transaction: Set and Remove are applied if all conditions of If hold.
type Txn struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTxnEntries bounds the total of conditions, writes and removals in one Txn; the
// store's API sets this limit.
const MaxTxnEntries = 32

type responseTimeoutKey struct{}

// WithResponseTimeout returns a context that limits how long a call waits for the first byte of each
// response. In contrast to a deadline it limits neither the number of the pages of a list nor the
// time that a response of any size takes to arrive.
func WithResponseTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, responseTimeoutKey{}, d)
}

// ResponseTimeout returns the duration set by WithResponseTimeout, or defaultTimeout.
func ResponseTimeout(ctx context.Context, defaultTimeout time.Duration) time.Duration {
	if d, ok := ctx.Value(responseTimeoutKey{}).(time.Duration); ok {
		return d
	}
	return defaultTimeout
}

// Store is the platform's metadata store. Errors are *CallError unless stated otherwise; the
// verdict tells whether a write may have taken effect. The deadline of a context limits the wait for
// the first byte of a response; a response that is arriving is read to its end unless it stalls.
// Safe for concurrent use.
type Store interface {
	// Get returns the item, whether the key exists, and the store's revision.
	Get(ctx context.Context, key string) (Item, bool, int64, error)
	// List returns all items under the prefix and the revision of the first page. The pages
	// are not one snapshot, but a watch from this revision misses no change.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes after a revision and the revision from which to continue. It
	// blocks for at most wait. ErrCompacted: the store no longer has these revisions.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit applies the transaction and returns its revision. *ConflictError: a condition was not met.
	Commit(ctx context.Context, t Txn) (int64, error)
	// GrantLease creates a lease and returns its id.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease extends the lease. ErrLeaseEnded: the lease no longer exists.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
