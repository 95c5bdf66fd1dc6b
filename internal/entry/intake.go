package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

// Timing of a write for a caller.
const (
	firstTry        = 350 * time.Millisecond // the store answers in about 4 ms; lost answers are tried again soon
	longerTry       = 3                      // factor from try to try, for a store that is slow
	refusals        = 3                      // tries that did nothing before the caller is told
	betweenRefusals = 40 * time.Millisecond
	reserve         = 100 * time.Millisecond // of the caller's time, for the answer to arrive
)

// Committer writes to the store, directly or through another VM.
type Committer interface {
	Commit(ctx context.Context, t fleet.Txn) (int64, error)
}

// Result is what is known of a write for a caller.
type Result struct {
	Stored   bool
	Revision int64           // of a write that was answered; 0: the key was there, or the answer was lost
	Verdict  verdict.Verdict // when it is not stored: whether it may still be
	Tries    int
	Err      error
}

// create stores a key that must not exist; one that exists already counts as stored, as the
// key is the caller's own id. A lost answer is settled by writing again: the condition makes
// the repetition harmless. direct is tried first, relay when the store turns this VM away.
func create(ctx context.Context, direct, relay Committer, t fleet.Txn) Result {
	r := Result{Verdict: verdict.NotRun}
	timeout := firstTry
	for refused := 0; ; {
		r.Tries++
		via := direct
		if refused%2 == 1 && relay != nil {
			via = relay
		}
		revision, err := try(ctx, via, t, timeout)
		var conflict *fleet.ConflictError
		switch {
		case err == nil || errors.As(err, &conflict):
			r.Stored, r.Revision, r.Err = true, revision, nil
			return r
		case fleet.NotRun(err):
			refused++
		default:
			r.Verdict = verdict.MayHaveRun
			timeout *= longerTry
			refused++ // the other way may answer
		}
		r.Err = err
		if ctx.Err() != nil || refused >= refusals && r.Verdict == verdict.NotRun {
			return r
		}
		select {
		case <-time.After(betweenRefusals):
		case <-ctx.Done():
			return r
		}
	}
}

func try(ctx context.Context, via Committer, t fleet.Txn, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return via.Commit(ctx, t)
}
