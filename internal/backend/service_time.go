package backend

import (
	"math"
	"time"
)

// serviceTimeWeight is the part that one more observation has in the average.
const serviceTimeWeight = 1.0 / 32

// ServiceTime estimates how long a request of a service holds its slot, and so
// the rate at which the slots drain a queue. Not safe for concurrent use.
type ServiceTime struct {
	mean      float64 // seconds
	deviation float64 // seconds, mean absolute
	seen      bool
}

// Observe takes the time that one request held its slot.
func (s *ServiceTime) Observe(held time.Duration) {
	seconds := held.Seconds()
	if !s.seen {
		s.mean, s.seen = seconds, true
		return
	}
	s.deviation += (math.Abs(seconds-s.mean) - s.deviation) * serviceTimeWeight
	s.mean += (seconds - s.mean) * serviceTimeWeight
}

// Mean returns the average time; 0 before the first observation.
func (s *ServiceTime) Mean() time.Duration {
	return time.Duration(s.mean * float64(time.Second))
}

// UpperBound returns a time that most requests do not exceed.
func (s *ServiceTime) UpperBound() time.Duration {
	return time.Duration((s.mean + 3*s.deviation) * float64(time.Second))
}

// EstimateWait returns how long the slots take to serve the requests ahead.
func (s *ServiceTime) EstimateWait(ahead float64, slots int) time.Duration {
	if slots < 1 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * s.mean * float64(time.Second))
}
