// Package telemetry exports a process's metrics to Prometheus with tally and counts its
// events.
package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"filbertcross/internal/event"
)

// reportInterval is the interval at which tally reports changes to the Prometheus
// reporter. Scrapes arrive every few seconds.
const reportInterval = time.Second

// Metrics holds the process's tally scope and the HTTP handler for scrapes. Closer stops
// the reporting.
type Metrics struct {
	Scope   tally.Scope
	Closer  io.Closer
	Handler http.Handler
}

// sanitizeOptions restricts names to the characters that Prometheus allows and leaves
// tag values unchanged.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     []tally.SanitizeRange{{'\u0020', '\U0010FFFF'}},
		Characters: nil,
	},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// New returns the metrics of a process. Every metric is tagged with the VM's name and
// failure domain.
func New(vm, failureDomain string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "filbertcross",
		Tags:           map[string]string{"vm": vm, "failure_domain": failureDomain},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Closer: closer, Handler: reporter.HTTPHandler()}
}

// Recorder records events in Log and counts them by name, in the counter "events". It is
// safe for concurrent use.
type Recorder struct {
	Log   *event.Log
	Scope tally.Scope

	counters sync.Map // *event.Definition -> tally.Counter
}

// Record implements event.Recorder.
func (r *Recorder) Record(def *event.Definition, values ...any) {
	counter, ok := r.counters.Load(def)
	if !ok {
		counter, _ = r.counters.LoadOrStore(def, r.Scope.Tagged(map[string]string{"event": def.Name}).Counter("events"))
	}
	counter.(tally.Counter).Inc(1)
	r.Log.Record(def, values...)
}
