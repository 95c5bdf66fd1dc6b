package server

import (
	"github.com/uber-go/tally/v4"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/telemetry"
)

func newMetrics(settings config.Settings) *telemetry.Metrics {
	return telemetry.New(settings.Name, string(settings.FailureDomain))
}

func newRecorder(log *event.Log, metrics *telemetry.Metrics) *telemetry.Recorder {
	return &telemetry.Recorder{Log: log, Scope: metrics.Scope}
}

// updatePartitionGauges sets the gauges of the worker partitions that this VM owns.
func updatePartitionGauges(scope tally.Scope, summaries map[model.PartitionID]membership.PartitionSummary) {
	scope.Gauge("partitions_owned").Update(float64(len(summaries)))
	for id, summary := range summaries {
		tagged := scope.Tagged(map[string]string{"partition": string(id)})
		tagged.Gauge("tasks_waiting").Update(float64(summary.Waiting))
		tagged.Gauge("free_milli_cpu").Update(float64(summary.Free.MilliCPU))
		tagged.Gauge("partition_epoch").Update(float64(summary.Epoch))
	}
}
