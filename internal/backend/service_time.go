package backend

import (
	"math"
	"time"
)

// serviceTimeWeight is the weight of a new sample in the moving averages.
const serviceTimeWeight = 1.0 / 32

// ServiceTime estimates how long a request holds its slot, from moving averages of
// the service time and its deviation. Not safe for concurrent use.
type ServiceTime struct {
	mean      float64 // seconds
	deviation float64 // mean absolute deviation in seconds
	seen      bool
}

// Observe adds the time that one request held its slot.
func (s *ServiceTime) Observe(held time.Duration) {
	seconds := held.Seconds()
	if !s.seen {
		s.mean, s.seen = seconds, true
		return
	}
	s.deviation += (math.Abs(seconds-s.mean) - s.deviation) * serviceTimeWeight
	s.mean += (seconds - s.mean) * serviceTimeWeight
}

// Mean returns the mean service time; 0 before the first observation.
func (s *ServiceTime) Mean() time.Duration {
	return time.Duration(s.mean * float64(time.Second))
}

// UpperBound returns a service time that most requests don't exceed: the mean plus
// three mean deviations; 0 before the first observation.
func (s *ServiceTime) UpperBound() time.Duration {
	return time.Duration((s.mean + 3*s.deviation) * float64(time.Second))
}

// EstimateWait returns how long the slots need to serve the requests ahead; 0
// without slots.
func (s *ServiceTime) EstimateWait(ahead float64, slots int) time.Duration {
	if slots < 1 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * s.mean * float64(time.Second))
}
