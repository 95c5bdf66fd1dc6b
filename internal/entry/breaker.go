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

// Timing of the circuit breaker.
const (
	breakerThreshold = 800 * time.Millisecond // without a response from the store: twice what a slow store takes
	probeInterval    = 150 * time.Millisecond
	probeTimeout     = breakerThreshold
)

// errStoreUnavailable reports that a write was not attempted because the store does not answer
// this VM.
var errStoreUnavailable = errors.New("entry: the store does not answer this VM")

// CircuitBreaker rejects writes while the store does not answer this VM, so that callers are
// informed at once that nothing was written. While it is open, it probes the store and closes
// when a probe succeeds. It is safe for concurrent use.
type CircuitBreaker struct {
	store  Committer
	probe  func(ctx context.Context) error
	events event.Recorder

	mu              sync.Mutex
	calls           map[int]time.Time // start times of the calls in flight, by call number
	lastCall        int
	unansweredSince time.Time // start of the earliest failed call since the last response; zero: none
	open            bool
}

// NewCircuitBreaker returns a closed breaker in front of store. probe makes a cheap read from the
// store and returns nil if the store answers.
func NewCircuitBreaker(store Committer, probe func(ctx context.Context) error, events event.Recorder) *CircuitBreaker {
	return &CircuitBreaker{store: store, probe: probe, events: events, calls: map[int]time.Time{}}
}

// Commit writes to the store. While the breaker is open, it returns an error with verdict NotRun
// at once.
func (b *CircuitBreaker) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	call, ok := b.beginCall()
	if !ok {
		return 0, &fleet.CallError{Op: "store commit", Verdict: verdict.NotRun, Cause: errStoreUnavailable}
	}
	revision, err := b.store.Commit(ctx, t)
	b.endCall(call, err)
	return revision, err
}

// beginCall registers a call and returns its number. ok is false if the breaker is open; it opens
// when calls have had no response from the store for breakerThreshold.
func (b *CircuitBreaker) beginCall() (call int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := b.unansweredSince
	for _, start := range b.calls {
		if since.IsZero() || start.Before(since) {
			since = start
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

// endCall records the result of a call. A conflict counts as a response. A call that began before
// an answered one counts as unanswered only since the start of the answered one.
func (b *CircuitBreaker) endCall(call int, err error) {
	var conflict *fleet.ConflictError
	b.mu.Lock()
	defer b.mu.Unlock()
	start := b.calls[call]
	delete(b.calls, call)
	if err == nil || errors.As(err, &conflict) {
		b.unansweredSince = time.Time{}
		for other, otherStart := range b.calls {
			if otherStart.Before(start) {
				b.calls[other] = start // its response is late or lost, but the store answers
			}
		}
		return
	}
	if b.unansweredSince.IsZero() || start.Before(b.unansweredSince) {
		b.unansweredSince = start
	}
}

// probeUntilAvailable probes the store until it answers, then closes the breaker.
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
		b.events.Record(event.StoreCallRecovered, "commit")
		return
	}
}
