package ledger

import (
	"context"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Fingerprint is a hash over method, path, query and body of a request.
type Fingerprint [32]byte

// State is what the ledger says of a key.
type State int

// The states of a key at Begin.
const (
	Granted    State = iota // new, and now logged: the caller sends the request, once
	Recorded                // ran before: Answer is its answer
	MayHaveRun              // was sent before and its answer is not known; it is never sent again
	InProgress              // another caller is sending it now; ask again after RetryAfter
	Mismatch                // the key belongs to another request
)

// BeginRequest asks for the right to send a request.
type BeginRequest struct {
	Branch      model.BranchID `json:"branch"`
	Key         string         `json:"key"`
	Fingerprint Fingerprint    `json:"fingerprint"`
	VM          model.VMID     `json:"vm"`       // that will send the request
	Deadline    time.Time      `json:"deadline"` // of the request, wall clock
	// RunID names this try of the sender: a repeated Begin of it, as after a lost
	// answer, gets RunID again. Router sets it.
	RunID string `json:"run,omitempty"`
}

// BeginResult answers a BeginRequest.
type BeginResult struct {
	State      State         `json:"state"`
	Token      int64         `json:"token"` // names this run at Finish
	Response   *Response     `json:"answer,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Response is a backend server's whole answer.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// FinishRequest records how a run ended. After NotRun the key is free again;
// after MayHaveRun it is never run again.
type FinishRequest struct {
	Branch   model.BranchID  `json:"branch"`
	Key      string          `json:"key"`
	Token    int64           `json:"token"`
	RunID    string          `json:"run,omitempty"` // names the run instead of the token where that never came; set by Router
	Verdict  verdict.Verdict `json:"verdict"`
	Response *Response       `json:"answer,omitempty"`
}

// Client reaches the home partition of a key, wherever its owner is. An error
// from Begin means the request must not be sent: the caller is told "not run"
// and when to come back. Safe for concurrent use.
type Client interface {
	Begin(ctx context.Context, r BeginRequest) (BeginResult, error)
	Finish(ctx context.Context, r FinishRequest) error
}
