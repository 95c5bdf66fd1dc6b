package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/storehealth"
	"filbertcross/internal/verdict"
)

// Timing of a write for a caller.
const (
	hedgeDelay          = 350 * time.Millisecond  // another attempt is made after this time without a response: the store takes about 4 ms, a slow one 400 ms
	attemptTimeout      = 1300 * time.Millisecond // of one attempt; the first success of any attempt counts
	minRejectedAttempts = 3                       // attempts that wrote nothing before the caller gets an error
	rejectedRetryDelay  = 40 * time.Millisecond
	responseReserve     = 100 * time.Millisecond // part of the caller's deadline left for the response to arrive
)

// Committer writes to the store, directly or through another VM. It must be safe for concurrent
// use.
type Committer = storehealth.Committer

// WriteResult is the result of a write for a caller.
type WriteResult struct {
	Stored   bool
	Revision int64           // of the write; 0: the key existed already, possibly through an attempt without a response
	Existing []byte          // value of the key that existed already; nil if it is not known
	Verdict  verdict.Verdict // if not Stored: whether the write may still take effect
	Attempts int
	Err      error // of the last failed attempt, if not Stored
}

// createKey stores a key on condition that it is absent. A key that exists already counts as
// stored, as it is derived from the caller's own id. While an attempt has no response, further
// ones are made; the condition makes repetition harmless. Attempts alternate between direct and
// relay, as the store may reject calls from this VM only; relay may be nil. A direct path that is known
// to be unavailable is not tried again, so that the caller is told at once that nothing was written.
func createKey(ctx context.Context, direct, relay Committer, t fleet.Txn) WriteResult {
	type outcome struct {
		relayed  bool
		revision int64
		err      error
	}
	r := WriteResult{Verdict: verdict.NotRun}
	outcomes := make(chan outcome, maxAttempts)
	inFlight, rejected := 0, 0
	directUnavailable := false
	startAttempt := func() {
		committer, relayed := direct, relay != nil && (r.Attempts%2 == 1 || directUnavailable)
		if relayed {
			committer = relay
		}
		r.Attempts++
		inFlight++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			revision, err := committer.Commit(ctx, t)
			outcomes <- outcome{relayed, revision, err}
		}()
	}
	startAttempt()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case attempt := <-outcomes:
			inFlight--
			var conflict *fleet.ConflictError
			switch {
			case attempt.err == nil || errors.As(attempt.err, &conflict):
				r.Stored, r.Revision, r.Err = true, attempt.revision, nil
				if conflict != nil && len(conflict.Current) > 0 {
					r.Existing = conflict.Current[0].Value
				}
				return r
			case fleet.IsNotRun(attempt.err):
				rejected++
				directUnavailable = directUnavailable || !attempt.relayed && storehealth.IsUnavailable(attempt.err)
			default:
				r.Verdict = verdict.MayHaveRun
			}
			r.Err = attempt.err
			if inFlight > 0 {
				continue
			}
			bothRejected := directUnavailable && (attempt.relayed || relay == nil)
			switch {
			case r.Verdict == verdict.NotRun && (bothRejected || rejected >= minRejectedAttempts):
				return r
			case directUnavailable && !attempt.relayed:
				startAttempt()
				timer.Reset(hedgeDelay)
			default:
				timer.Reset(rejectedRetryDelay)
			}
		case <-timer.C:
			if r.Attempts < maxAttempts {
				startAttempt()
			}
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			if inFlight > 0 || r.Err == nil {
				r.Verdict = verdict.MayHaveRun
				r.Err = errors.Wrap(ctx.Err(), "no response to a store write")
			}
			return r
		}
	}
}

// maxAttempts bounds the attempts of one write; about ten fit into a caller's deadline.
const maxAttempts = 24
