package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

// Judgement of the store as seen from this VM.
const (
	breakerThreshold = 800 * time.Millisecond // without an answer: twice what a slow store takes
	probeInterval    = 150 * time.Millisecond
	probeTimeout     = breakerThreshold
)

// errStoreDown says that a write was not tried, as the store does not answer this VM.
var errStoreUnavailable = errors.New("entry: the store does not answer this VM")

// Breaker keeps writes from a store that does not answer, so that callers learn at once
// that nothing was done. While it is open, a probe asks the store. Safe for concurrent use.
type CircuitBreaker struct {
	store  Committer
	probe  func(ctx context.Context) error
	events event.Recorder

	mu              sync.Mutex
	calls           map[int]time.Time // beginnings of the calls that are out
	lastCall        int
	unansweredSince time.Time // beginning of the first call since the last answer that had none; zero: none
	open            bool
}

// NewBreaker wraps the store; probe makes a cheap read.
func NewCircuitBreaker(store Committer, probe func(ctx context.Context) error, events event.Recorder) *CircuitBreaker {
	return &CircuitBreaker{store: store, probe: probe, events: events, calls: map[int]time.Time{}}
}

// Commit passes the write on, or fails at once with verdict NotRun.
func (b *CircuitBreaker) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	call, ok := b.beginCall()
	if !ok {
		return 0, &fleet.CallError{Op: "store commit", Verdict: verdict.NotRun, Cause: errStoreUnavailable}
	}
	revision, err := b.store.Commit(ctx, t)
	b.endCall(call, err)
	return revision, err
}

// enter notes a call, unless the store has been silent for too long.
func (b *CircuitBreaker) beginCall() (call int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := b.unansweredSince
	for _, begun := range b.calls {
		if since.IsZero() || begun.Before(since) {
			since = begun
		}
	}
	if !b.open && !since.IsZero() && now.Sub(since) >= breakerThreshold {
		b.open = true
		b.events.Record(event.StoreCallFailed, "commit", now.Sub(since))
		go b.probeUntilAvailable()
	}
	if b.open {
		return 0, false
	}
	b.lastCall++
	b.calls[b.lastCall] = now
	return b.lastCall, true
}

// leave takes the result of a call. A refusal for its condition is an answer, after which only
// later calls can prove silence.
func (b *CircuitBreaker) endCall(call int, err error) {
	var conflict *fleet.ConflictError
	b.mu.Lock()
	defer b.mu.Unlock()
	begun := b.calls[call]
	delete(b.calls, call)
	if err == nil || errors.As(err, &conflict) {
		b.unansweredSince = time.Time{}
		for other, since := range b.calls {
			if since.Before(begun) {
				b.calls[other] = begun // its answer is late or lost; the store lives
			}
		}
		return
	}
	if b.unansweredSince.IsZero() || begun.Before(b.unansweredSince) {
		b.unansweredSince = begun
	}
}

// recover probes until the store answers.
func (b *CircuitBreaker) probeUntilAvailable() {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := b.probe(ctx)
		cancel()
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.open, b.unansweredSince = false, time.Time{}
		clear(b.calls)
		b.mu.Unlock()
		b.events.Record(event.StoreCallAnswered, "commit")
		return
	}
}
