package backend

import (
	"context"
	"fmt"
	"time"

	"filbertcross/internal/model"
)

// Router gives requests a slot of a backend server. Safe for concurrent use.
type Router interface {
	// Acquire waits for a slot until the ask can no longer be in time. The error
	// is a *Refusal; then no slot is held and nothing was sent.
	Acquire(ctx context.Context, ask SlotRequest) (*Permit, error)
	// CheckAdmission returns the Refusal that Acquire would give at once, if any.
	CheckAdmission(ask SlotRequest) *Rejection
}

// SlotRequest is a request's wish for a slot.
type SlotRequest struct {
	Service  string
	Branch   model.BranchID
	Share    int64     // weight of the branch, at least 1
	Bytes    int64     // size of the request while it waits
	Deadline time.Time // of the request
	Avoid    ServerID  // failed this request before; taken only if there is no other
}

// Outcome is how an attempt on a backend server ended, for its ejection.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeAnswered Outcome = iota // a whole answer came, whatever its status
	OutcomeFailed                  // no connection, a cut or a wrong answer
	OutcomeTimeout                 // no answer in time
	OutcomeRefused                 // the server turned the request down, not executed
	OutcomeUnused                  // nothing was sent
)

// Permit is the right to send one request to a backend server.
type Permit struct {
	ID               PermitID
	Server           Server
	ServiceTimeBound time.Duration // a service time that most requests do not exceed; 0: not known yet
	release          func(Outcome)
}

// Release gives the slot back. It is called exactly once.
func (p *Permit) Release(o Outcome) { p.release(o) }

// Reason classifies a Refusal.
type Reason string

// The reasons of a Refusal.
const (
	ReasonNoServer Reason = "no backend server of the service is known"
	ReasonFull     Reason = "the queue is full"
	ReasonLate     Reason = "it cannot be answered in time"
	ReasonCanceled Reason = "the caller went away"
)

// Rejection says that a request got no slot and was not run.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back, with jitter
}

// Error names the reason.
func (r *Rejection) Error() string {
	return fmt.Sprintf("backend: refused: %s; come back in %s", r.Reason, r.RetryAfter)
}
