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
type cutStore struct {
	fleet.Store
	cut atomic.Bool
}

var errCut = &fleet.CallError{Op: "store", Status: http.StatusServiceUnavailable, Verdict: verdict.NotRun}

func (s *cutStore) Get(ctx context.Context, key string) (fleet.Item, bool, int64, error) {
	if s.cut.Load() {
		return fleet.Item{}, false, 0, errCut
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]fleet.Item, int64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fleet.Item, int64, error) {
	if s.cut.Load() {
		return nil, 0, errCut
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *cutStore) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	if s.cut.Load() {
		return 0, errCut
	}
	return s.Store.Commit(ctx, t)
}

func (s *cutStore) RenewLease(ctx context.Context, lease int64) error {
	if s.cut.Load() {
		return errCut
	}
	return s.Store.RenewLease(ctx, lease)
}

func (s *cutStore) RevokeLease(ctx context.Context, lease int64) error {
	if s.cut.Load() {
		return errCut
	}
	return s.Store.RevokeLease(ctx, lease)
}

// recorder keeps the names of events and the text of elections.
type recorder struct {
	mu   sync.Mutex
	seen map[string]string
}

func (r *recorder) Record(def *event.Def, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[def.Name] = ""
	if def == event.OwnerElected {
		r.seen[def.Name], _ = values[1].(string)
	}
}

func (r *recorder) get(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, ok := r.seen[name]
	return text, ok
}

// Pattern: the store turns the owner away and serves the others (platform_down nodes leader, 0.4 s
// of hoogvlucht-sched trouble-1 until the lease ran out). The owner hands over before.
func TestOwnerThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	site := newSite(t, 2)
	stores, events := map[string]*cutStore{}, map[string]*recorder{}
	change := func(name string) func(*Options) {
		return func(o *Options) {
			stores[name], events[name] = &cutStore{Store: o.Store}, &recorder{seen: map[string]string{}}
			o.Store, o.Owner.Store, o.Events, o.Owner.Events = stores[name], stores[name], events[name], events[name]
		}
	}
	first := startVM(t, site, "a", change("a"))
	eventually(t, "an owner", 5*time.Second, func() bool { return first.node.current.Load() != nil })
	second := startVM(t, site, "b", change("b"))
	eventually(t, "a follower", 5*time.Second, func() bool { _, ok := events["b"].get("owner-found"); return ok })
	c := newCaller(t, site)
	c.submit(second, id(1), "lasts")
	eventually(t, "the tasks run", 5*time.Second, func() bool { _, n := site.Checker.Violations(); return n == 2 })
	stores["a"].cut.Store(true)
	eventually(t, "the other VM decides", 4*time.Second, func() bool { _, ok := events["b"].get("owner-elected"); return ok })
	if why, _ := events["b"].get("owner-elected"); why != "the owner handed over" {
		t.Fatalf("elected because %q, want a hand-over", why)
	}
	eventually(t, "the first VM follows", 4*time.Second, func() bool { _, ok := events["a"].get("owner-found"); return ok })
	if faults, starts := site.Checker.Violations(); len(faults) > 0 || starts != 2 {
		t.Fatalf("faults %v, %d starts of 2", faults, starts)
	}
}

// Pattern: the store is down for all (platform_down): nobody can take over, and the owner keeps
// what runs alive.
func TestOwnerKeepsItsTermWhenTheStoreAnswersNobody(t *testing.T) {
	site := newSite(t, 2)
	leader, other := ownerAndFollower(t, site)
	site.Store.SetFaults(standin.Faults{Unavailable: true})
	time.Sleep(time.Second)
	site.Store.SetFaults(standin.Faults{})
	if leader.node.current.Load() == nil || other.node.current.Load() != nil {
		t.Fatal("the owner changed although no VM reached the store")
	}
}

// unready answers like an owner that was elected a moment ago, and then like one that decides.
type unready struct{ left int }

func (u *unready) Call(_ context.Context, _ string, _ peer.Method, _, _ any) error {
	if u.left--; u.left >= 0 {
		return &peer.Error{Code: peer.CodeNotOwner, Verdict: verdict.NotRun}
	}
	return &peer.Error{Code: peer.CodeUnreachable}
}

// Pattern: followers reach a new owner before it has loaded what lasts, and its calls for advice
// need them (0.6 s after each election in hoogvlucht-sched trouble-1).
func TestFollowerAsksANewOwnerAgainSoon(t *testing.T) {
	store := &countingStore{}
	caller := &unready{left: 3}
	n := &Node{opts: Options{Store: store, Caller: caller, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configs: newConfigurations(nil, event.Discard{})}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.followItem(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if caller.left != -1 {
		t.Fatalf("%d answers of a new owner were not waited for", caller.left+1)
	}
}

// hanging never answers, like a VM without power.
type hanging struct{}

func (hanging) Call(ctx context.Context, _ string, _ peer.Method, _, _ any) error {
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
	n := &Node{opts: Options{Store: &changingStore{}, Caller: hanging{}, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configs: newConfigurations(nil, event.Discard{}), lostKey: 7}
	txn, err := owner.ElectionTxn(owner.Record{Address: "127.0.0.1:9"}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	n.followItem(context.Background(), fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7})
	if took := time.Since(begun); took > attachTimeout/2 {
		t.Fatalf("a lost owner is asked for %v while its key has lapsed", took)
	}
}

// waitingStore keeps a watch for as long as it lasts, whatever its context says, as the store's
// client does.
type waitingStore struct{ countingStore }

func (s *waitingStore) Watch(_ context.Context, _ string, _ int64, wait time.Duration) ([]fleet.Item, int64, error) {
	time.Sleep(wait)
	return nil, 0, nil
}

// Pattern: an owner hands over to a VM that waits for a change of its key
// (aulaplan-sofia-grown inc-7002: 0.4 s).
func TestHandOverInterruptsAWatchThatWaits(t *testing.T) {
	n := &Node{opts: Options{Store: &waitingStore{}, Events: event.Discard{}}}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	begun := time.Now()
	n.watchOwner(ctx, 7)
	if took := time.Since(begun); took > ownerWatch/2 {
		t.Fatalf("the watch holds the VM up for %v", took)
	}
}
