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
		text("name", "`NAME` of this VM in logs and the time line", &s.Name),
		text("failure-domain", "`DOMAIN` this VM stands in (required)", (*string)(&s.FailureDomain)),
		text("http-address", "`HOST:PORT` for callers and operators", &s.HTTPAddress),
		text("peer-address", "`HOST:PORT` for the other VMs", &s.PeerAddress),
		text("peer-advertise", "`HOST:PORT` by which the other VMs reach --peer-address, if it is another", &s.PeerAdvertise),
		text("store-url", "`URL` of the platform's key-value service", &s.StoreURL),
		text("vm-list-url", "`URL` of the platform's list of VMs", &s.VMListURL),
		duration("store-timeout", "`DURATION` of one call to the store", &s.StoreTimeout),
		number("store-writes", "`WRITES` a second to the store, all VMs together", &s.StoreWrites),
		duration("list-interval", "`DURATION` between readings of the platform's list", &s.ListInterval),
		duration("worker-timeout", "`DURATION` of one call to a worker", &s.WorkerTimeout),
		duration("worker-interval", "`DURATION` between polls of a worker", &s.WorkerInterval),
		duration("heartbeat", "`DURATION` between heartbeats to another VM", &s.Heartbeat),
		duration("lease-lead", "`DURATION` that task leases outlast the store's last confirmation", &s.LeaseLead),
		duration("drift-margin", "`DURATION` added to the lead against clock drift", &s.DriftMargin),
		number("key-partitions", "`COUNT` of partitions of idempotency keys", &s.KeyPartitions),
		duration("default-deadline", "`DURATION` of a request that names no deadline", &s.DefaultDeadline),
		duration("max-deadline", "`DURATION` that no request's deadline exceeds", &s.MaxDeadline),
		number64("max-body", "`BYTES` of a request's or answer's body", &s.MaxBody),
		number("max-queue-requests", "`COUNT` of requests that wait for a slot on this VM", &s.MaxQueueRequests),
		number64("max-queue-bytes", "`BYTES` of the waiting requests' bodies", &s.MaxQueueBytes),
		number("event-ring", "`COUNT` of events kept for the time line", &s.EventRing),
		duration("drain-delay", "`DURATION` between not ready and refusing requests", &s.DrainDelay),
		duration("drain-timeout", "`DURATION` after which a step of a graceful stop gives up", &s.DrainTimeout),
		text("log-level", "`LEVEL`: debug, info, warn or error", &s.LogLevel),
	}
}

func sources(name string) cli.ValueSourceChain {
	variable := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return cli.EnvVars(variable)
}

func text(name, usage string, into *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *into, Destination: into, Sources: sources(name)}
}

func duration(name, usage string, into *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *into, Destination: into, Sources: sources(name)}
}

func number(name, usage string, into *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *into, Destination: into, Sources: sources(name)}
}

func number64(name, usage string, into *int64) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: *into, Destination: into, Sources: sources(name)}
}
