package front

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics records the responses and problems sent to callers.
type metrics struct {
	responses tally.Counter
	duration  tally.Histogram
	retries   tally.Counter
	scope     tally.Scope
}

// durationBuckets are the buckets of the response time histogram.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		responses: scope.Counter("answered"),
		duration:  scope.Histogram("duration", durationBuckets),
		retries:   scope.Counter("retries"),
		scope:     scope,
	}
}

func (m *metrics) recordResponse(d time.Duration) {
	m.responses.Inc(1)
	m.duration.RecordDuration(d)
}

func (m *metrics) countProblem(p *Problem) {
	m.scope.Tagged(map[string]string{"verdict": p.Verdict.String()}).Counter("refused").Inc(1)
}
