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

// Build makes the parts of a VM from its settings; nothing runs before Run.
func Build(settings config.Settings, logger logr.Logger) (*Server, error) {
	panic(wire.Build(providers))
}

// providers builds the parts of a VM; wire_gen.go calls them in order.
var providers = wire.NewSet(
	platformSet, linkSet, controlSet, requestSet, operatorSet,
	wire.Struct(new(Server), "*"),
)

var platformSet = wire.NewSet(
	provideStore,
	provideVMList,
	provideWorkers,
	wire.Bind(new(platform.WorkerResolver), new(*platform.HTTPWorkerResolver)),
)

var linkSet = wire.NewSet(
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
	newDigester,
	provideMembership,
	wire.Bind(new(membership.View), new(*membership.Membership)),
)

var controlSet = wire.NewSet(
	newExecutor,
	provideControl,
	provideLoop,
	provideHosting,
	wire.Bind(new(tenancies), new(*hosting)),
	provideAssigner,
	providePoller,
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
	wire.Struct(new(sheets), "*"),
	provideStatus,
	provideOperators,
	provideHandler,
)
