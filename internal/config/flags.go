package config

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// EnvironmentPrefix starts the name of every environment variable: --store-url
// is FILBERTCROSS_STORE_URL.
const EnvironmentPrefix = "FILBERTCROSS_"

// Flags returns a flag for every setting; parsing them fills s. A flag goes
// before its environment variable, which goes before the default in s.
func Flags(s *Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "`NAME` of this VM in logs and the time line", &s.Name),
		stringFlag("failure-domain", "`DOMAIN` this VM stands in (required)", (*string)(&s.FailureDomain)),
		stringFlag("http-address", "`HOST:PORT` for callers and operators", &s.HTTPAddress),
		stringFlag("peer-address", "`HOST:PORT` for the other VMs", &s.PeerAddress),
		stringFlag("peer-advertise", "`HOST:PORT` by which the other VMs reach --peer-address, if it is another", &s.PeerAdvertise),
		stringFlag("store-url", "`URL` of the platform's key-value service", &s.StoreURL),
		stringFlag("vm-list-url", "`URL` of the platform's list of VMs", &s.VMListURL),
		durationFlag("store-timeout", "`DURATION` of one call to the store", &s.StoreTimeout),
		intFlag("store-writes", "`WRITES` a second to the store, all VMs together", &s.StoreWrites),
		durationFlag("list-interval", "`DURATION` between readings of the platform's list", &s.ListInterval),
		durationFlag("worker-timeout", "`DURATION` of one call to a worker", &s.WorkerTimeout),
		durationFlag("worker-interval", "`DURATION` between polls of a worker", &s.WorkerInterval),
		durationFlag("heartbeat", "`DURATION` between heartbeats to another VM", &s.Heartbeat),
		durationFlag("lease-lead", "`DURATION` that task leases outlast the store's last confirmation", &s.LeaseLead),
		durationFlag("drift-margin", "`DURATION` added to the lead against clock drift", &s.DriftMargin),
		intFlag("key-partitions", "`COUNT` of partitions of idempotency keys", &s.KeyPartitions),
		durationFlag("default-deadline", "`DURATION` of a request that names no deadline", &s.DefaultDeadline),
		durationFlag("max-deadline", "`DURATION` that no request's deadline exceeds", &s.MaxDeadline),
		int64Flag("max-body", "`BYTES` of a request's or answer's body", &s.MaxBody),
		intFlag("max-queue-requests", "`COUNT` of requests that wait for a slot on this VM", &s.MaxQueueRequests),
		int64Flag("max-queue-bytes", "`BYTES` of the waiting requests' bodies", &s.MaxQueueBytes),
		intFlag("event-ring", "`COUNT` of events kept for the time line", &s.EventRing),
		durationFlag("drain-delay", "`DURATION` between not ready and refusing requests", &s.DrainDelay),
		durationFlag("drain-timeout", "`DURATION` after which a step of a graceful stop gives up", &s.DrainTimeout),
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
