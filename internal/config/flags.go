package config

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// EnvironmentPrefix is the prefix of the environment variables of all flags: the
// variable of --store-url is FILBERTCROSS_STORE_URL.
const EnvironmentPrefix = "FILBERTCROSS_"

// Flags returns a flag for every setting; parsing them sets the fields of s. A flag
// overrides its environment variable, which overrides the value in s.
func Flags(s *Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "`NAME` of this VM in logs and the timeline", &s.Name),
		stringFlag("failure-domain", "failure `DOMAIN` of this VM (required)", (*string)(&s.FailureDomain)),
		stringFlag("http-address", "`HOST:PORT` for callers and operators", &s.HTTPAddress),
		stringFlag("peer-address", "`HOST:PORT` for the other VMs", &s.PeerAddress),
		stringFlag("peer-advertise", "`HOST:PORT` at which the other VMs reach --peer-address, if different", &s.PeerAdvertise),
		stringFlag("store-url", "`URL` of the platform's key-value service", &s.StoreURL),
		stringFlag("vm-list-url", "`URL` of the platform's list of VMs", &s.VMListURL),
		durationFlag("store-timeout", "timeout `DURATION` of one call to the store", &s.StoreTimeout),
		intFlag("store-writes", "`WRITES` per second to the store, of all VMs together", &s.StoreWrites),
		durationFlag("list-interval", "`DURATION` between reads of the platform's VM list", &s.ListInterval),
		durationFlag("worker-timeout", "timeout `DURATION` of one call to a worker", &s.WorkerTimeout),
		durationFlag("worker-interval", "`DURATION` between polls of a worker", &s.WorkerInterval),
		durationFlag("heartbeat", "`DURATION` between heartbeats to another VM", &s.Heartbeat),
		durationFlag("lease-lead", "`DURATION` that task leases outlast the store's last confirmation", &s.LeaseLead),
		durationFlag("drift-margin", "`DURATION` added to the lead against clock drift", &s.DriftMargin),
		intFlag("key-partitions", "`COUNT` of partitions of idempotency keys", &s.KeyPartitions),
		durationFlag("default-deadline", "`DURATION` of the deadline of a request that sets none", &s.DefaultDeadline),
		durationFlag("max-deadline", "maximum `DURATION` of a request's deadline", &s.MaxDeadline),
		int64Flag("max-body", "maximum `BYTES` of a request's or response's body", &s.MaxBody),
		intFlag("max-queue-requests", "maximum `COUNT` of requests that wait for a slot on this VM", &s.MaxQueueRequests),
		int64Flag("max-queue-bytes", "maximum `BYTES` of the waiting requests' bodies", &s.MaxQueueBytes),
		intFlag("event-ring", "`COUNT` of events retained for the timeline", &s.EventRing),
		durationFlag("drain-delay", "`DURATION` between reporting not ready and rejecting requests", &s.DrainDelay),
		durationFlag("drain-timeout", "maximum `DURATION` of a step of a graceful shutdown", &s.DrainTimeout),
		stringFlag("log-level", "`LEVEL`: debug, info, warn or error", &s.LogLevel),
	}
}

func environmentSource(name string) cli.ValueSourceChain {
	variable := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return cli.EnvVars(variable)
}

func stringFlag(name, usage string, destination *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: environmentSource(name)}
}

func durationFlag(name, usage string, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: environmentSource(name)}
}

func intFlag(name, usage string, destination *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: environmentSource(name)}
}

func int64Flag(name, usage string, destination *int64) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: environmentSource(name)}
}
