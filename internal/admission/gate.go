package admission

import (
	"sync"
	"time"
)

// MaxAge is the age of the owner's last answer beyond which a Gate admits everything. An owner is
// replaced within about this time.
const MaxAge = 2 * time.Second

// Gate admits the submissions that arrive at one VM. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	arrivals map[string]int // by account, since the last TakeArrivals
	limits   map[string]*bucket
	setAt    time.Duration
}

// bucket is a token bucket, which admits rate arrivals a second and as many at once, at least one.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Duration
}

// NewGate returns a gate that limits nothing yet.
func NewGate() *Gate { return &Gate{arrivals: map[string]int{}} }

// Arrive counts a submission of the account at the time and reports whether it is admitted. If it is
// not, retryAfter is the time until the account's next submission will be.
func (g *Gate) Arrive(account string, now time.Duration) (retryAfter time.Duration, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals[account]++
	b := g.limits[account]
	if b == nil || now-g.setAt > MaxAge {
		return 0, true
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

// TakeArrivals returns the counts by account since the last call.
func (g *Gate) TakeArrivals() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.arrivals
	g.arrivals = map[string]int{}
	return taken
}

// SetLimits replaces the limits by this VM's parts of the rates, in submissions a second, at the
// time. An account that was limited before keeps its tokens.
func (g *Gate) SetLimits(parts map[string]float64, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := make(map[string]*bucket, len(parts))
	for account, rate := range parts {
		if rate <= 0 {
			continue
		}
		b := g.limits[account]
		if b == nil {
			b = &bucket{tokens: max(rate, 1), at: now}
		}
		b.refill(now)
		b.rate = rate
		limits[account] = b
	}
	g.limits, g.setAt = limits, now
}

func (b *bucket) refill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.tokens+b.rate*(now-b.at).Seconds(), max(b.rate, 1))
		b.at = now
	}
}
