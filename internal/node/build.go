package node

import (
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/entry"
	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
	"filbertcross/internal/telemetry"
	"filbertcross/platform"
)

// Settings that a process derives from the platform's.
const (
	memoryShare     = 0.7              // of the machine's memory, from where on the collector works harder
	retentionMargin = 10 * time.Second // the platform counts from its own view of the end
	mebibyte        = 1 << 20
	peerStall       = 800 * time.Millisecond // a silent connection to a VM is given up after this
	peerDial        = 500 * time.Millisecond
	runLease        = 3500 * time.Millisecond // survives a change of owner (about 2 s) after a hold that is up to 0.9 s old
	holdGrace       = 3 * time.Second         // carries what runs over an outage of the store of about 5 s
	largeVM         = 0.4                     // cores from which a VM is a first choice as the owner: one of 350 workers takes about 0.3
	fastLink        = 50.0                    // Mbit/s, likewise: it takes about 5, ten times that in a takeover
	standBack       = 1200 * time.Millisecond // of a VM with nothing, in proportion for small ones: longer than it takes a large one to notice that the owner is lost
)

// Settings are the process's own settings.
type Settings struct {
	File        string // the platform's settings file
	MetricsPort int
	Version     string
}

// Build makes a node from the platform's settings.
func Build(own Settings, s platform.Settings, logger logr.Logger) (*Node, *event.Log, *telemetry.Metrics) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * mebibyte))
	}
	clock := event.NewClock(time.Now)
	metrics := telemetry.New(s.NodeName, s.FailureDomain)
	log := event.NewLog(event.LogOptions{
		VM: model.VMID(s.NodeName), FailureDomain: model.FailureDomain(s.FailureDomain), Clock: clock, Logger: logger,
		RingEntries: 1, Level: event.Info,
	})
	events := &telemetry.Recorder{Log: log, Scope: metrics.Scope}
	peers := peer.Options{Clock: clock, StallTimeout: peerStall, DialTimeout: peerDial, MaxBackoff: peerDial}
	store := platform.NewStore(s.Store.Address)
	lease := min(runLease, platform.Milliseconds(s.Bounds.MaxRunLeaseMS))
	authority := max(owner.LeaseTTL, platform.Milliseconds(s.Store.MinLeaseMS))
	return New(Options{
		Name:        s.NodeName,
		PeerAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		Callers:     s.Listen.CallerAddress,
		Ready:       s.Listen.ReadinessAddress,
		ReadyPath:   platform.ReadinessPath,
		Metrics:     net.JoinHostPort(s.IP, strconv.Itoa(own.MetricsPort)),
		Grace:       seconds(s.Bounds.GraceS),
		Rank:        rank(s.Limits.CPUShare*max(s.Limits.CPUCores, 1), s.Limits.LinkMbps),
		Incarnation: uuid.NewString(),
		Store:       store,
		Advisor:     platform.NewAdviceClient(s.AdviceAddress),
		Events:      events,
		Scope:       metrics.Scope,
		MetricsPage: metrics.Handler,
		Peers:       peer.NewServer(peers, events),
		Caller:      peer.NewClient(peers, events),
		Format: entry.Format{
			DeadlineHeader: platform.DeadlineHeader, ValidID: platform.ValidJobID, Submission: platform.ParseSubmission,
			State: platform.FormatState, Waiting: platform.FormatQueueLength,
		},
		Owner: owner.Options{
			LeaseTTL: authority,
			Store:    store, Workers: platform.NewWorkerClient(),
			Machines: platform.NewMachineClient(s.Machines.Address, s.NodeName), Events: events, Scope: metrics.Scope, Clock: bootClock,
			Codec: owner.Codec{
				WorkerPrefix: platform.WorkerPrefix, Worker: platform.ParseWorkerEntry,
				OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigurationKey, Configuration: platform.ParseConfiguration,
				WavePrefix: platform.WavePrefix, Wave: platform.ParseWave,
				WaveStatusKey: platform.WaveStatusKey, WaveState: platform.FormatWaveState,
			},
			Dispatch: dispatch.Options{
				Lease:             lease,
				MaxInheritedLease: lease + authority + holdGrace,
				RenewGrace:        holdGrace,
				StopTimeout:       platform.Milliseconds(s.Bounds.StopTimeoutMS),
				Retention:         seconds(s.Bounds.FinalStateRetentionS) + retentionMargin,

				MaintenanceTime: seconds(s.Bounds.MaintenanceS),
				HolderCooldown:  platform.Milliseconds(s.Bounds.HolderCooldownMS),
			},
		},
	}), log, metrics
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rank is how long a VM stands back in an election: small ones leave it to large ones.
func rank(cores, mbps float64) time.Duration {
	size := min(cores/largeVM, 1)
	if mbps > 0 {
		size = min(size, mbps/fastLink)
	}
	return time.Duration((1 - size) * float64(standBack))
}
