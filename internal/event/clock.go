package event

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of a Stamp's counter below its microseconds.
const logicalBits = 12

// MaxClockLead bounds how far a received stamp may run ahead of this VM's wall
// clock; a stamp further ahead is not merged.
const MaxClockSkew = time.Minute

// Stamp is a reading of a hybrid logical clock: microseconds of the Unix epoch in
// the upper bits, a counter in the lower ones. Stamps order events: if one event
// can have caused another, its stamp is lower.
type Stamp uint64

// StampOf returns the lowest stamp of a moment.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMicro()) << logicalBits }

// Time returns the wall-clock part of the stamp, in UTC.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> logicalBits)).UTC() }

// Clock is a hybrid logical clock: it follows the wall clock, never repeats a
// reading and never falls behind a stamp it has observed. Safe for concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// NewClock returns a clock over a source of wall time.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp above all that were returned or observed before.
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

// Observe merges a stamp received from another VM. It reports false, and merges
// nothing, when the stamp is more than MaxClockLead ahead of the wall clock.
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
