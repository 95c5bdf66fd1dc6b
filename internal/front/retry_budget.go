package front

// RetryBudget is a token bucket to which each request adds a fraction of a token
// and from which each retry takes one token, so that retries cannot amplify an
// outage. Not safe for concurrent use.
type RetryBudget struct {
	ratio  float64 // tokens added by each request
	burst  float64 // most tokens in the bucket
	tokens float64
}

// NewRetryBudget returns a full bucket of burst tokens.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit adds the fraction of a token that a request earns.
func (b *RetryBudget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Available reports whether there is a token for a retry.
func (b *RetryBudget) Available() bool { return b.tokens >= 1 }

// Withdraw takes a token for a retry. It returns false if there is none.
func (b *RetryBudget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}
