package admission

import "time"

// Limit bounds a stream of submissions.
type Limit struct {
	PerSecond float64 `json:"rate"`
	Burst     float64 `json:"burst"` // submissions at once
}

// Burst is what an account may hand in at once: what its rate allows in Window, and Slack
// submissions more.
type Burst struct {
	Window time.Duration
	Slack  float64
}

// Limit returns the limit of an account with the rate, in submissions a second.
func (b Burst) Limit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond, Burst: perSecond*b.Window.Seconds() + b.Slack}
}

// scale returns the part of the limit.
func (l Limit) scale(part float64) Limit { return Limit{l.PerSecond * part, l.Burst * part} }

// Bucket is a token bucket. It starts full when its limit is first set, and is empty before. It is not
// safe for concurrent use.
type Bucket struct {
	limit  Limit
	tokens float64
	at     time.Duration // of the last refill
	filled bool
}

// SetLimit sets the limit.
func (b *Bucket) SetLimit(l Limit) {
	b.limit = l
	if !b.filled {
		b.tokens, b.filled = b.depth(), true
	}
}

// depth returns the number of tokens of a full bucket, at least one submission.
func (b *Bucket) depth() float64 { return max(b.limit.Burst, 1) }

// Take takes a token for a submission at the time, and reports whether there was one. Submissions
// out of order count as simultaneous with the latest.
func (b *Bucket) Take(at time.Duration) bool {
	b.refill(at)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilNext returns the time from the last Take until the next token.
func (b *Bucket) untilNext() time.Duration {
	return time.Duration((1 - b.tokens) / b.limit.PerSecond * float64(time.Second))
}

func (b *Bucket) refill(at time.Duration) {
	if b.at != 0 && at > b.at {
		b.tokens += b.limit.PerSecond * (at - b.at).Seconds()
	}
	b.tokens = min(b.tokens, b.depth())
	b.at = max(at, b.at)
}
