package dispatch

import "time"

// Detection of a shortage of capacity.
const (
	shortageDelay = 300 * time.Millisecond // steps wait this long for a preemption even if capacity is free
	shortageHold  = time.Second            // after which a shortage is over, so that refusals do not alternate with admissions
)

// shortage tracks whether steps within their accounts' rates wait for capacity, or for the quota of
// one account. The zero value is ready for use.
type shortage struct {
	since time.Duration // when steps began to wait; 0: none wait
	last  time.Duration // when a shortage was last observed; 0: never
}

// update records whether such steps wait after a placement pass.
func (s *shortage) update(now time.Duration, waits bool) {
	switch {
	case !waits:
		s.since = 0
	case s.since == 0:
		s.since = now
	}
	if s.since != 0 && now-s.since >= shortageDelay {
		s.last = now
	}
}

// at reports whether capacity is short.
func (s *shortage) at(now time.Duration) bool { return s.last != 0 && now-s.last < shortageHold }

// ShortOfCapacity reports whether steps within their accounts' rates wait for capacity.
func (d *Dispatcher) ShortOfCapacity(now time.Duration) bool { return d.shortage.at(now) }

// AccountsShortOfQuota returns the names of the accounts with steps, within their rates, that wait
// for the account's quota.
func (d *Dispatcher) AccountsShortOfQuota(now time.Duration) []string {
	var names []string
	for name, a := range d.accounts {
		if a.quotaShortage.at(now) {
			names = append(names, name)
		}
	}
	return names
}
