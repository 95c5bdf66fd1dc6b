package fleet

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/verdict"
)

// ErrCompacted reports that the store no longer has the revisions that a watch requested.
var ErrCompacted = errors.New("store: history compacted")

// ErrLeaseEnded reports that the lease expired or was revoked.
var ErrLeaseEnded = errors.New("store: lease ended")

// ErrConnectionLost marks the cause of a failed call: the other side closed the connection, or nothing listens at
// its address. It proves no crash, as a link may do so, too.
var ErrConnectionLost = errors.New("connection lost")

// CallError is a failed call to the platform.
type CallError struct {
	Op           string
	Status       int          // HTTP status; 0: no response
	RejectReason RejectReason // from a worker or the machine control plane; empty: none
	Verdict      verdict.Verdict
	Cause        error
}

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

func (e *CallError) Unwrap() error { return e.Cause }

// ConflictError reports that a condition of a transaction was not met; nothing was written.
type ConflictError struct {
	Current []Item // current items of the conditions' keys; an absent key is left out or has revision 0
}

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

// RejectReasonOf returns the reject reason of the CallError in err, or "".
func RejectReasonOf(err error) RejectReason {
	var call *CallError
	if errors.As(err, &call) {
		return call.RejectReason
	}
	return ""
}
