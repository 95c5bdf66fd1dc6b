package admission

import (
	"sync"
	"time"
)

// MaxAge is the age of the owner's last answer beyond which a Gate admits everything. An owner is
// replaced within about this time.
const MaxAge = 2 * time.Second

// Gate admits the submissions that arrive at one VM. The zero value limits
// nothing. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	arrivals map[Stream]int // since the last TakeArrivals
	limits   map[Stream]*Bucket
	setAt    time.Duration
}

// Arrive counts a submission of the stream at the time and reports whether it is admitted. If it is
// not, retryAfter is the time until the stream's next submission will be.
func (g *Gate) Arrive(stream Stream, now time.Duration) (retryAfter time.Duration, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrivals == nil {
		g.arrivals = map[Stream]int{}
	}
	g.arrivals[stream]++
	b := g.limits[stream]
	if b == nil || now-g.setAt > MaxAge {
		return 0, true
	}
	if b.Take(now) {
		return 0, true
	}
	return b.untilNext(), false
}

// TakeArrivals returns the counts since the last call.
func (g *Gate) TakeArrivals() map[Stream]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.arrivals
	g.arrivals = nil
	return taken
}

// SetLimits replaces the limits by this VM's parts at the time. A stream that was limited before
// keeps its tokens.
func (g *Gate) SetLimits(parts map[Stream]Limit, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := make(map[Stream]*Bucket, len(parts))
	for stream, part := range parts {
		if part.PerSecond <= 0 {
			continue
		}
		b := g.limits[stream]
		if b == nil {
			b = &Bucket{}
		}
		b.SetLimit(part)
		b.refill(now)
		limits[stream] = b
	}
	g.limits, g.setAt = limits, now
}
