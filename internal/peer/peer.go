package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"filbertcross/internal/verdict"
)

// Method names one call of the inner protocol, as "package.verb".
type Method string

// Handler answers a call. It runs on a goroutine of its own. params is the
// caller's message; the result is sent back as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Registry takes the handlers of the other packages before the server starts.
type Registry interface {
	Handle(m Method, h Handler)
}

// Caller sends calls to other VMs. The context's deadline bounds the call and
// travels with it. Errors are of type *Error. Safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address string, m Method, params, result any) error
}

// Code classifies an Error so that callers need not compare texts.
type Code int

// The codes of an Error. Packages may use codes from 1000 on for their own.
const (
	CodeInternal      Code = iota + 1 // the handler failed
	CodeUnreachable                   // no connection, or it broke
	CodeTimeout                       // no answer within the deadline
	CodeUnknownMethod                 // the method is not known there
	CodeInvalid                       // the message could not be read
	CodeNotOwner                      // the VM does not own what the call is about
	CodeBusy                          // too many calls of the method are running there
	CodeExpired                       // the call arrived after its deadline
	CodeStopping                      // the VM is stopping
)

// Error is the failure of a call to a peer.
type Error struct {
	Code    Code
	Message string
	Verdict verdict.Verdict // whether the handler may have run
	// NoListener says that the address was reached and no process listens there; it
	// goes with CodeUnreachable and is set only on the caller's side.
	NoListener bool
}

// Error returns the message with its code and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s (code %d, %s)", e.Message, e.Code, e.Verdict)
}
