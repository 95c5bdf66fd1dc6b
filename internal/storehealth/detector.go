package storehealth

import "time"

// State is what is known about the store.
type State int

// States of the store. It becomes suspect for lack of responses, unavailable for lack of answers,
// and answering with the next answer.
const (
	Answering   State = iota
	Suspect           // no response for longer than usual: it may be slow, or down
	Unavailable       // no answer for UnavailableAfter
)

// Times without an answer or a response.
const (
	// UnavailableAfter is twice the latency of a slow store.
	UnavailableAfter = 800 * time.Millisecond
	// minSuspectAfter covers several round trips between failure domains and short pauses of this VM.
	minSuspectAfter = 60 * time.Millisecond

	// Weights of the latency estimate, as of TCP's retransmission timer (RFC 6298).
	latencyWeight           = 1.0 / 8
	deviationWeight         = 1.0 / 4
	deviationsUntilSuspect  = 4
	latenciesUntilSuspect   = 2
	maxSuspectAfterFraction = 0.75 // of UnavailableAfter, so that probes are sent before
)

// Outcome is how a call to the store ended.
type Outcome int

// Outcomes of a call.
const (
	Answered   Outcome = iota // executed, or rejected for a reason that lies in the call
	Rejected                  // not executed, because the store cannot serve at this time
	Unanswered                // no response, so it may have been executed
)

// Detector derives the state of the store from the times of calls. It does no I/O; the caller
// passes readings of one monotonic clock. It must not be used by more than one goroutine at a time.
type Detector struct {
	calls    map[int]pendingCall // in flight, by call number
	lastCall int
	// failed and silent are what the calls that ended since the last answer, and since the last
	// response of any kind, leave behind.
	failed, silent span
	unavailable    bool
	latency        time.Duration // of answered calls, smoothed
	deviation      time.Duration // smoothed mean deviation from latency
}

// pendingCall is a call in flight. It counts as unanswered, or as without a response, since the
// given times; a later call that had one postpones them, as the store answers then.
type pendingCall struct {
	sent, unansweredSince, silentSince time.Duration
}

// span is a time that has begun at start, if it is open.
type span struct {
	open  bool
	start time.Duration
}

// include makes the span begin no later than start.
func (s *span) include(start time.Duration) {
	if !s.open || start < s.start {
		*s = span{true, start}
	}
}

// length returns the length of the span at now; 0 if it is not open.
func (s span) length(now time.Duration) time.Duration {
	if !s.open {
		return 0
	}
	return now - s.start
}

// NewDetector returns a detector in state Answering.
func NewDetector() *Detector { return &Detector{calls: map[int]pendingCall{}} }

// Begin registers a call sent at now and returns its number.
func (d *Detector) Begin(now time.Duration) int {
	d.lastCall++
	d.calls[d.lastCall] = pendingCall{now, now, now}
	return d.lastCall
}

// End records the outcome of a call.
func (d *Detector) End(now time.Duration, call int, outcome Outcome) {
	c := d.calls[call]
	delete(d.calls, call)
	switch outcome {
	case Answered:
		d.failed, d.silent, d.unavailable = span{}, span{}, false
		d.observeLatency(now - c.sent)
	case Rejected:
		d.failed.include(c.unansweredSince)
		d.silent = span{}
	case Unanswered:
		d.failed.include(c.unansweredSince)
		d.silent.include(c.silentSince)
		return
	}
	for number, other := range d.calls {
		if outcome == Answered {
			other.unansweredSince = max(other.unansweredSince, c.sent)
		}
		other.silentSince = max(other.silentSince, c.sent)
		d.calls[number] = other
	}
}

func (d *Detector) observeLatency(latency time.Duration) {
	difference := latency - d.latency
	d.latency += time.Duration(latencyWeight * float64(difference))
	d.deviation += time.Duration(deviationWeight * float64(difference.Abs()-d.deviation))
}

// State returns the state at now. Unavailable lasts until a call is answered.
func (d *Detector) State(now time.Duration) State {
	failed, silent := d.failed, d.silent
	for _, c := range d.calls {
		failed.include(c.unansweredSince)
		silent.include(c.silentSince)
	}
	d.unavailable = d.unavailable || failed.length(now) >= UnavailableAfter
	switch {
	case d.unavailable:
		return Unavailable
	case silent.length(now) >= d.suspectAfter():
		return Suspect
	}
	return Answering
}

// suspectAfter returns the time without a response after which the store is suspect.
func (d *Detector) suspectAfter() time.Duration {
	usual := latenciesUntilSuspect*d.latency + deviationsUntilSuspect*d.deviation
	return min(max(usual, minSuspectAfter), time.Duration(maxSuspectAfterFraction*float64(UnavailableAfter)))
}
