package fleet

import (
	"context"
	"time"
)

// Item is a key of the store with its value.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64 // of its last change
	CreateRevision int64 // revision of its creation
	Lease          int64 // 0: none
	Deleted        bool  // in events only
}

// Condition is met while the key's last change has the revision; 0: the key is absent.
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

// Txn is applied whole or not at all.
type Txn struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTxnEntries bounds conditions, writes and removals of one Txn together; the
// store's page states it.
const MaxTxnEntries = 32

// Store is the platform's metadata store. Errors are *CallError; its verdict says
// whether a write may have taken effect. Safe for concurrent use.
type Store interface {
	// Get returns the item, or false, and the store's revision.
	Get(ctx context.Context, key string) (Item, bool, int64, error)
	// List returns all items under the prefix and the revision of its first page: a watch
	// from there misses nothing, although the pages are not one snapshot.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes after a revision, at latest after wait, and the revision
	// to go on from. ErrCompacted says that this history is gone.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit applies the transaction and returns its revision, or *ConflictError.
	Commit(ctx context.Context, t Txn) (int64, error)
	// GrantLease opens a lease; Renew extends it; Revoke ends it and removes its keys.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	RenewLease(ctx context.Context, lease int64) error
	RevokeLease(ctx context.Context, lease int64) error
}
