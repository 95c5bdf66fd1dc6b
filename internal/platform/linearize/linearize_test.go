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
	clients = 4
	calls   = 150
	keys    = 3
)

// newStore starts the HTTP stand-in and returns it with the adapter to it.
func newStore(t *testing.T, writesPerSecond float64) (*standin.Store, *platform.HTTPStore) {
	store := standin.NewStore(0, writesPerSecond)
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // lost answers are aborted handlers
	server.Start()
	t.Cleanup(server.Close)
	return store, platform.NewHTTPStore(server.URL, 10*time.Second)
}

// work makes one client's random calls.
func work(store platform.Store, id int) {
	rng := rand.New(rand.NewPCG(1, uint64(id)))
	seen := make(map[string]platform.Revision)
	for i := range calls {
		key := fmt.Sprintf("k/%d", rng.IntN(keys))
		switch rng.IntN(5) {
		case 0, 1:
			e, _ := store.Get(context.Background(), key)
			seen[key] = e.Revision
		case 2, 3:
			value := fmt.Sprintf("%d-%d", id, i)
			if r, err := store.CompareAndSwap(context.Background(), key, []byte(value), seen[key]); err == nil {
				seen[key] = r
			}
		case 4:
			if store.Delete(context.Background(), key, seen[key]) == nil {
				seen[key] = 0
			}
		}
	}
}

// run has all clients work at the same time and returns what they saw.
func run(store platform.Store) *History {
	h := &History{}
	var wait sync.WaitGroup
	for id := range clients {
		wait.Go(func() { work(h.Client(id, store), id) })
	}
	wait.Wait()
	return h
}

func TestStoreIsLinearizable(t *testing.T) {
	cases := []struct {
		name   string
		lost   float64 // probability of a lost answer
		writes float64 // a second, above which writes are refused; 0: all are taken
	}{
		{name: "sound"},
		{name: "lost answers", lost: 0.2},
		{name: "lost answers and refusals", lost: 0.2, writes: 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store, adapter := newStore(t, c.writes)
			store.Faults.Set(standin.FaultSettings{LoseResponse: c.lost})
			h := run(adapter)
			counts := store.Counts()
			t.Logf("%d calls, %d answers lost, %d refused", h.Len(), counts.LostResponses, counts.Refused)
			if !h.Check() {
				t.Error("no order of the calls explains the answers")
			}
		})
	}
}

// wrongStore answers wrongly in one way.
type wrongStore struct {
	platform.Store
	stale   bool // Get answers what it answered first
	certain bool // a lost answer is reported as not executed

	mu    sync.Mutex
	first map[string]platform.Entry
}

func (w *wrongStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := w.Store.Get(ctx, key)
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.first[key]; !ok && err == nil {
		w.first[key] = e
	}
	if w.stale && err == nil {
		return w.first[key], nil
	}
	return e, err
}

func (w *wrongStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	r, err := w.Store.CompareAndSwap(ctx, key, value, expected)
	if w.certain && classify(err) == outcomeUncertain {
		return 0, platform.ErrUnavailable
	}
	return r, err
}

func TestCheckCatchesWrongStores(t *testing.T) {
	for name, wrong := range map[string]*wrongStore{
		"stale reads":             {stale: true},
		"a lost answer is denied": {certain: true},
	} {
		t.Run(name, func(t *testing.T) {
			store, adapter := newStore(t, 0)
			store.Faults.Set(standin.FaultSettings{LoseResponse: 0.2})
			wrong.Store, wrong.first = adapter, make(map[string]platform.Entry)
			if run(wrong).Check() {
				t.Error("the wrong answers were taken")
			}
		})
	}
}
