package fleet

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/verdict"
)

// ErrCompacted says that the store no longer has the history a watch asked for.
var ErrCompacted = errors.New("store: history compacted")

// ErrLeaseEnded says that the lease does not exist any more.
var ErrLeaseEnded = errors.New("store: lease ended")

// CallError is the failure of a call to the platform.
type CallError struct {
	Op           string
	Status       int          // HTTP status; 0: no answer
	RejectReason RejectReason // of a worker; empty: none
	Verdict      verdict.Verdict
	Cause        error
}

// Error describes the failure with its verdict.
func (e *CallError) Error() string {
	text := e.Op
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.RejectReason != "" {
		text += ": " + string(e.RejectReason)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text + " (" + e.Verdict.String() + ")"
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ConflictError says that a condition of a transaction was not met; nothing was written.
type ConflictError struct {
	Current []Item // the conditions' keys as they are; absent keys are missing or have revision 0
}

// Error names the keys.
func (e *ConflictError) Error() string { return fmt.Sprintf("store: condition not met, %v", e.Current) }

// IsNotRun reports whether err proves that the call had no effect.
func IsNotRun(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Verdict == verdict.NotRun
	}
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// RejectReasonOf returns the worker's refusal in err, or "".
func RejectReasonOf(err error) RejectReason {
	var call *CallError
	if errors.As(err, &call) {
		return call.RejectReason
	}
	return ""
}
