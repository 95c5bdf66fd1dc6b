package backend

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of the pools.
type metrics struct {
	scope    tally.Scope
	borrowed tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope: scope, borrowed: scope.Counter("borrowed")}
}

// updatePool sets the gauges of one pool.
func (m *metrics) updatePool(p *pool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	scope := m.scope.Tagged(map[string]string{"service": p.service})
	scope.Gauge("slots").Update(float64(p.table.Slots()))
	scope.Gauge("slots_free").Update(float64(p.table.Free(now)))
	scope.Gauge("queued").Update(float64(p.queue.Len()))
	scope.Gauge("queued_bytes").Update(float64(p.queue.Bytes()))
	scope.Gauge("ejected").Update(float64(p.ejector.EjectedCount()))
	scope.Gauge("service_seconds").Update(p.serviceTime.Mean().Seconds())
}
