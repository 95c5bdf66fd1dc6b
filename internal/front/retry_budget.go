package front

// RetryBudget is a token bucket that each request fills by a part of a token and
// each retry empties by one, so that retries cannot amplify an outage. Not safe
// for concurrent use.
type RetryBudget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full bucket.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit counts a request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Available reports whether there is a token.
func (b *RetryBudget) Available() bool { return b.tokens >= 1 }

// Withdraw takes a token for a retry, if there is one.
func (b *RetryBudget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}
