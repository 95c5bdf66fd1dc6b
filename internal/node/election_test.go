package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
)

// cachedRefusalCaller fails each call like a peer client with a cached connection refusal.
type cachedRefusalCaller struct{}

func (cachedRefusalCaller) Call(context.Context, string, peer.Method, any, any) error {
	return &peer.Error{Code: peer.CodeUnreachable, NoListener: true}
}

// countingStore counts lease grants, one for each campaign, and fails them. Its watch returns no
// changes at once; its other methods must not be called.
type countingStore struct {
	fleet.Store
	grants int
}

func (s *countingStore) GrantLease(context.Context, time.Duration) (int64, error) {
	s.grants++
	return 0, &fleet.CallError{Op: "grant"}
}

func (s *countingStore) Watch(context.Context, string, int64, time.Duration) ([]fleet.Item, int64, error) {
	return nil, 0, nil
}

// An owner is killed, restarts and is elected again while a follower's peer client has a cached
// connection refusal of its address. If that counted as proof of death, there would be two owners
// (soak seeds 3 and 6: TWICE).
func TestCachedConnectionRefusalDoesNotReplaceLiveOwner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := &countingStore{}
	n := &Node{opts: Options{Store: store, PeerClient: cachedRefusalCaller{}, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{}, tally.NoopScope),
		storeReads: newReadSeries(sourceStore, event.Discard{}, tally.NoopScope), ownerReads: newReadSeries(sourceOwner, event.Discard{}, tally.NoopScope)}
	item := func() fleet.Item {
		txn, err := owner.ElectionTxn(owner.Record{Address: l.Addr().String()}, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7}
	}
	n.followRecordedOwner(context.Background(), item())
	if store.grants != 0 {
		t.Fatal("a live owner was replaced")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	n.followRecordedOwner(context.Background(), item())
	if store.grants != 1 {
		t.Fatal("an owner whose address refuses connections was not replaced")
	}
}
