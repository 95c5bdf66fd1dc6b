package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
)

const (
	decisionLoadInterval = time.Second
	// loadedShare is the share of the time spent in decisions from which an event records the load.
	loadedShare = 0.1
)

// decisionMeter measures the time that the owner's loop spends in decisions. Only the loop uses it.
type decisionMeter struct {
	decisionTime tally.Histogram
	examined     tally.Counter
	ready        tally.Gauge
	unplaced     tally.Gauge

	intervalStart time.Duration
	busy          time.Duration // in decisions since intervalStart
	longest       time.Duration // decision since intervalStart
	previous      dispatch.DecisionLoad
}

func newDecisionMeter(scope tally.Scope, buckets tally.Buckets) *decisionMeter {
	return &decisionMeter{
		decisionTime: scope.Histogram("decision_seconds", buckets),
		examined:     scope.Counter("decision_workers_examined"),
		ready:        scope.Gauge("steps_ready"),
		unplaced:     scope.Gauge("steps_unplaced"),
	}
}

// record records a decision that took from started to now. Once in decisionLoadInterval it publishes
// the load, and records an event if decisions took loadedShare of the interval or more.
func (m *decisionMeter) record(started, now time.Duration, d *dispatch.Dispatcher, events event.Recorder) {
	took := now - started
	m.decisionTime.RecordDuration(took)
	m.busy += took
	m.longest = max(m.longest, took)
	interval := now - m.intervalStart
	if interval < decisionLoadInterval {
		return
	}
	load := d.DecisionLoad()
	examined := load.Examined - m.previous.Examined
	m.examined.Inc(examined)
	m.ready.Update(float64(load.Ready))
	m.unplaced.Update(float64(load.Unplaced))
	if float64(m.busy) >= loadedShare*float64(interval) && m.intervalStart != 0 {
		events.Record(event.DecisionLoad, interval, m.busy, m.longest, load.Passes-m.previous.Passes, examined, load.Ready, load.Unplaced,
			load.Stopping, load.AdviceInFlight, load.AdviceSlots, load.FreeMilliCPU)
	}
	m.intervalStart, m.busy, m.longest, m.previous = now, 0, 0, load
}
