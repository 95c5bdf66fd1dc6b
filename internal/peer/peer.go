package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"filbertcross/internal/verdict"
)

// Method is the name of a method of the peer protocol, of the form "package.verb".
type Method string

// Handler handles a call. Each call runs in its own goroutine; ctx is done at the call's
// deadline. params are the caller's parameters; the result is sent back as JSON. An error
// other than *Error is sent as CodeInternal with verdict MayHaveRun.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Registry registers the handlers of other packages before the server starts.
type Registry interface {
	Handle(m Method, h Handler)
}

// Caller calls methods of other VMs. The context's deadline bounds the call and is sent
// with it. Errors are of type *Error. Safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address string, m Method, params, result any) error
}

// Code classifies an Error, so that callers need not compare messages.
type Code int

// Codes of an Error. Codes from 1000 on are for other packages.
const (
	CodeInternal      Code = iota + 1 // the handler failed
	CodeUnreachable                   // no connection, or it was lost during the call
	CodeTimeout                       // no response before the deadline
	CodeUnknownMethod                 // the receiver has no such method
	CodeInvalid                       // a message could not be encoded or decoded
	CodeNotOwner                      // the receiver does not own the object of the call
	CodeBusy                          // the receiver runs too many calls of the method
	CodeExpired                       // the call arrived after its deadline
	CodeStopping                      // the receiver is stopping
)

// Error is the failure of a call to a peer.
type Error struct {
	Code    Code
	Message string
	Verdict verdict.Verdict // whether the handler may have run
	// NoListener reports that the host refused the connection, since no process listens
	// on the address. It is set only by Client, with CodeUnreachable, and is not sent.
	NoListener bool
}

// Error returns the message with its code and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s (code %d, %s)", e.Message, e.Code, e.Verdict)
}
