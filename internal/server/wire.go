//go:build wireinject

package server

import (
	"github.com/go-logr/logr"
	"github.com/google/wire"

	"filbertcross/internal/backend"
	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/rollout"
	"filbertcross/internal/telemetry"
)

// Build returns a VM with its components, built from the settings. No goroutine starts
// before Run.
func Build(settings config.Settings, logger logr.Logger) (*Server, error) {
	panic(wire.Build(providers))
}

// providers builds the components of a VM; wire_gen.go calls them in dependency order.
var providers = wire.NewSet(
	platformSet, peerSet, controlSet, requestSet, operatorSet,
	wire.Struct(new(Server), "*"),
)

var platformSet = wire.NewSet(
	provideStore,
	provideVMList,
	provideWorkers,
	wire.Bind(new(platform.WorkerResolver), new(*platform.HTTPWorkerResolver)),
)

var peerSet = wire.NewSet(
	provideSelf,
	provideClock,
	provideLog,
	newRecorder,
	wire.Bind(new(event.Recorder), new(*telemetry.Recorder)),
	newMetrics,
	provideScope,
	providePeerServer,
	providePeerClient,
	wire.Bind(new(peer.Caller), new(*peer.Client)),
	newDigestCollector,
	provideMembership,
	wire.Bind(new(membership.View), new(*membership.Membership)),
)

var controlSet = wire.NewSet(
	newExecutor,
	provideControlState,
	provideLoop,
	provideHostedPartitions,
	wire.Bind(new(partitionHost), new(*hostedPartitions)),
	provideAssigner,
	provideVMListPoller,
)

var requestSet = wire.NewSet(
	provideRollout,
	provideSource,
	wire.Bind(new(model.ConfigurationSource), new(*rollout.Source)),
	provideBackends,
	wire.Bind(new(backend.Router), new(*backend.Manager)),
	provideLedgerHost,
	provideLedger,
	provideFront,
)

var operatorSet = wire.NewSet(
	provideJobs,
	wire.Struct(new(sheetService), "*"),
	provideReadinessStatus,
	provideOperatorAPI,
	provideHandler,
)
