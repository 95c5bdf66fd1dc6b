package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

// Revision is a value of the store's change counter; 0 stands for an absent key.
type Revision int64

// Entry is a key, its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Errors of the store, to be tested with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision was not the expected one. The write did
	// not take effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the call was rejected or never sent. A write did not take
	// effect.
	ErrUnavailable = errors.New("store: unavailable, not executed")
	// ErrUncertain means that the response was lost. A write may have taken effect or may
	// still take effect.
	ErrUncertain = errors.New("store: answer lost, may have taken effect")
)

// Store is the platform's key-value service. The platform counts calls; a waiting
// Watch counts as one. Methods are safe for concurrent use.
type Store interface {
	// Get returns the entry at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, ordered by key. It counts as
	// one read.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision equals expected (0: the key is
	// absent) and returns the new revision. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Delete deletes the key if its revision equals expected. Otherwise it returns
	// ErrConflict or ErrNotFound.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits up to wait for changes of keys with the prefix after the revision. It
	// returns the changed entries, possibly none, and the revision to pass to the next
	// call.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
}
