// Package verdict defines whether a request may have run. Every response to a
// caller and every error between processes carries one of its three values.
package verdict

// Verdict states whether a request may have run on a backend server or a worker.
type Verdict int

// Verdicts. The zero value is the conservative one.
const (
	MayHaveRun Verdict = iota // unknown outcome: part of the request may have reached its executor
	NotRun                    // no byte can have reached the executor, or the executor rejected the request
	Done                      // the request ran and its complete response is known
)

// String returns the value of the Filbertcross-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Done:
		return "done"
	default:
		return "may-have-run"
	}
}

// Parse converts a header value; an unknown value is MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "done":
		return Done
	default:
		return MayHaveRun
	}
}

// Retryable reports whether a request with this verdict may be retried.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
