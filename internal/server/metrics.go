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
)

const metricsInterval = time.Second

// metrics are the process's tally scope and the handler that exposes it for scraping.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
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

		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}, nil
}
