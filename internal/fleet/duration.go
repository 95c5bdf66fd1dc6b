package fleet

import "time"

// MaxDuration is the longest duration that the scheduler computes with. The sum of a few, and of one
// with a clock reading, does not overflow.
const MaxDuration = 50 * 365 * 24 * time.Hour

// ClampDuration returns a duration in nanoseconds, limited to MaxDuration in both directions. The
// conversion of a float that is out of range differs between processors.
func ClampDuration(ns float64) time.Duration {
	switch limit := float64(MaxDuration); {
	case ns >= limit:
		return MaxDuration
	case ns <= -limit:
		return -MaxDuration
	case ns != ns: // not a number
		return 0
	}
	return time.Duration(ns)
}
