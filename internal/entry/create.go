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
	hedgeDelay          = 350 * time.Millisecond  // an answer that is not there is asked for again: the store takes about 4 ms, and 400 when it is slow
	attemptTimeout      = 1300 * time.Millisecond // of one try; the first answer of any counts
	minRejectedAttempts = 3                       // tries that did nothing before the caller is told
	rejectedRetryDelay  = 40 * time.Millisecond
	responseReserve     = 100 * time.Millisecond // of the caller's time, for the answer to arrive
)

// Committer writes to the store, directly or through another VM.
type Committer interface {
	Commit(ctx context.Context, t fleet.Txn) (int64, error)
}

// Result is what is known of a write for a caller.
type WriteResult struct {
	Stored   bool
	Revision int64           // of a write that was answered; 0: the key was there, or the answer was lost
	Verdict  verdict.Verdict // when it is not stored: whether it may still be
	Attempts int
	Err      error
}

// create stores a key that must not exist; one that exists already counts as stored, as the
// key is the caller's own id. While a try has no answer another one is made: the condition
// makes the repetition harmless. direct and relay take turns; the store may turn this VM away.
func createKey(ctx context.Context, direct, relay Committer, t fleet.Txn) WriteResult {
	type outcome struct {
		revision int64
		err      error
	}
	r := WriteResult{Verdict: verdict.NotRun}
	answers := make(chan outcome, maxAttempts)
	out, refused := 0, 0
	launch := func() {
		via := direct
		if r.Attempts%2 == 1 && relay != nil {
			via = relay
		}
		r.Attempts++
		out++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			revision, err := via.Commit(ctx, t)
			answers <- outcome{revision, err}
		}()
	}
	launch()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			out--
			var conflict *fleet.ConflictError
			switch {
			case a.err == nil || errors.As(a.err, &conflict):
				r.Stored, r.Revision, r.Err = true, a.revision, nil
				return r
			case fleet.IsNotRun(a.err):
				refused++
			default:
				r.Verdict = verdict.MayHaveRun
			}
			r.Err = a.err
			if out == 0 && r.Verdict == verdict.NotRun && refused >= minRejectedAttempts {
				return r
			}
			if out == 0 {
				timer.Reset(rejectedRetryDelay)
			}
		case <-timer.C:
			if r.Attempts < maxAttempts {
				launch()
			}
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			if out > 0 || r.Err == nil {
				r.Verdict = verdict.MayHaveRun
				r.Err = errors.Wrap(ctx.Err(), "no answer to a write")
			}
			return r
		}
	}
}

// maxTries bounds the tries of one write; a caller waits for about ten.
const maxAttempts = 24
