package linearize

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/platform"
	"filbertcross/internal/standin"
)

const (
	clientCount    = 4
	callsPerClient = 150
	keyCount       = 3
)

// newTestStore starts the store's HTTP stand-in and returns it with a client of it.
func newTestStore(t *testing.T, writesPerSecond float64) (*standin.Store, *platform.HTTPStore) {
	store := standin.NewStore(0, writesPerSecond)
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // the stand-in loses responses by aborting handlers, which are logged
	server.Start()
	t.Cleanup(server.Close)
	return store, platform.NewHTTPStore(server.URL, 10*time.Second)
}

// makeRandomCalls makes the random calls of one client.
func makeRandomCalls(store platform.Store, id int) {
	rng := rand.New(rand.NewPCG(1, uint64(id)))
	revisions := make(map[string]platform.Revision)
	for i := range callsPerClient {
		key := fmt.Sprintf("k/%d", rng.IntN(keyCount))
		switch rng.IntN(5) {
		case 0, 1:
			e, _ := store.Get(context.Background(), key)
			revisions[key] = e.Revision
		case 2, 3:
			value := fmt.Sprintf("%d-%d", id, i)
			if r, err := store.CompareAndSwap(context.Background(), key, []byte(value), revisions[key]); err == nil {
				revisions[key] = r
			}
		case 4:
			if store.Delete(context.Background(), key, revisions[key]) == nil {
				revisions[key] = 0
			}
		}
	}
}

// runClients runs all clients concurrently and returns the recorded calls.
func runClients(store platform.Store) *History {
	h := &History{}
	var wait sync.WaitGroup
	for id := range clientCount {
		wait.Go(func() { makeRandomCalls(h.Client(id, store), id) })
	}
	wait.Wait()
	return h
}

func TestStoreIsLinearizable(t *testing.T) {
	cases := []struct {
		name   string
		lost   float64 // probability that a response is lost
		writes float64 // per second, above which writes are rejected; 0: no limit
	}{
		{name: "no faults"},
		{name: "lost responses", lost: 0.2},
		{name: "lost responses and rejected writes", lost: 0.2, writes: 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store, adapter := newTestStore(t, c.writes)
			store.Faults.Set(standin.FaultSettings{LoseResponse: c.lost})
			h := runClients(adapter)
			counts := store.Counts()
			t.Logf("%d calls, %d responses lost, %d rejected", h.Len(), counts.LostResponses, counts.Refused)
			if !h.Check() {
				t.Error("the recorded calls are not linearizable")
			}
		})
	}
}

// faultyStore returns wrong results in one way.
type faultyStore struct {
	platform.Store
	staleReads       bool // Get returns the first result for the key again
	deniesLostWrites bool // a write with a lost response is reported as not executed

	mu    sync.Mutex
	first map[string]platform.Entry
}

func (w *faultyStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := w.Store.Get(ctx, key)
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.first[key]; !ok && err == nil {
		w.first[key] = e
	}
	if w.staleReads && err == nil {
		return w.first[key], nil
	}
	return e, err
}

func (w *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	r, err := w.Store.CompareAndSwap(ctx, key, value, expected)
	if w.deniesLostWrites && classify(err) == outcomeUncertain {
		return 0, platform.ErrUnavailable
	}
	return r, err
}

func TestCheckRejectsFaultyStores(t *testing.T) {
	for name, faulty := range map[string]*faultyStore{
		"stale reads":                         {staleReads: true},
		"lost write reported as not executed": {deniesLostWrites: true},
	} {
		t.Run(name, func(t *testing.T) {
			store, adapter := newTestStore(t, 0)
			store.Faults.Set(standin.FaultSettings{LoseResponse: 0.2})
			faulty.Store, faulty.first = adapter, make(map[string]platform.Entry)
			if runClients(faulty).Check() {
				t.Error("Check accepted a history with wrong results")
			}
		})
	}
}
