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
	breakAfter = 450 * time.Millisecond // without an answer: longer than a slow store takes
	probeEvery = 150 * time.Millisecond
	probeTime  = 400 * time.Millisecond
)

// errStoreDown says that a write was not tried, as the store does not answer this VM.
var errStoreDown = errors.New("entry: the store does not answer this VM")

// Breaker keeps writes from a store that does not answer, so that callers learn at once
// that nothing was done. While it is open, a probe asks the store. Safe for concurrent use.
type Breaker struct {
	store  Committer
	probe  func(ctx context.Context) error
	events event.Recorder

	mu      sync.Mutex
	failing time.Time // of the first failure since the last answer; zero: none
	open    bool
}

// NewBreaker wraps the store; probe makes a cheap read.
func NewBreaker(store Committer, probe func(ctx context.Context) error, events event.Recorder) *Breaker {
	return &Breaker{store: store, probe: probe, events: events}
}

// Commit passes the write on, or fails at once with verdict NotRun.
func (b *Breaker) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	if b.isOpen() {
		return 0, &fleet.CallError{Op: "store commit", Verdict: verdict.NotRun, Cause: errStoreDown}
	}
	begun := time.Now()
	revision, err := b.store.Commit(ctx, t)
	b.note(begun, err)
	return revision, err
}

func (b *Breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// note takes the result of a call. A refusal for its condition is an answer.
func (b *Breaker) note(begun time.Time, err error) {
	var conflict *fleet.ConflictError
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.As(err, &conflict) {
		b.failing = time.Time{}
		return
	}
	if b.failing.IsZero() {
		b.failing = begun
	}
	if !b.open && time.Since(b.failing) >= breakAfter {
		b.open = true
		b.events.Record(event.StoreCallFailed, "commit", err)
		go b.recover()
	}
}

// recover probes until the store answers.
func (b *Breaker) recover() {
	for {
		time.Sleep(probeEvery)
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		err := b.probe(ctx)
		cancel()
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.open, b.failing = false, time.Time{}
		b.mu.Unlock()
		b.events.Record(event.StoreCallAnswered, "commit")
		return
	}
}
