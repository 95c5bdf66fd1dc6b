package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

const (
	storedCheckTimeout = 500 * time.Millisecond // of the check before a refusal
	// outageCheckTimeout is that of the check before the rejection of a submission that the store
	// rejected. The owner responds in a few ms; without it the rejection must not take long.
	outageCheckTimeout = 150 * time.Millisecond
	maxRetryAfter      = 10 * time.Second // the load is a different one by then
)

// mayBeStored reports whether the submission, possibly sent for a second time, is stored or may be: a
// refusal of it would wrongly say that it never runs.
func (h *Handler) mayBeStored(ctx context.Context, id fleet.JobID) bool {
	ctx, cancel := context.WithTimeout(ctx, storedCheckTimeout)
	defer cancel()
	status, err := h.view.SubmissionStatus(ctx, id)
	return err != nil || status.State != fleet.StateUnknown
}

// isStored reports whether the account's submission is known to be stored, by an earlier attempt whose
// response was lost. The owner knows while the store rejects this VM.
func (h *Handler) isStored(ctx context.Context, id fleet.JobID, account string) bool {
	ctx, cancel := context.WithTimeout(ctx, outageCheckTimeout)
	defer cancel()
	status, err := h.view.SubmissionStatus(ctx, id)
	return err == nil && status.State != fleet.StateUnknown && status.Account == account
}

// refuseBeyondRate refuses a submission beyond its account's rate, before anything is stored.
func (h *Handler) refuseBeyondRate(w http.ResponseWriter, sub *fleet.Submission, retryAfter time.Duration) int {
	seconds := retrySeconds(string(sub.ID), retryAfter)
	h.events.Record(event.SubmissionRefused, sub.ID, sub.Account, sub.Queue, "beyond the account's rate, and earlier ones wait too long", retryAfter, seconds)
	h.scope.Tagged(map[string]string{"reason": "rate"}).Counter("submissions_refused").Inc(1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	return writeResponse(w, http.StatusTooManyRequests, nil)
}

// refuseForMemory refuses a submission that the owner has no memory for, before anything is stored.
func (h *Handler) refuseForMemory(w http.ResponseWriter, sub *fleet.Submission) int {
	seconds := retrySeconds(string(sub.ID), memoryRetryAfter)
	h.events.Record(event.SubmissionRefused, sub.ID, sub.Account, sub.Queue, "the owner has no memory for more submissions", memoryRetryAfter, seconds)
	h.scope.Tagged(map[string]string{"reason": "memory"}).Counter("submissions_refused").Inc(1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	return writeResponse(w, http.StatusServiceUnavailable, nil)
}

// memoryRetryAfter is the time in which some submissions end.
const memoryRetryAfter = 2 * time.Second

// retrySeconds returns the value of Retry-After, in whole seconds: at least the given time, and up to
// twice as much by the submission's id, so that refused callers do not return together.
func retrySeconds(id string, after time.Duration) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	after = min(max(after, time.Second), maxRetryAfter)
	spread := time.Duration(hash.Sum32()%uint32(after/time.Millisecond+1)) * time.Millisecond
	return int((after + spread + time.Second - 1) / time.Second)
}
