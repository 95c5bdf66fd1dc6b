// Package verdict says whether a request may have run. Every answer to a
// caller and every error between processes carries one of its three values.
package verdict

// Verdict says whether a request may have run on a backend server or a worker.
type Verdict int

// The three verdicts. The zero value is the cautious one.
const (
	MayHaveRun Verdict = iota // some of the request may have reached its executor
	NotRun                    // no byte can have reached the executor, or it refused the request itself
	Done                      // it ran and its whole answer is known
)

// String returns the verdict as the Filbertcross-Verdict header carries it.
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

// Parse reads a header value; anything unknown is MayHaveRun.
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

// Retryable reports whether a request with this verdict may be sent again.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
