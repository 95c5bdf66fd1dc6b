package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
	"filbertcross/platform/standin"
)

// cuttableStore is a store that can be made to reject the calls of one VM, except lease grants.
type cuttableStore struct {
	fleet.Store
	cut atomic.Bool
}

var errCut = &fleet.CallError{Op: "store", Status: http.StatusServiceUnavailable, Verdict: verdict.NotRun}

func (s *cuttableStore) Get(ctx context.Context, key string) (fleet.Item, bool, int64, error) {
	if s.cut.Load() {
		return fleet.Item{}, false, 0, errCut
	}
	return s.Store.Get(ctx, key)
}

func (s *cuttableStore) List(ctx context.Context, prefix string) ([]fleet.Item, int64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.Store.List(ctx, prefix)
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fleet.Item, int64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *cuttableStore) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	if s.cut.Load() {
		return 0, errCut
	}
	return s.Store.Commit(ctx, t)
}

func (s *cuttableStore) RenewLease(ctx context.Context, lease int64) error {
	if s.cut.Load() {
		return errCut
	}
	return s.Store.RenewLease(ctx, lease)
}

func (s *cuttableStore) RevokeLease(ctx context.Context, lease int64) error {
	if s.cut.Load() {
		return errCut
	}
	return s.Store.RevokeLease(ctx, lease)
}

// eventRecorder retains the names of the recorded events, and the reason of the last election.
type eventRecorder struct {
	mu       sync.Mutex
	recorded map[string]string
}

func (r *eventRecorder) Record(def *event.Definition, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded[def.Name] = ""
	if def == event.OwnerElected {
		r.recorded[def.Name], _ = values[1].(string)
	}
}

func (r *eventRecorder) get(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, ok := r.recorded[name]
	return text, ok
}

// The store rejects the owner's calls and serves the other VMs (platform_down nodes leader). The
// owner hands over before its lease expires, which took another 0.4 s in hoogvlucht-sched trouble-1.
func TestOwnerRejectedByStoreHandsOver(t *testing.T) {
	testPlatform := newTestPlatform(t, 2)
	stores, events := map[string]*cuttableStore{}, map[string]*eventRecorder{}
	change := func(name string) func(*Options) {
		return func(o *Options) {
			stores[name], events[name] = &cuttableStore{Store: o.Store}, &eventRecorder{recorded: map[string]string{}}
			o.Store, o.Owner.Store, o.Events, o.Owner.Events = stores[name], stores[name], events[name], events[name]
		}
	}
	first := startVM(t, testPlatform, "a", change("a"))
	eventually(t, "an owner", 5*time.Second, func() bool { return first.node.currentOwner.Load() != nil })
	second := startVM(t, testPlatform, "b", change("b"))
	eventually(t, "a follower", 5*time.Second, func() bool { _, ok := events["b"].get("owner-found"); return ok })
	c := newTestCaller(t, testPlatform)
	c.submit(second, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := testPlatform.Checker.Violations(); return n == 2 })
	stores["a"].cut.Store(true)
	eventually(t, "the other VM is the owner", 4*time.Second, func() bool { _, ok := events["b"].get("owner-elected"); return ok })
	if reason, _ := events["b"].get("owner-elected"); reason != "the owner handed over" {
		t.Fatalf("election reason %q, want the handover", reason)
	}
	eventually(t, "the first VM follows", 4*time.Second, func() bool { _, ok := events["a"].get("owner-found"); return ok })
	if violations, starts := testPlatform.Checker.Violations(); len(violations) > 0 || starts != 2 {
		t.Fatalf("violations %v, %d starts, want none and 2", violations, starts)
	}
}

// The store is down for all VMs (platform_down): none can take over, and the owner keeps the running
// tasks alive.
func TestOwnerKeepsOwnershipWhileStoreIsDownForAllVMs(t *testing.T) {
	testPlatform := newTestPlatform(t, 2)
	ownerVM, follower := ownerAndFollower(t, testPlatform)
	testPlatform.Store.SetFaults(standin.Faults{Unavailable: true})
	time.Sleep(time.Second)
	testPlatform.Store.SetFaults(standin.Faults{})
	if ownerVM.node.currentOwner.Load() == nil || follower.node.currentOwner.Load() != nil {
		t.Fatal("the owner changed although no VM reached the store")
	}
}

// loadingOwnerCaller responds like an owner that still loads the stored state for the given number
// of calls, then like an unreachable one.
type loadingOwnerCaller struct{ loadingReplies int }

func (u *loadingOwnerCaller) Call(_ context.Context, _ string, _ peer.Method, _, _ any) error {
	if u.loadingReplies--; u.loadingReplies >= 0 {
		return &peer.Error{Code: peer.CodeNotOwner, Verdict: verdict.NotRun}
	}
	return &peer.Error{Code: peer.CodeUnreachable}
}

// Followers call a new owner before it has loaded the stored state. They retry soon, as the owner's
// calls for placement advice need them (0.6 s after each election in hoogvlucht-sched trouble-1).
func TestFollowerRetriesWhileNewOwnerIsLoading(t *testing.T) {
	store := &countingStore{}
	caller := &loadingOwnerCaller{loadingReplies: 3}
	n := &Node{opts: Options{Store: store, PeerClient: caller, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{}, tally.NoopScope),
		storeReads: newReadSeries(sourceStore, event.Discard{}, tally.NoopScope), ownerReads: newReadSeries(sourceOwner, event.Discard{}, tally.NoopScope)}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.followRecordedOwner(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if caller.loadingReplies != -1 {
		t.Fatalf("follower stopped retrying %d calls too early", caller.loadingReplies+1)
	}
}

// hangingCaller never responds, like a VM without power.
type hangingCaller struct{}

func (hangingCaller) Call(ctx context.Context, _ string, _ peer.Method, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// changingStore returns a change of the owner key from every watch at once.
type changingStore struct{ countingStore }

func (s *changingStore) Watch(context.Context, string, int64, time.Duration) ([]fleet.Item, int64, error) {
	return []fleet.Item{{Key: owner.Key, Deleted: true}}, 8, nil
}

// The owner's VM disappears without closing its connections (replace_core leader, 2.1 s until the
// next owner): a call to it hangs although its key has already expired.
func TestFollowerOfLostOwnerDetectsKeyExpiry(t *testing.T) {
	n := &Node{opts: Options{Store: &changingStore{}, PeerClient: hangingCaller{}, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{}, tally.NoopScope),
		storeReads: newReadSeries(sourceStore, event.Discard{}, tally.NoopScope), ownerReads: newReadSeries(sourceOwner, event.Discard{}, tally.NoopScope), lostOwnerRevision: 7}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	n.followRecordedOwner(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if took := time.Since(start); took > attachTimeout/2 {
		t.Fatalf("follower polled a lost owner for %v although its key had expired", took)
	}
}

// blockingWatchStore blocks each watch for its full wait time even if its context is done, as the
// store client does.
type blockingWatchStore struct{ countingStore }

func (s *blockingWatchStore) Watch(_ context.Context, _ string, _ int64, wait time.Duration) ([]fleet.Item, int64, error) {
	time.Sleep(wait)
	return nil, 0, nil
}

// An owner hands over to a VM that watches for a change of the owner key
// (aulaplan-sofia-grown inc-7002: delayed by 0.4 s).
func TestHandoverInterruptsBlockedWatch(t *testing.T) {
	n := &Node{opts: Options{Store: &blockingWatchStore{}, Events: event.Discard{}}}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	start := time.Now()
	n.watchOwner(ctx, 7)
	if took := time.Since(start); took > ownerWatchTime/2 {
		t.Fatalf("the watch blocked the VM for %v", took)
	}
}

// The owner is told to stop while the store is down (salnorte-fc-grown trouble-2, roll_term and
// platform_down). No successor can be elected, so it keeps the leases of the workers renewed
// until the store is back; the running tasks survive.
func TestOwnerStoppedDuringStoreOutageKeepsTasksRunning(t *testing.T) {
	testPlatform := newTestPlatform(t, 2)
	owner, follower := ownerAndFollower(t, testPlatform, func(o *Options) { o.ShutdownGrace = 6 * time.Second })
	c := newTestCaller(t, testPlatform)
	c.submit(follower, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := testPlatform.Checker.Violations(); return n == 2 })
	testPlatform.Store.SetFaults(standin.Faults{Unresponsive: true})
	owner.stop()
	time.Sleep(4 * time.Second) // longer than the leases of the workers
	testPlatform.Store.SetFaults(standin.Faults{})
	eventually(t, "the follower is the owner", 4*time.Second, func() bool { return follower.node.currentOwner.Load() != nil })
	time.Sleep(time.Second)
	if _, starts := testPlatform.Checker.Violations(); starts != 2 {
		t.Fatalf("%d starts, want 2: the tasks must keep running", starts)
	}
}
