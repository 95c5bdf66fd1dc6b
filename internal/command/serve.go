package command

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"filbertcross/internal/config"
	"filbertcross/internal/server"
)

func serveCommand() *cli.Command {
	settings := config.Default()
	printOnly := false
	return &cli.Command{
		Name:  "serve",
		Usage: "run the server of an entry VM; SIGTERM stops it gracefully",
		Flags: append(config.Flags(&settings), &cli.BoolFlag{
			Name:        "print-settings",
			Usage:       "print the effective settings as JSON and exit",
			Destination: &printOnly,
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := settings.Validate(); err != nil {
				return err
			}
			if printOnly {
				return printSettings(c, settings)
			}
			return serve(ctx, settings)
		},
	}
}

func printSettings(c *cli.Command, settings config.Settings) error {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(text))
	return err
}

func serve(ctx context.Context, settings config.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	vm, err := server.Build(settings, newLogger(settings))
	if err != nil {
		return err
	}
	return vm.Run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(settings config.Settings) logr.Logger {
	level := slog.Level(-settings.Verbosity())
	handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(handler)
}
