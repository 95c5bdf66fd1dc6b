package backend

import "time"

// EjectionOptions set when and for how long a failing backend server is ejected.
type EjectionOptions struct {
	ConsecutiveFailures int           // failures after which a server is ejected
	MaxFraction         float64       // fraction of the servers that may be ejected at once
	MinDuration         time.Duration // of the first ejection; each failed probe doubles it
	MaxDuration         time.Duration // upper bound of the doubled duration
}

// Ejector ejects backend servers that fail several consecutive requests. After
// the ejection one request at a time probes the server. Only a bounded fraction
// of the servers is ejected at once. Not safe for concurrent use.
type Ejector struct {
	options      EjectionOptions
	servers      map[ServerID]*health
	ejectedCount int // including those being probed
}

type health struct {
	failures         int // consecutive
	ejected          bool
	ejectedUntil     time.Time
	ejectionDuration time.Duration // of the current ejection
}

// NewEjector returns an ejector without servers.
func NewEjector(options EjectionOptions) *Ejector {
	return &Ejector{options: options, servers: make(map[ServerID]*health)}
}

// Add adds the server as healthy. Adding a known server changes nothing.
func (e *Ejector) Add(id ServerID) {
	if _, known := e.servers[id]; !known {
		e.servers[id] = &health{}
	}
}

// Remove removes the server, ejected or not.
func (e *Ejector) Remove(id ServerID) {
	if h, known := e.servers[id]; known && h.ejected {
		e.ejectedCount--
	}
	delete(e.servers, id)
}

// Observe records the outcome of an attempt on the server. Unknown servers are
// ignored.
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
		// The failed request was sent before the ejection.
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

// maxEjected returns how many servers may be ejected at once.
func (e *Ejector) maxEjected() int {
	return int(float64(len(e.servers)) * e.options.MaxFraction)
}

// Limit returns how many of the server's slots may be used now: 0 while it is
// ejected, 1 while it is probed.
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

// EjectedCount returns the number of servers that are ejected or being probed.
func (e *Ejector) EjectedCount() int { return e.ejectedCount }

// IsEjected reports whether the server is ejected or being probed.
func (e *Ejector) IsEjected(id ServerID) bool {
	h, known := e.servers[id]
	return known && h.ejected
}
