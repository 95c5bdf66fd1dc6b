package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/storehealth"
	"filbertcross/internal/verdict"
)

// fakeStore responds to each call, numbered from 1, with the result of respond.
type fakeStore struct {
	mu      sync.Mutex
	calls   int
	respond func(ctx context.Context, call int) error
}

func (s *fakeStore) Commit(ctx context.Context, _ fleet.Txn) (int64, error) {
	s.mu.Lock()
	s.calls++
	n := s.calls
	s.mu.Unlock()
	if err := s.respond(ctx, n); err != nil {
		return 0, err
	}
	return 7, nil
}

var (
	errNoResponse = &fleet.CallError{Op: "store commit", Verdict: verdict.MayHaveRun}
	errNotRun     = &fleet.CallError{Op: "store commit", Status: 503, Verdict: verdict.NotRun}
)

// respondAfter returns nil after the delay, or errNoResponse if ctx is done first.
func respondAfter(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errNoResponse
	}
}

func timedCreateKey(t *testing.T, direct, relay Committer) (WriteResult, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2900*time.Millisecond)
	defer cancel()
	start := time.Now()
	return createKey(ctx, direct, relay, fleet.Txn{}), time.Since(start)
}

// The store takes 500 ms for every response (platform_slow). The first response counts, also if
// another attempt was made meanwhile.
func TestCreateKeyReturnsFirstResponseOfSlowStore(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, _ int) error { return respondAfter(ctx, 500*time.Millisecond) }}
	r, took := timedCreateKey(t, s, nil)
	if !r.Stored || took > 700*time.Millisecond {
		t.Fatalf("stored %v after %v, want true; the store responds in 500ms", r.Stored, took)
	}
}

// Responses to writes are lost (platform_lost).
func TestCreateKeyRetriesAfterLostResponse(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, call int) error {
		if call == 1 {
			<-ctx.Done()
			return errNoResponse
		}
		return nil
	}}
	if r, took := timedCreateKey(t, s, nil); !r.Stored || took > 600*time.Millisecond {
		t.Fatalf("stored %v after %v", r.Stored, took)
	}
}

func TestCreateKeyReturnsNotRunWhenAllAttemptsAreRejected(t *testing.T) {
	s := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	r, took := timedCreateKey(t, s, s)
	if r.Stored || r.Verdict != verdict.NotRun || took > 400*time.Millisecond {
		t.Fatalf("%+v after %v", r, took)
	}
}

// A write that may still take effect is never reported as not run, whatever the results of the
// other attempts.
func TestUnansweredAttemptKeepsOutcomeUnknown(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, call int) error {
		if call == 1 {
			<-ctx.Done()
			return errNoResponse
		}
		return errNotRun
	}}
	if r, _ := timedCreateKey(t, s, s); r.Stored || r.Verdict != verdict.MayHaveRun {
		t.Fatalf("%+v", r)
	}
}

// The store rejects calls from this VM only (platform_down nodes); the owner writes on its behalf.
func TestCreateKeyUsesRelayWhenStoreRejectsThisVM(t *testing.T) {
	direct := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	relay := &fakeStore{respond: func(context.Context, int) error { return nil }}
	if r, took := timedCreateKey(t, direct, relay); !r.Stored || took > 300*time.Millisecond {
		t.Fatalf("stored %v after %v", r.Stored, took)
	}
}

// The store is down for all VMs: callers must learn within milliseconds that nothing was written.
func TestCreateKeyRejectsAtOnceWhileBothPathsAreUnavailable(t *testing.T) {
	silent := &fakeStore{respond: func(ctx context.Context, _ int) error { <-ctx.Done(); return errNoResponse }}
	health := storehealth.NewMonitor(silent, func(ctx context.Context) error { return silent.respond(ctx, 0) }, nil, event.Discard{})
	ctx, cancel := context.WithTimeout(context.Background(), storehealth.UnavailableAfter+100*time.Millisecond)
	defer cancel()
	_, _ = health.Commit(ctx, fleet.Txn{}) // has no response, which makes the store unavailable
	relay := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	if r, took := timedCreateKey(t, health, relay); r.Stored || r.Verdict != verdict.NotRun || took > 30*time.Millisecond {
		t.Fatalf("%+v after %v", r, took)
	}
}
