package event

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter in the lower bits of a Stamp.
const logicalBits = 12

// MaxClockSkew is how far a received stamp may be ahead of this VM's wall clock.
// A stamp further ahead is not merged.
const MaxClockSkew = time.Minute

// Stamp is a reading of a hybrid logical clock: microseconds since the Unix epoch
// in the upper bits, a counter in the lower bits. If one event can have caused
// another, its stamp is lower.
type Stamp uint64

// StampOf returns the lowest stamp of a time.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMicro()) << logicalBits }

// Time returns the wall-clock part of the stamp, in UTC.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> logicalBits)).UTC() }

// Clock is a hybrid logical clock: it follows the wall clock, never returns the
// same stamp twice and stays above every stamp it has observed. It is safe for
// concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// NewClock returns a clock that reads the wall time from wall.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp above all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	wall := uint64(StampOf(c.wall()))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe merges a stamp received from another VM. It returns false, and merges
// nothing, if the stamp is more than MaxClockSkew ahead of the wall clock.
func (c *Clock) Observe(s Stamp) bool {
	if s > StampOf(c.wall().Add(MaxClockSkew)) {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return true
		}
	}
}
