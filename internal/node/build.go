package node

import (
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"filbertcross/internal/admission"
	"filbertcross/internal/dispatch"
	"filbertcross/internal/entry"
	"filbertcross/internal/event"
	"filbertcross/internal/ingress"
	"filbertcross/internal/model"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
	"filbertcross/internal/telemetry"
	"filbertcross/platform"
)

// Values derived from the platform's settings.
const (
	memoryLimitFraction = 0.7              // of the machine's memory, above which the garbage collector works harder
	retentionMargin     = 10 * time.Second // the platform counts the retention from the end as it saw it
	mebibyte            = 1 << 20
	submissionDivisor   = 5                      // of the machine's memory, for the submissions that an owner holds
	minSubmissionMemory = 16 << 20               // bytes
	peerStallTimeout    = 800 * time.Millisecond // a connection to a VM without responses is closed after this
	peerDialTimeout     = 500 * time.Millisecond
	runLease            = 3500 * time.Millisecond // outlasts a change of owner (about 2 s) after a renewal that is up to 0.9 s old
	renewalGrace        = 3 * time.Second         // keeps tasks running during a store outage of about 5 s
	largeVMCores        = 0.4                     // CPU cores of a VM preferred as the owner: an owner of 350 workers uses about 0.3
	largeVMLinkMbps     = 50.0                    // link rate in Mbit/s of a VM preferred as the owner: it uses about 5, and ten times that in a takeover
	maxElectionDelay    = 1200 * time.Millisecond // for a VM without resources, less in proportion to its size: longer than a large VM takes to detect that the owner is lost
)

// Settings are the settings of the process itself.
type Settings struct {
	SettingsFile string // path of the platform's settings file
	MetricsPort  int
	Version      string
}

// Build returns a node for the platform's settings, with its event log and metrics. It also sets
// the memory limit of the Go runtime.
func Build(process Settings, s platform.Settings, logger logr.Logger) (*Node, *event.Log, *telemetry.Metrics) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryMB) * mebibyte))
	}
	clock := event.NewClock(time.Now)
	metrics := telemetry.New(s.NodeName, s.FailureDomain)
	log := event.NewLog(event.LogOptions{
		VM: model.VMID(s.NodeName), FailureDomain: model.FailureDomain(s.FailureDomain), Clock: clock, Logger: logger,
		RingEntries: 1, Level: event.Info,
	})
	events := &telemetry.Recorder{Log: log, Scope: metrics.Scope}
	peers := peer.Options{Clock: clock, StallTimeout: peerStallTimeout, DialTimeout: peerDialTimeout, MaxBackoff: peerDialTimeout}
	store := platform.NewStore(s.Store.Address)
	maxLease := platform.Milliseconds(s.Bounds.MaxRunLeaseMS)
	lease := min(runLease, maxLease)
	ownerLease := max(owner.LeaseTTL, platform.Milliseconds(s.Store.MinLeaseMS))
	return New(Options{
		Name:           s.NodeName,
		PeerAddress:    net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		CallerAddress:  s.Listen.CallerAddress,
		CallerLimits:   ingress.LimitsFor(s.Limits.MemoryMB*mebibyte, s.Limits.MaxDescriptors),
		ReadyAddress:   s.Listen.ReadinessAddress,
		ReadyPath:      platform.ReadinessPath,
		MetricsAddress: net.JoinHostPort(s.IP, strconv.Itoa(process.MetricsPort)),
		ShutdownGrace:  seconds(s.Bounds.GraceS),

		SubmissionMemory: submissionMemory(s.Limits.MemoryMB * mebibyte),
		ElectionDelay:    electionDelay(s.Limits.CPUShare*max(s.Limits.CPUCores, 1), s.Limits.LinkMbps),
		Incarnation:      uuid.NewString(),
		Store:            store,
		AdviceClient:     platform.NewAdviceClient(s.AdviceAddress),
		Events:           events,
		Scope:            metrics.Scope,
		MetricsHandler:   metrics.Handler,
		PeerServer:       peer.NewServer(peers, events),
		PeerClient:       peer.NewClient(peers, events),
		Format: entry.Format{
			DeadlineHeader: platform.DeadlineHeader, KeyHeader: platform.APIKeyHeader, ValidID: platform.ValidJobID, ParseSubmission: platform.ParseSubmission,
			DecodedSize: platform.DecodedSize, FormatStatus: platform.FormatStatus, FormatQueueLength: platform.FormatQueueLength,
		},
		AgeLimits: entry.AgeLimits{
			Reject: platform.Milliseconds(s.Bounds.ConfigApplyMS),
			Accept: platform.Milliseconds(max(s.Bounds.ConfigApplyMS, s.Bounds.RevokeMS)),
		},
		Owner: owner.Options{
			LeaseTTL:      ownerLease,
			Heartbeat:     platform.Milliseconds(s.HeartbeatMS),
			MaxValueBytes: s.Store.ValueBytes,
			Store:         store, Workers: platform.NewWorkerClient(),
			Machines: platform.NewMachineClient(s.Machines.Address, s.NodeName), Events: events, Scope: metrics.Scope, Clock: bootClock,
			Codec: owner.Codec{
				WorkerPrefix: platform.WorkerPrefix, Worker: platform.ParseWorkerEntry,
				OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigurationKey, Configuration: platform.ParseConfiguration,
				WavePrefix: platform.WavePrefix, Wave: platform.ParseWave,
				WaveStatusKey: platform.WaveStatusKey, WaveState: platform.FormatWaveState,
			},
			Dispatch: dispatch.Options{
				RateBurst:         admission.Burst{Window: seconds(max(s.Bounds.RateWindowS, 1)), Slack: s.Bounds.RateSlack},
				Lease:             lease,
				MaxLease:          maxLease,
				MaxInheritedLease: lease + ownerLease + renewalGrace,
				MaxListAge:        platform.Milliseconds(s.Bounds.ContactMS) - dispatch.CommandTimeout,
				RenewGrace:        renewalGrace,
				StopTimeout:       platform.Milliseconds(s.Bounds.StopTimeoutMS),
				Retention:         seconds(s.Bounds.FinalStateRetentionS) + retentionMargin,

				MaintenanceTime: seconds(s.Bounds.MaintenanceS),
				HolderCooldown:  platform.Milliseconds(s.Bounds.HolderCooldownMS),
			},
		},
	}), log, metrics
}

// submissionMemory returns what the submissions may take on a machine with the given memory, in bytes.
func submissionMemory(memory int64) int64 { return max(memory/submissionDivisor, minSubmissionMemory) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// electionDelay returns how long a VM waits before it campaigns, so that larger VMs are elected
// first. cores is in CPU cores; mbps is the link rate in Mbit/s, 0 if unknown.
func electionDelay(cores, mbps float64) time.Duration {
	size := min(cores/largeVMCores, 1)
	if mbps > 0 {
		size = min(size, mbps/largeVMLinkMbps)
	}
	return time.Duration((1 - size) * float64(maxElectionDelay))
}
