// Command standin serves the stand-ins for the platform, workers and backend servers
// over HTTP, for the demo, prove and measure commands.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"filbertcross/internal/model"
	"filbertcross/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:     "standin",
		Usage:    "simulate the platform, workers and backend servers",
		Commands: []*cli.Command{platformCommand(), workersCommand(), backendsCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the key-value store and the list of VMs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "127.0.0.1:9100", Usage: "listen address of the store"},
			&cli.StringFlag{Name: "list", Value: "127.0.0.1:9101", Usage: "listen address of the VM list"},
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "delay until a change becomes visible in the VM list"},
			&cli.FloatFlag{Name: "reads", Value: 2000, Usage: "read limit of the store, calls per second"},
			&cli.FloatFlag{Name: "writes", Value: 300, Usage: "write limit of the store, calls per second"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := standin.NewStore(c.Float("reads"), c.Float("writes"))
			list := standin.NewVMList(c.Duration("lag"))
			return serveHandlers(ctx, map[string]http.Handler{
				c.String("store"): store.Handler(),
				c.String("list"):  list.Handler(),
			})
		},
	}
}

func workersCommand() *cli.Command {
	return &cli.Command{
		Name:  "workers",
		Usage: "serve one worker on each of the given addresses",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "worker", Usage: "ID=ADDRESS, repeated"},
			&cli.Int64Flag{Name: "milli-cpu", Value: 32_000, Usage: "CPU capacity of each worker, in thousandths of a core"},
			&cli.Int64Flag{Name: "memory-mib", Value: 128 << 10, Usage: "memory of each worker, in MiB"},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of each worker"},
			&cli.DurationFlag{Name: "default-runtime", Value: 2 * time.Second, Usage: "run time of a task of a workload without --runtime"},
			&cli.StringSliceFlag{Name: "runtime", Usage: "WORKLOAD=DURATION, repeated; 0s means until stopped"},
			&cli.DurationFlag{Name: "report-lag", Value: 500 * time.Millisecond, Usage: "run time before which reports show no usage of a task"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			runtimes, err := parseRuntimes(c.StringSlice("runtime"))
			if err != nil {
				return err
			}
			handlers := map[string]http.Handler{}
			for _, spec := range c.StringSlice("worker") {
				id, address, ok := strings.Cut(spec, "=")
				if !ok {
					return errors.Newf("invalid worker %q: want ID=ADDRESS", spec)
				}
				handlers[address] = standin.NewWorker(standin.WorkerOptions{
					ID: model.WorkerID(id),
					Capacity: model.Resources{
						MilliCPU:     c.Int64("milli-cpu"),
						MemoryMiB:    c.Int64("memory-mib"),
						Accelerators: c.Int64("accelerators"),
					},
					Runtimes:       runtimes,
					DefaultRuntime: c.Duration("default-runtime"),
					ReportLag:      c.Duration("report-lag"),
				}).Handler()
			}
			return serveHandlers(ctx, handlers)
		},
	}
}

func parseRuntimes(specs []string) (map[model.WorkloadID]time.Duration, error) {
	runtimes := map[model.WorkloadID]time.Duration{}
	for _, spec := range specs {
		workload, text, _ := strings.Cut(spec, "=")
		runtime, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrapf(err, "invalid runtime %q", spec)
		}
		runtimes[model.WorkloadID(workload)] = runtime
	}
	return runtimes, nil
}

func backendsCommand() *cli.Command {
	return &cli.Command{
		Name:  "backends",
		Usage: "serve one backend server on each of the given addresses",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "backend", Usage: "ID=ADDRESS, repeated"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of concurrent requests"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "processing time of a request"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			handlers := map[string]http.Handler{}
			for _, spec := range c.StringSlice("backend") {
				id, address, ok := strings.Cut(spec, "=")
				if !ok {
					return errors.Newf("invalid backend %q: want ID=ADDRESS", spec)
				}
				handlers[address] = standin.NewBackend(standin.BackendOptions{
					ID:          id,
					Slots:       c.Int("slots"),
					ServiceTime: c.Duration("service-time"),
				}).Handler()
			}
			return serveHandlers(ctx, handlers)
		},
	}
}

// serveHandlers serves each handler on its address until the context is canceled or a
// server fails.
func serveHandlers(ctx context.Context, handlers map[string]http.Handler) error {
	failed := make(chan error, len(handlers))
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		defer server.Close()
		go func() { failed <- server.Serve(listener) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
