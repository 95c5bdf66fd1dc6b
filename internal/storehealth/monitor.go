package storehealth

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
	"filbertcross/internal/verdict"
)

// Probes are sent while the store does not answer. They do not wait for each other, as a probe
// that was sent during an outage is never answered.
const (
	probeInterval = 150 * time.Millisecond
	probeTimeout  = UnavailableAfter
)

// errUnavailable is the cause of a write that was not sent.
var errUnavailable = errors.New("storehealth: the store does not answer this VM")

// Committer writes to the store. It must be safe for concurrent use.
type Committer interface {
	// Commit returns the revision of the write, or a *fleet.ConflictError if a condition is not met.
	Commit(ctx context.Context, t fleet.Txn) (int64, error)
}

// Monitor passes writes to the store while it answers. It is safe for concurrent use.
type Monitor struct {
	store  Committer
	probe  func(ctx context.Context) error
	events event.Recorder
	start  time.Time

	mu       sync.Mutex
	detector *Detector
	probing  bool
	reported bool         // the outage was recorded as an event
	changed  pause.Signal // when the state may have changed
	onAnswer func()
}

// NewMonitor returns a monitor in front of store. probe makes a cheap call to the store and returns
// nil if the store answers it. onAnswer, which may be nil, is called when the store answers after
// it was unavailable.
func NewMonitor(store Committer, probe func(ctx context.Context) error, onAnswer func(), events event.Recorder) *Monitor {
	return &Monitor{
		store: store, probe: probe, events: events, start: time.Now(),
		detector: NewDetector(), onAnswer: onAnswer,
	}
}

// Available reports whether the store is not known to be unavailable.
func (m *Monitor) Available() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state() != Unavailable
}

// Commit writes to the store. While the store is suspect, the write waits until the store answers.
// If it is unavailable, or ctx is done first, nothing is sent and the verdict is NotRun.
func (m *Monitor) Commit(ctx context.Context, t fleet.Txn) (int64, error) {
	call, err := m.admit(ctx)
	if err != nil {
		return 0, &fleet.CallError{Op: "store commit", Verdict: verdict.NotRun, Cause: err}
	}
	revision, err := m.store.Commit(ctx, t)
	m.end(call, err)
	return revision, err
}

// Observe makes a call to the store that is not held back, and takes its result into account.
func (m *Monitor) Observe(call func() error) error {
	m.mu.Lock()
	number := m.detector.Begin(m.now())
	m.mu.Unlock()
	err := call()
	m.end(number, err)
	return err
}

// IsUnavailable reports whether err is that of a write that was not sent because the store is
// unavailable.
func IsUnavailable(err error) bool { return errors.Is(err, errUnavailable) }

// admit waits until a write may be sent, and registers it.
func (m *Monitor) admit(ctx context.Context) (call int, err error) {
	for {
		m.mu.Lock()
		state, changed := m.state(), m.changed.Next()
		if state == Answering {
			call = m.detector.Begin(m.now())
		}
		m.mu.Unlock()
		switch state {
		case Answering:
			return call, nil
		case Unavailable:
			return 0, errUnavailable
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, errors.Wrap(ctx.Err(), "storehealth: waiting for the store to answer")
		}
	}
}

// outcomeOf classifies the result of a call. A failure to connect is no response.
func outcomeOf(err error) Outcome {
	var conflict *fleet.ConflictError
	var failure *fleet.CallError
	switch {
	case err == nil || errors.As(err, &conflict):
		return Answered
	case errors.As(err, &failure) && failure.Status != 0:
		return Rejected
	}
	return Unanswered
}

// end records the result of a call and announces the end of an outage.
func (m *Monitor) end(call int, err error) {
	outcome := outcomeOf(err)
	m.mu.Lock()
	m.detector.End(m.now(), call, outcome)
	recovered := outcome == Answered && m.reported
	if recovered {
		m.reported = false
		m.events.Record(event.StoreCallRecovered, "commit")
	}
	if outcome != Unanswered {
		m.changed.Broadcast()
	}
	m.mu.Unlock()
	if recovered && m.onAnswer != nil {
		m.onAnswer()
	}
}

// state returns the state of the store. If the store does not answer, it starts to probe it. The
// caller holds mu.
func (m *Monitor) state() State {
	state := m.detector.State(m.now())
	if state == Unavailable && !m.reported {
		m.reported = true
		m.events.Record(event.StoreCallFailed, "commit", errUnavailable)
	}
	if state != Answering && !m.probing {
		m.probing = true
		go m.probeUntilAnswered()
	}
	return state
}

// probeUntilAnswered probes the store until it answers.
func (m *Monitor) probeUntilAnswered() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		go m.probeOnce()
		<-ticker.C
		m.mu.Lock()
		if m.state() == Answering {
			m.probing = false
			m.mu.Unlock()
			return
		}
		m.changed.Broadcast() // it may have become unavailable
		m.mu.Unlock()
	}
}

func (m *Monitor) probeOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_ = m.Observe(func() error { return m.probe(ctx) }) // Observe takes the result into account
}

func (m *Monitor) now() time.Duration { return time.Since(m.start) }
