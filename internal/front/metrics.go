package front

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts what callers got.
type metrics struct {
	done     tally.Counter
	duration tally.Histogram
	retries  tally.Counter
	byResult tally.Scope
}

// durationBuckets bound the histogram of answer times.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		done:     scope.Counter("answered"),
		duration: scope.Histogram("duration", durationBuckets),
		retries:  scope.Counter("retries"),
		byResult: scope,
	}
}

func (m *metrics) answered(d time.Duration) {
	m.done.Inc(1)
	m.duration.RecordDuration(d)
}

func (m *metrics) refused(p *Problem) {
	m.byResult.Tagged(map[string]string{"verdict": p.Verdict.String()}).Counter("refused").Inc(1)
}
