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

// defaultMetricsPort is outside the ports that the platform assigns to VMs.
const defaultMetricsPort = 9464

func nodeCommand() *cli.Command {
	processSettings := node.Settings{Version: Version}
	settingsFlag := &cli.StringFlag{
		Name: "settings", Usage: "the platform's settings `FILE`", Required: true,
		Sources: cli.EnvVars(platform.SettingsPathEnv), Destination: &processSettings.SettingsFile,
	}
	return &cli.Command{
		Name:  "node",
		Usage: "run an entry VM on the users' machines; SIGTERM stops it gracefully",
		Flags: []cli.Flag{
			settingsFlag,
			&cli.IntFlag{
				Name: "metrics-port", Usage: "`PORT` of the metrics page", Value: defaultMetricsPort,
				Sources: cli.EnvVars("FILBERTCROSS_METRICS_PORT"), Destination: &processSettings.MetricsPort,
			},
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "check the settings file, and a configuration before operators write it, and list all problems in them",
			Flags: []cli.Flag{&cli.StringFlag{Name: "configuration", Usage: "`FILE` with a configuration as operators write it"}},
			Action: func(_ context.Context, c *cli.Command) error {
				_, err := platform.LoadSettings(processSettings.SettingsFile)
				return errors.Join(err, checkConfiguration(c.String("configuration")))
			},
		}},
		Action: func(ctx context.Context, _ *cli.Command) error { return runNode(ctx, processSettings) },
	}
}

// checkConfiguration returns the problems of a configuration file; none if file is empty.
func checkConfiguration(file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	_, err = platform.ParseConfiguration(data)
	return err
}

func runNode(ctx context.Context, processSettings node.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	platformSettings, err := platform.LoadSettings(processSettings.SettingsFile)
	if err != nil {
		return err
	}
	logger := logr.FromSlogHandler(slog.NewJSONHandler(os.Stdout, nil))
	n, log, metrics := node.Build(processSettings, platformSettings, logger)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logWriter errgroup.Group
	logWriter.Go(func() error { return log.Run(logCtx) })
	go revalidateOnHangup(logCtx, processSettings.SettingsFile, log)
	err = n.Run(ctx)
	stopLog()
	return errors.Join(err, logWriter.Wait(), metrics.Closer.Close())
}

// revalidateOnHangup checks the settings file at every SIGHUP until ctx is done, and records
// whether it is valid. Changed settings take effect only at the next start of the process: its
// listeners and the addresses that it connects to are fixed.
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
