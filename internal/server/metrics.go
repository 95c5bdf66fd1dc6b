package server

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

const metricsInterval = time.Second

// metrics are the process's tally scope and the handler that exposes it for scraping.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// sanitize keeps the names that Prometheus takes, and values as they are.
var sanitize = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     []tally.SanitizeRange{{'\u0020', '\U0010FFFF'}},
		Characters: nil,
	},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

func newMetrics(settings config.Settings) (*metrics, error) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "filbertcross",
		Tags:           map[string]string{"vm": settings.Name, "failure_domain": string(settings.FailureDomain)},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}, nil
}

// meteredRecorder counts the events that pass to the log, by their name.
type meteredRecorder struct {
	log   *event.Log
	scope tally.Scope
}

// Record implements event.Recorder.
func (r *meteredRecorder) Record(def *event.Def, values ...any) {
	r.scope.Tagged(map[string]string{"event": def.Name}).Counter("events").Inc(1)
	r.log.Record(def, values...)
}

// reportTenancies sets the gauges of the worker partitions that this VM owns.
func reportTenancies(scope tally.Scope, digests map[model.PartitionID]membership.Tenancy) {
	scope.Gauge("partitions_owned").Update(float64(len(digests)))
	for id, tenancy := range digests {
		tagged := scope.Tagged(map[string]string{"partition": string(id)})
		tagged.Gauge("tasks_waiting").Update(float64(tenancy.Waiting))
		tagged.Gauge("free_milli_cpu").Update(float64(tenancy.Free.MilliCPU))
		tagged.Gauge("partition_epoch").Update(float64(tenancy.Epoch))
	}
}
