package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

// store answers the nth call as told.
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
	errNoAnswer = &fleet.CallError{Op: "store commit", Verdict: verdict.MayHaveRun}
	errNotRun   = &fleet.CallError{Op: "store commit", Status: 503, Verdict: verdict.NotRun}
)

// after answers when that time has passed, or is lost with ctx.
func respondAfter(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errNoAnswer
	}
}

func timedCreateKey(t *testing.T, direct, relay Committer) (WriteResult, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2900*time.Millisecond)
	defer cancel()
	begun := time.Now()
	return createKey(ctx, direct, relay, fleet.Txn{}), time.Since(begun)
}

// Pattern: the store takes 500 ms for every answer (platform_slow). The first answer counts, also
// when another try was made meanwhile.
func TestWriteToASlowStoreTakesOneAnswer(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, _ int) error { return respondAfter(ctx, 500*time.Millisecond) }}
	r, took := timedCreateKey(t, s, nil)
	if !r.Stored || took > 700*time.Millisecond {
		t.Fatalf("stored %v after %v, the store answers in 500ms", r.Stored, took)
	}
}

// Pattern: answers of writes are lost (platform_lost).
func TestLostAnswerIsSettledByAnotherTry(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, call int) error {
		if call == 1 {
			<-ctx.Done()
			return errNoAnswer
		}
		return nil
	}}
	if r, took := timedCreateKey(t, s, nil); !r.Stored || took > 600*time.Millisecond {
		t.Fatalf("stored %v after %v", r.Stored, took)
	}
}

func TestRefusedWriteIsToldAtOnceAsNotRun(t *testing.T) {
	s := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	r, took := timedCreateKey(t, s, s)
	if r.Stored || r.Verdict != verdict.NotRun || took > 400*time.Millisecond {
		t.Fatalf("%+v after %v", r, took)
	}
}

// A write that may still take effect is never called not run, whatever other tries say.
func TestUnansweredTryKeepsTheVerdictOpen(t *testing.T) {
	s := &fakeStore{respond: func(ctx context.Context, call int) error {
		if call == 1 {
			<-ctx.Done()
			return errNoAnswer
		}
		return errNotRun
	}}
	if r, _ := timedCreateKey(t, s, s); r.Stored || r.Verdict != verdict.MayHaveRun {
		t.Fatalf("%+v", r)
	}
}

// Pattern: the store turns this VM away (platform_down nodes); the owner writes for it.
func TestRelayWritesForAVMThatTheStoreTurnsAway(t *testing.T) {
	direct := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	relay := &fakeStore{respond: func(context.Context, int) error { return nil }}
	if r, took := timedCreateKey(t, direct, relay); !r.Stored || took > 300*time.Millisecond {
		t.Fatalf("stored %v after %v", r.Stored, took)
	}
}

func TestBreakerLeavesASlowStoreAloneAndStopsASilentOne(t *testing.T) {
	var mu sync.Mutex
	takes := 500 * time.Millisecond
	s := &fakeStore{respond: func(ctx context.Context, _ int) error {
		mu.Lock()
		d := takes
		mu.Unlock()
		return respondAfter(ctx, d)
	}}
	b := NewCircuitBreaker(s, func(ctx context.Context) error { return s.respond(ctx, 0) }, event.Discard{})
	write := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, err := b.Commit(ctx, fleet.Txn{})
		return err
	}
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := write(time.Second); err != nil {
				t.Errorf("a slow store: %v", err)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	mu.Lock()
	takes = time.Hour
	mu.Unlock()
	go func() { _ = write(2 * time.Second) }()
	time.Sleep(breakerThreshold + 50*time.Millisecond)
	begun := time.Now()
	if err := write(time.Second); !fleet.IsNotRun(err) || time.Since(begun) > 100*time.Millisecond {
		t.Fatalf("a silent store: %v after %v", err, time.Since(begun))
	}
}
