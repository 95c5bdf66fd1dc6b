package node

import (
	"context"
	"net"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
)

// rememberedRefusal answers like a link that remembers that nobody listened a moment ago.
type cachedRefusalCaller struct{}

func (cachedRefusalCaller) Call(context.Context, string, peer.Method, any, any) error {
	return &peer.Error{Code: peer.CodeUnreachable, NoListener: true}
}

// countingStore counts leases: each is a campaign. Its other calls are not made.
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

// Pattern: an owner is killed, starts again and is elected, while a follower remembers that
// its address refused connections (soak seeds 3 and 6: two owners, TWICE).
func TestRememberedRefusalIsNoProofOfDeath(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := &countingStore{}
	n := &Node{opts: Options{Store: store, PeerClient: cachedRefusalCaller{}, Events: event.Discard{}, PeerAddress: "127.0.0.1:1",
		Owner: owner.Options{Clock: bootClock}}, configurations: newConfigurationCache(nil, event.Discard{})}
	item := func() fleet.Item {
		txn, err := owner.ElectionTxn(owner.Record{Address: l.Addr().String()}, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return fleet.Item{Key: owner.Key, Value: txn.Set[0].Value, Revision: 7}
	}
	n.followRecordedOwner(context.Background(), item())
	if store.grants != 0 {
		t.Fatal("a living owner was replaced")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	n.followRecordedOwner(context.Background(), item())
	if store.grants != 1 {
		t.Fatal("an owner whose address refuses connections was not replaced")
	}
}
