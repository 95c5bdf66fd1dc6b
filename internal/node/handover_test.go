package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
	"filbertcross/platform/standin"
)

// cutStore is a store that can be cut off from one VM, as a cut with refusals does.
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

// recorder keeps the names of events and the text of elections.
type eventRecorder struct {
	mu       sync.Mutex
	recorded map[string]string
}

func (r *eventRecorder) Record(def *event.Def, values ...any) {
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

// Pattern: the store turns the owner away and serves the others (platform_down nodes leader, 0.4 s
// of hoogvlucht-sched trouble-1 until the lease ran out). The owner hands over before.
func TestOwnerThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	site := newTestSite(t, 2)
	stores, events := map[string]*cuttableStore{}, map[string]*eventRecorder{}
	change := func(name string) func(*Options) {
		return func(o *Options) {
			stores[name], events[name] = &cuttableStore{Store: o.Store}, &eventRecorder{recorded: map[string]string{}}
			o.Store, o.Owner.Store, o.Events, o.Owner.Events = stores[name], stores[name], events[name], events[name]
		}
	}
	first := startVM(t, site, "a", change("a"))
	eventually(t, "an owner", 5*time.Second, func() bool { return first.node.currentOwner.Load() != nil })
	second := startVM(t, site, "b", change("b"))
	eventually(t, "a follower", 5*time.Second, func() bool { _, ok := events["b"].get("owner-found"); return ok })
	c := newTestCaller(t, site)
	c.submit(second, jobID(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Judge.Faults(); return n == 2 })
	stores["a"].cut.Store(true)
	eventually(t, "the other VM decides", 4*time.Second, func() bool { _, ok := events["b"].get("owner-elected"); return ok })
	if why, _ := events["b"].get("owner-elected"); why != "the owner handed over" {
		t.Fatalf("elected because %q, want a hand-over", why)
	}
	eventually(t, "the first VM follows", 4*time.Second, func() bool { _, ok := events["a"].get("owner-found"); return ok })
	if faults, starts := site.Judge.Faults(); len(faults) > 0 || starts != 2 {
		t.Fatalf("faults %v, %d starts of 2", faults, starts)
	}
}

// Pattern: the store is down for all (platform_down): nobody can take over, and the owner keeps
// what runs alive.
func TestOwnerKeepsItsTermWhenTheStoreAnswersNobody(t *testing.T) {
	site := newTestSite(t, 2)
	leader, other := ownerAndFollower(t, site)
	site.Store.SetFaults(standin.Faults{Down: true})
	time.Sleep(time.Second)
	site.Store.SetFaults(standin.Faults{})
	if leader.node.currentOwner.Load() == nil || other.node.currentOwner.Load() != nil {
		t.Fatal("the owner changed although no VM reached the store")
	}
}

// unready answers like an owner that was elected a moment ago, and then like one that decides.
type loadingOwnerCaller struct{ loadingReplies int }

func (u *loadingOwnerCaller) Call(_ context.Context, _ string, _ peer.Method, _, _ any) error {
	if u.loadingReplies--; u.loadingReplies >= 0 {
		return &peer.Error{Code: peer.CodeNotOwner, Verdict: verdict.NotRun}
	}
	return &peer.Error{Code: peer.CodeUnreachable}
}

// Pattern: followers reach a new owner before it has loaded what lasts, and its calls for advice
// need them (0.6 s after each election in hoogvlucht-sched trouble-1).
func TestFollowerAsksANewOwnerAgainSoon(t *testing.T) {
	store := &countingStore{}
	caller := &loadingOwnerCaller{loadingReplies: 3}
	n := &Node{opts: Options{Store: store, PeerClient: caller, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{})}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.followRecordedOwner(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if caller.loadingReplies != -1 {
		t.Fatalf("%d answers of a new owner were not waited for", caller.loadingReplies+1)
	}
}

// hanging never answers, like a VM without power.
type hangingCaller struct{}

func (hangingCaller) Call(ctx context.Context, _ string, _ peer.Method, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// changingStore reports a change of every key at once.
type changingStore struct{ countingStore }

func (s *changingStore) Watch(context.Context, string, int64, time.Duration) ([]fleet.Item, int64, error) {
	return []fleet.Item{{Key: owner.Key, Deleted: true}}, 8, nil
}

// Pattern: the owner's VM is gone without a sign (replace_core leader, 2.1 s until the next owner):
// a call to it hangs while its key has already lapsed.
func TestFollowerOfALostOwnerSeesItsKeyLapse(t *testing.T) {
	n := &Node{opts: Options{Store: &changingStore{}, PeerClient: hangingCaller{}, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{}), lostOwnerRevision: 7}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	n.followRecordedOwner(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if took := time.Since(begun); took > attachTimeout/2 {
		t.Fatalf("a lost owner is asked for %v while its key has lapsed", took)
	}
}

// waitingStore keeps a watch for as long as it lasts, whatever its context says, as the store's
// client does.
type blockingWatchStore struct{ countingStore }

func (s *blockingWatchStore) Watch(_ context.Context, _ string, _ int64, wait time.Duration) ([]fleet.Item, int64, error) {
	time.Sleep(wait)
	return nil, 0, nil
}

// Pattern: an owner hands over to a VM that waits for a change of its key
// (aulaplan-sofia-grown inc-7002: 0.4 s).
func TestHandOverInterruptsAWatchThatWaits(t *testing.T) {
	n := &Node{opts: Options{Store: &blockingWatchStore{}, Events: event.Discard{}}}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	begun := time.Now()
	n.watchOwner(ctx, 7)
	if took := time.Since(begun); took > ownerWatchTime/2 {
		t.Fatalf("the watch holds the VM up for %v", took)
	}
}
