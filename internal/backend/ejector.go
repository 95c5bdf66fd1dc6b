package backend

import "time"

// EjectionOptions set when a failing backend server gets no more requests.
type EjectionOptions struct {
	ConsecutiveFailures int           // in a row, after which a server is ejected
	MaxFraction         float64       // of the servers that may be out at once
	MinDuration         time.Duration // of the first ejection; doubles with each failed probe
	MaxDuration         time.Duration // of an ejection
}

// Ejector takes backend servers out that fail several requests in a row, and
// lets one request at a time probe them when their ejection ends. Only a bounded
// part is out at once. Not safe for concurrent use.
type Ejector struct {
	options      EjectionOptions
	servers      map[ServerID]*health
	ejectedCount int // servers ejected or on probe
}

type health struct {
	failures         int // in a row
	ejected          bool
	ejectedUntil     time.Time
	ejectionDuration time.Duration // of the ejection
}

// NewEjector returns an ejector that knows no server.
func NewEjector(options EjectionOptions) *Ejector {
	return &Ejector{options: options, servers: make(map[ServerID]*health)}
}

// Add makes the server known as healthy.
func (e *Ejector) Add(id ServerID) {
	if _, known := e.servers[id]; !known {
		e.servers[id] = &health{}
	}
}

// Remove forgets the server.
func (e *Ejector) Remove(id ServerID) {
	if h, known := e.servers[id]; known && h.ejected {
		e.ejectedCount--
	}
	delete(e.servers, id)
}

// Observe takes the outcome of an attempt on the server.
func (e *Ejector) Observe(now time.Time, id ServerID, o Outcome) {
	h, known := e.servers[id]
	if !known {
		return
	}
	switch o {
	case OutcomeAnswered:
		e.restore(h)
	case OutcomeFailed, OutcomeTimeout, OutcomeRefused:
		h.failures++
		e.ejectIfDue(now, h)
	}
}

func (e *Ejector) restore(h *health) {
	if h.ejected {
		e.ejectedCount--
	}
	*h = health{}
}

func (e *Ejector) ejectIfDue(now time.Time, h *health) {
	switch {
	case h.ejected && now.Before(h.ejectedUntil):
		// A request sent before the ejection failed as well.
	case h.ejected:
		h.ejectionDuration = min(2*h.ejectionDuration, e.options.MaxDuration)
		h.ejectedUntil = now.Add(h.ejectionDuration)
	case h.failures >= e.options.ConsecutiveFailures && e.ejectedCount < e.maxEjected():
		h.ejected = true
		e.ejectedCount++
		h.ejectionDuration = e.options.MinDuration
		h.ejectedUntil = now.Add(h.ejectionDuration)
	}
}

// maxEjected is how many servers may be out at once.
func (e *Ejector) maxEjected() int {
	return int(float64(len(e.servers)) * e.options.MaxFraction)
}

// Limit returns how many of the server's slots may be used now: none while it
// is ejected, one while it is probed.
func (e *Ejector) Limit(now time.Time, id ServerID, slots int) int {
	h, known := e.servers[id]
	switch {
	case !known || !h.ejected:
		return slots
	case now.Before(h.ejectedUntil):
		return 0
	default:
		return min(1, slots)
	}
}

// EjectedCount returns the number of servers that are ejected or on probe.
func (e *Ejector) EjectedCount() int { return e.ejectedCount }

// IsEjected reports whether the server is ejected or on probe.
func (e *Ejector) IsEjected(id ServerID) bool {
	h, known := e.servers[id]
	return known && h.ejected
}
