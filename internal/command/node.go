package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/event"
	"filbertcross/internal/node"
	"filbertcross/platform"
)

// defaultMetricsPort is outside the ports that the platform names for VMs.
const defaultMetricsPort = 9464

func nodeCommand() *cli.Command {
	own := node.Settings{Version: Version}
	file := &cli.StringFlag{
		Name: "settings", Usage: "the platform's settings `FILE`", Required: true,
		Sources: cli.EnvVars(platform.SettingsVariable), Destination: &own.SettingsFile,
	}
	return &cli.Command{
		Name:  "node",
		Usage: "run an entry VM on the users' machines until SIGTERM, which stops it gracefully",
		Flags: []cli.Flag{
			file,
			&cli.IntFlag{
				Name: "metrics-port", Usage: "`PORT` of the metrics page", Value: defaultMetricsPort,
				Sources: cli.EnvVars("FILBERTCROSS_METRICS_PORT"), Destination: &own.MetricsPort,
			},
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "check the settings file and name every mistake in it",
			Action: func(context.Context, *cli.Command) error {
				_, err := platform.LoadSettings(own.SettingsFile)
				return err
			},
		}},
		Action: func(ctx context.Context, _ *cli.Command) error { return runNode(ctx, own) },
	}
}

func runNode(ctx context.Context, own node.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := platform.LoadSettings(own.SettingsFile)
	if err != nil {
		return err
	}
	logger := logr.FromSlogHandler(slog.NewJSONHandler(os.Stdout, nil))
	n, log, metrics := node.Build(own, settings, logger)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logging errgroup.Group
	logging.Go(func() error { return log.Run(logCtx) })
	go revalidateOnHangup(logCtx, own.SettingsFile, log)
	err = n.Run(ctx)
	stopLog()
	return errors.Join(err, logging.Wait(), metrics.Closer.Close())
}

// revalidateOnHangup checks the settings file again at every SIGHUP. What a process listens on and whom
// it speaks to does not change in its lifetime; the line tells whether the file is valid.
func revalidateOnHangup(ctx context.Context, file string, events event.Recorder) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			_, err := platform.LoadSettings(file)
			events.Record(event.NodeReloaded, err)
		case <-ctx.Done():
			return
		}
	}
}
