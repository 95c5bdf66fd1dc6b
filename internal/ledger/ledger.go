package ledger

import (
	"context"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Fingerprint is a hash of the method, path, query and body of a request.
type Fingerprint [32]byte

// State is the ledger's decision on a BeginRequest.
type State int

// Results of Begin.
const (
	Granted    State = iota // the key is new and now logged; the caller must send the request at most once
	Recorded                // the request ran before; BeginResult.Response holds its response
	MayHaveRun              // the request was sent before and its outcome is unknown; it is never sent again
	InProgress              // another caller is sending the request; retry Begin after RetryAfter
	Mismatch                // the key was used with a different fingerprint
)

// BeginRequest requests the exclusive right to send a request with an idempotency key.
type BeginRequest struct {
	Branch      model.BranchID `json:"branch"`
	Key         string         `json:"key"`
	Fingerprint Fingerprint    `json:"fingerprint"`
	VM          model.VMID     `json:"vm"`       // the VM that will send the request
	Deadline    time.Time      `json:"deadline"` // deadline of the request, wall clock
	// RunID identifies this attempt of the sender. A repeated Begin with the same RunID,
	// for example after a lost response, is Granted again. Set by Router.
	RunID string `json:"run,omitempty"`
}

// BeginResult is the response to a BeginRequest.
type BeginResult struct {
	State      State         `json:"state"`
	Token      int64         `json:"token"` // identifies the granted run in FinishRequest
	Response   *Response     `json:"answer,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Response is the complete response of a backend server.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// FinishRequest records the outcome of a granted run. Verdict NotRun frees the key;
// after MayHaveRun the request is never sent again.
type FinishRequest struct {
	Branch   model.BranchID  `json:"branch"`
	Key      string          `json:"key"`
	Token    int64           `json:"token"`
	RunID    string          `json:"run,omitempty"` // identifies the run when its token was never received; set by Router
	Verdict  verdict.Verdict `json:"verdict"`
	Response *Response       `json:"answer,omitempty"`
}

// Client calls the owner of a key's partition, on this VM or another. Safe for
// concurrent use.
type Client interface {
	// Begin requests the right to send a request. After an error the request must not be
	// sent; the caller may retry it later.
	Begin(ctx context.Context, r BeginRequest) (BeginResult, error)
	// Finish records the outcome of a granted run.
	Finish(ctx context.Context, r FinishRequest) error
}
