package owner

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// memoryStore is a store without leases that expire. Only Commit, Get, GrantLease and RevokeLease
// may be called.
type memoryStore struct {
	fleet.Store
	revision int64
	items    map[string]fleet.Item
}

func newMemoryStore() *memoryStore { return &memoryStore{items: map[string]fleet.Item{}} }

func (s *memoryStore) Get(_ context.Context, key string) (fleet.Item, bool, int64, error) {
	item, found := s.items[key]
	return item, found, s.revision, nil
}

func (s *memoryStore) Commit(_ context.Context, t fleet.Txn) (int64, error) {
	conflict := &fleet.ConflictError{}
	met := true
	for _, c := range t.If {
		if item, found := s.items[c.Key]; found {
			conflict.Current = append(conflict.Current, item)
		}
		met = met && s.items[c.Key].Revision == c.Revision
	}
	if !met {
		return 0, conflict
	}
	s.revision++
	for _, w := range t.Set {
		s.items[w.Key] = fleet.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}
	}
	return s.revision, nil
}

func (s *memoryStore) GrantLease(context.Context, time.Duration) (int64, error) {
	s.revision++
	return s.revision, nil
}

func (s *memoryStore) RevokeLease(_ context.Context, lease int64) error {
	for key, item := range s.items {
		if item.Lease == lease {
			delete(s.items, key)
		}
	}
	return nil
}

// writeWorkers stores a record of workers by the given owner and returns its revision.
func (s *memoryStore) writeWorkers(t *testing.T, by Record) int64 {
	t.Helper()
	value, err := encoding.Marshal(workersRecord{Owner: by})
	if err != nil {
		t.Fatal(err)
	}
	revision, err := s.Commit(context.Background(), fleet.Txn{Set: []fleet.Write{{Key: workersKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// electedOwner returns an owner that has written its record of workers.
func electedOwner(t *testing.T, store *memoryStore, record Record) *Owner {
	t.Helper()
	clock := func() time.Duration { return time.Hour }
	ownership, err := Campaign(context.Background(), store, clock, LeaseTTL, record, 0)
	if err != nil {
		t.Fatal(err)
	}
	o := New(Options{Events: event.Discard{}, Clock: clock, Scope: tally.NoopScope}, ownership)
	o.workersRevision.Store(store.writeWorkers(t, record))
	return o
}

var (
	firstVM  = Record{Node: "a", Address: "10.0.0.1:1", Incarnation: "i1"}
	secondVM = Record{Node: "b", Address: "10.0.0.2:1", Incarnation: "i2"}
)

func TestOwnerReacquiresKeyThatNobodyElseHasTaken(t *testing.T) {
	store := newMemoryStore()
	o := electedOwner(t, store, firstVM)
	fence := o.Fence()
	delete(store.items, Key) // the lease expired during an outage
	if err := o.reacquire(context.Background()); err != nil {
		t.Fatal(err)
	}
	if item := store.items[Key]; item.Revision != o.KeyRevision() || item.Revision <= fence || o.Fence() != fence || !o.HoldsLease() {
		t.Fatalf("key at revision %d, known as %d; fence %d, was %d; held %v", item.Revision, o.KeyRevision(), o.Fence(), fence, o.HoldsLease())
	}
}

// The response to the last write of the record of workers was lost before the lease expired.
func TestOwnerReacquiresKeyAfterLostResponseOfItsOwnRecord(t *testing.T) {
	store := newMemoryStore()
	o := electedOwner(t, store, firstVM)
	delete(store.items, Key)
	store.writeWorkers(t, firstVM)
	if err := o.reacquire(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against two VMs that act as owners in turn with the same state: another VM was elected, wrote
// its record of workers, may have started runs, and ended.
func TestOwnerDoesNotReacquireKeyAfterAnotherOwner(t *testing.T) {
	cases := map[string]func(*testing.T, *memoryStore){
		"that has ended": func(t *testing.T, store *memoryStore) { store.writeWorkers(t, secondVM) },
		"that holds the key": func(t *testing.T, store *memoryStore) {
			if _, err := Campaign(context.Background(), store, func() time.Duration { return 0 }, LeaseTTL, secondVM, 0); err != nil {
				t.Fatal(err)
			}
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			o := electedOwner(t, store, firstVM)
			delete(store.items, Key)
			act(t, store)
			if err := o.reacquire(context.Background()); !errors.Is(err, errOwnershipLost) || o.HoldsLease() {
				t.Fatalf("%v, held %v", err, o.HoldsLease())
			}
		})
	}
}

// An owner that has not written its record of workers cannot tell whether another one has.
func TestOwnerDoesNotReacquireKeyBeforeItsRecordIsWritten(t *testing.T) {
	store := newMemoryStore()
	o := electedOwner(t, store, firstVM)
	o.workersRevision.Store(0)
	delete(store.items, Key)
	if err := o.reacquire(context.Background()); !errors.Is(err, errOwnershipLost) {
		t.Fatal(err)
	}
}

// Guards against a start by a process that was paused between its decision and the call.
func TestStartIsNotSentAfterItsPermissionHasEnded(t *testing.T) {
	o := electedOwner(t, newMemoryStore(), firstVM)
	now := o.opts.Clock()
	o.ownership.heldUntil.Store(int64(now))
	for _, c := range []struct {
		until time.Duration
		want  bool
	}{{0, false}, {now + time.Millisecond, true}, {now, false}} {
		if got := o.maySendStart(now, dispatch.StartCommand{SuspendedUntil: c.until}); got != c.want {
			t.Errorf("suspended until %v, at %v: %v, want %v", c.until, now, got, c.want)
		}
	}
	close(o.decisionsStopped)
	if o.maySendStart(now, dispatch.StartCommand{SuspendedUntil: now + time.Millisecond}) {
		t.Error("sent after the owner has stopped")
	}
}

// Guards against an owner that acts although its key is gone: the lease is alive, and a renewal in
// flight succeeds after a write has found the key absent.
func TestRenewalDoesNotRestoreAuthorityWithoutTheKey(t *testing.T) {
	o := electedOwner(t, newMemoryStore(), firstVM)
	o.ownership.reportKeyMissing()
	o.ownership.confirm(o.opts.Clock())
	if o.HoldsLease() {
		t.Fatal("the owner has authority without its key")
	}
}
