package backend

import (
	"context"
	"fmt"
	"time"

	"filbertcross/internal/model"
)

// Router allocates backend server slots to requests. Safe for concurrent use.
type Router interface {
	// Acquire waits for a slot until the request can no longer meet its deadline.
	// The error is a *Rejection; then no slot is held and nothing was sent.
	Acquire(ctx context.Context, request SlotRequest) (*Permit, error)
	// CheckAdmission returns the Rejection that Acquire would return immediately,
	// or nil.
	CheckAdmission(request SlotRequest) *Rejection
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Service  string
	Branch   model.BranchID
	Share    int64     // weight of the branch, at least 1
	Bytes    int64     // size counted against the queue's limit
	Deadline time.Time // of the request
	Avoid    ServerID  // server that failed an earlier attempt; used only if no other is free
}

// Outcome is the result of an attempt on a backend server. It drives the server's
// ejection. The values are sent to peers.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeAnswered Outcome = iota // a complete response arrived, with any status
	OutcomeFailed                  // no connection, or an incomplete or invalid response
	OutcomeTimeout                 // no response in time
	OutcomeRefused                 // the server refused the request without running it
	OutcomeUnused                  // nothing was sent
)

// Permit is the right to send one request to a backend server.
type Permit struct {
	ID               PermitID
	Server           Server
	ServiceTimeBound time.Duration // service time that most requests don't exceed; 0: not known yet
	release          func(Outcome)
}

// Release returns the slot. It must be called exactly once.
func (p *Permit) Release(o Outcome) { p.release(o) }

// Reason classifies a Rejection.
type Reason string

// Reasons of a Rejection. Clients get them as error text.
const (
	ReasonNoServer Reason = "no backend server of the service is known"
	ReasonFull     Reason = "the queue is full"
	ReasonLate     Reason = "it cannot be answered in time"
	ReasonCanceled Reason = "the caller went away"
)

// Rejection reports that a request got no slot and was not run.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration // delay before a retry, with jitter
}

// Error returns the reason and the retry delay.
func (r *Rejection) Error() string {
	return fmt.Sprintf("backend: refused: %s; come back in %s", r.Reason, r.RetryAfter)
}
