package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value the store takes.
const MaxValueBytes = 1 << 20

// Revision is the store's counter of changes; 0 stands for an absent key.
type Revision int64

// Entry is a key's value with the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Errors of the store. Callers test them with errors.Is.
var (
	// ErrNotFound says the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict says the key's revision was not the expected one: the write did not take effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable says the call had no effect: it was refused or never sent.
	ErrUnavailable = errors.New("store: unavailable, not executed")
	// ErrUncertain says the answer was lost: a write may have taken effect, now or later.
	ErrUncertain = errors.New("store: answer lost, may have taken effect")
)

// Store is the platform's key-value service. Each call is counted by the
// platform, a waiting watch as one. Methods are safe for concurrent use.
type Store interface {
	// Get returns the entry at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, by key. It counts as one read.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expected (0: the key
	// is absent) and returns the new revision.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Revision) (Revision, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits up to wait for changes under prefix after the revision and
	// returns the changed entries (possibly none) and the revision to go on from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
}
